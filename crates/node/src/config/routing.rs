//! Section `routing`: the choice of a target.

use std::time::Duration;

use coltsfootport_core::jsonc::Section;

/// The choice of a target among the nodes of a service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RoutingSettings {
    /// Nodes of each service that this node connects to.
    pub subset: u32,
    /// Whether targets of the own failure domain come first while they have room.
    pub domain_first: bool,
    /// Largest share of the known targets of a service that may be ejected at a time.
    pub eject_share: f64,
    /// Failures in a row after which a target is ejected.
    pub eject_failures: u32,
    /// Time for which a target is ejected first; it grows with each ejection in a row.
    pub eject_time: Duration,
}

impl Default for RoutingSettings {
    fn default() -> Self {
        Self {
            subset: 12,
            domain_first: true,
            eject_share: 0.3,
            eject_failures: 5,
            eject_time: Duration::from_secs(5),
        }
    }
}

impl RoutingSettings {
    pub(super) fn read(mut section: Section<'_, '_>) -> Self {
        let default = Self::default();
        let settings = Self {
            subset: section.integer("subset", 1..=1024, default.subset),
            domain_first: section.boolean("domain_first", default.domain_first),
            eject_share: section.number("eject_share", 0.0..=1.0, default.eject_share),
            eject_failures: section.integer("eject_failures", 1..=1000, default.eject_failures),
            eject_time: section.millis("eject_ms", 10..=600_000, default.eject_time),
        };
        section.finish();
        settings
    }
}
