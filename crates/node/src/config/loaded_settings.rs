//! Settings together with the warnings found while parsing them.

use coltsfootport_core::jsonc::Fault;

use super::Settings;

/// Valid settings and the warnings about them.
#[derive(Clone, Debug, PartialEq)]
pub struct LoadedSettings {
    /// Settings in which invalid values are replaced by defaults.
    pub settings: Settings,
    /// Invalid keys and values, logged at startup and shown by `status`.
    pub warnings: Vec<Fault>,
}
