//! A change between slow and usual speed of an instance.

use smol_str::SmolStr;

/// An instance whose reported slowness has crossed a threshold.
#[derive(Clone, Debug, PartialEq)]
pub struct SlownessChange {
    /// Id of the instance.
    pub id: SmolStr,
    /// Whether the instance has become slow; otherwise it has returned to its usual speed.
    pub is_slow: bool,
    /// Its slowness, relative to the median instance of its service.
    pub slowness: f64,
}
