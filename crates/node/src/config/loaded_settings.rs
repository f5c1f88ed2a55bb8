//! Settings together with what was wrong in them.

use coltsfootport_core::jsonc::Fault;

use super::Settings;

/// Settings that a node can start with.
#[derive(Clone, Debug, PartialEq)]
pub struct LoadedSettings {
    /// The settings, with defaults in place of wrong values.
    pub settings: Settings,
    /// Wrong keys and values, to be logged at the start and shown by `status`.
    pub warnings: Vec<Fault>,
}
