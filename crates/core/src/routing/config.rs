//! Routing settings.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::id::{DomainName, NodeName, RegionName};

/// Settings of [`Router`](super::Router).
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct RoutingConfig {
    /// Name of the local node; calls to its own target are routed like any other.
    pub node: NodeName,
    /// Failure domain of the local node, preferred over others.
    pub domain: DomainName,
    /// Region of the local node, preferred over others when the local failure domain can't serve.
    pub region: RegionName,
    /// Maximum subset members per service in the local failure domain.
    pub subset_near: usize,
    /// Maximum subset members per service in other failure domains, unless `subset_min` requires more.
    pub subset_far: usize,
    /// Minimum subset size per service, if that many peers exist.
    pub subset_min: usize,
    /// Consecutive failures after which a peer is ejected.
    pub ejection_failures: u32,
    /// Maximum fraction of a service's subset that may be ejected at once; with two or more peers, one always may.
    pub ejection_share: f64,
    /// Duration of the first ejection; doubles with each consecutive one.
    pub ejection_time: Duration,
    /// Maximum ejection duration.
    pub ejection_max: Duration,
    /// Time over which a new incarnation ramps up to its full weight.
    pub slow_start: Duration,
    /// Initial weight of a new incarnation, as a fraction of its full weight.
    pub slow_start_share: f64,
    /// Half-life of locally observed load statistics.
    pub half_life: Duration,
    /// Age at which a load report no longer counts.
    pub report_lifetime: Duration,
}

impl Default for RoutingConfig {
    fn default() -> Self {
        Self {
            node: NodeName::default(),
            domain: DomainName::default(),
            region: RegionName::default(),
            subset_near: 8,
            subset_far: 4,
            subset_min: 8,
            ejection_failures: 5,
            ejection_share: 0.34,
            ejection_time: Duration::from_secs(1),
            ejection_max: Duration::from_secs(30),
            slow_start: Duration::from_secs(5),
            slow_start_share: 0.1,
            half_life: Duration::from_secs(1),
            report_lifetime: Duration::from_secs(2),
        }
    }
}
