//! Colours that stay apart for readers who see few colours (Okabe and Ito).

use plotters::style::RGBColor;

const COLOURS: [RGBColor; 6] = [
    RGBColor(0, 114, 178),
    RGBColor(213, 94, 0),
    RGBColor(0, 158, 115),
    RGBColor(204, 121, 167),
    RGBColor(230, 159, 0),
    RGBColor(86, 180, 233),
];

/// Colour of the variant at this position.
pub(super) fn colour(index: usize) -> RGBColor {
    COLOURS[index % COLOURS.len()]
}
