//! Settings of routing.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::id::{DomainName, NodeName, RegionName};

/// Settings of [`Router`](super::Router).
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct RoutingConfig {
    /// Name of the own node; its calls to its own target are routed like any other.
    pub node: NodeName,
    /// Own failure domain, preferred over others.
    pub domain: DomainName,
    /// Own region, preferred over others where the own failure domain can't serve.
    pub region: RegionName,
    /// Most peers of a service in the own failure domain that this node talks to.
    pub subset_near: usize,
    /// Most peers of a service in other failure domains that this node talks to.
    pub subset_far: usize,
    /// Least peers of a service that this node talks to, as far as there are so many.
    pub subset_min: usize,
    /// Failures in a row after which a peer is ejected.
    pub ejection_failures: u32,
    /// Largest share of a service's peers that may be ejected at once; at least one may where there are two.
    pub ejection_share: f64,
    /// Length of the first ejection; doubles with each further one.
    pub ejection_time: Duration,
    /// Longest ejection.
    pub ejection_max: Duration,
    /// Time over which a fresh incarnation reaches its full weight.
    pub slow_start: Duration,
    /// Weight of a fresh incarnation at first.
    pub slow_start_share: f64,
    /// Half-life of own observations.
    pub half_life: Duration,
    /// Age at which a load report says nothing any more.
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
