// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package administrator

import "image/color"

// palette holds the colors of the lines in a plot.
var palette = []color.Color{
	color.RGBA{R: 0x1f, G: 0x4e, B: 0x79, A: 0xff},
	color.RGBA{R: 0xb0, G: 0x3a, B: 0x2e, A: 0xff},
	color.RGBA{R: 0x2e, G: 0x7d, B: 0x32, A: 0xff},
	color.RGBA{R: 0x8e, G: 0x44, B: 0xad, A: 0xff},
	color.RGBA{R: 0xc7, G: 0x7c, B: 0x02, A: 0xff},
	color.RGBA{R: 0x45, G: 0x5a, B: 0x64, A: 0xff},
}
