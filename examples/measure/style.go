package main

import (
	imagecolor "image/color"

	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// lineColor returns the color of the i-th line of a plot. The colors repeat after seven
// lines; lineDashes distinguishes lines of the same color.
func lineColor(i int) imagecolor.Color { return plotutil.Color(i) }

func lineDashes(i int) []vg.Length { return plotutil.Dashes(i / 7) }
