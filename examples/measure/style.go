package main

import (
	imagecolor "image/color"

	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// lineColor distinguishes the lines of a plot, together with lineDashes.
func lineColor(i int) imagecolor.Color { return plotutil.Color(i) }

func lineDashes(i int) []vg.Length { return plotutil.Dashes(i / 7) }
