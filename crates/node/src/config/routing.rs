//! Section `routing`: selection of targets.

use std::time::Duration;

use coltsfootport_core::jsonc::Section;

/// Settings for the selection of a target among the nodes of a service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RoutingSettings {
    /// Minimum number of nodes of each service to which this node connects, if that many exist.
    pub subset: u32,
    /// Whether targets in the local failure domain are preferred while they have capacity.
    pub domain_first: bool,
    /// Maximum fraction of a service's subset that may be ejected at once.
    pub eject_share: f64,
    /// Consecutive failures after which a target is ejected.
    pub eject_failures: u32,
    /// Duration of the first ejection; grows with each consecutive one.
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
