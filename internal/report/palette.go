package report

import "image/color"

// palette is the colour set of Okabe and Ito, which people with colour blindness can
// distinguish, without its yellow. Grey is for references.
var palette = []color.Color{
	color.RGBA{R: 0x00, G: 0x72, B: 0xB2, A: 0xFF},
	color.RGBA{R: 0xD5, G: 0x5E, B: 0x00, A: 0xFF},
	color.RGBA{R: 0x00, G: 0x9E, B: 0x73, A: 0xFF},
	color.RGBA{R: 0xCC, G: 0x79, B: 0xA7, A: 0xFF},
	color.RGBA{R: 0x56, G: 0xB4, B: 0xE9, A: 0xFF},
	color.RGBA{R: 0xE6, G: 0x9F, B: 0x00, A: 0xFF},
	color.RGBA{R: 0x00, G: 0x00, B: 0x00, A: 0xFF},
}

var (
	colorReference = color.RGBA{R: 0x99, G: 0x99, B: 0x99, A: 0xFF}
	colorPrefill   = palette[0]
	colorDecode    = palette[1]
	colorMixed     = palette[2]
	colorOut       = color.RGBA{R: 0xDD, G: 0xDD, B: 0xDD, A: 0xFF}
	colorChange    = color.RGBA{R: 0x33, G: 0x33, B: 0x33, A: 0xFF}
	colorFault     = color.RGBA{R: 0xCC, G: 0x00, B: 0x00, A: 0xFF}
)

// paletteColor returns the colour of the line with an index.
func paletteColor(number int) color.Color { return palette[number%len(palette)] }
