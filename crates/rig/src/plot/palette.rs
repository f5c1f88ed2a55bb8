//! Okabe-Ito palette, whose colours remain distinguishable with colour vision deficiency.

use plotters::style::RGBColor;

const COLOURS: [RGBColor; 6] = [
    RGBColor(0, 114, 178),
    RGBColor(213, 94, 0),
    RGBColor(0, 158, 115),
    RGBColor(204, 121, 167),
    RGBColor(230, 159, 0),
    RGBColor(86, 180, 233),
];

/// Returns the colour of the variant at `index`, repeating the palette after its last colour.
pub(super) fn colour(index: usize) -> RGBColor {
    COLOURS[index % COLOURS.len()]
}
