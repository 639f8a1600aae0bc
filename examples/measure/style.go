package main

import (
	imagecolor "image/color"

	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// color tells lines apart, together with dashes.
func color(i int) imagecolor.Color { return plotutil.Color(i) }

func dashes(i int) []vg.Length { return plotutil.Dashes(i / 7) }
