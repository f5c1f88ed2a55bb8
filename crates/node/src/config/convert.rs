//! Conversions from the settings to the configuration types of the core crate.

use std::time::Duration;

use coltsfootport_core::admission::{self, AdmissionConfig};
use coltsfootport_core::allowance::{Backoff, EdgeBudgetConfig};
use coltsfootport_core::dissemination::{GossipConfig, ReaderConfig, StartUpConfig};
use coltsfootport_core::id::DomainName;
use coltsfootport_core::lifecycle::LifecycleConfig;
use coltsfootport_core::once::{FleetKey, OnceConfig};
use coltsfootport_core::routing::RoutingConfig;

use super::{
    AdmissionMode, OnceSettings, RetriesSettings, Settings, ShutdownSettings, SpreadSettings,
};

impl From<&Settings> for AdmissionConfig {
    fn from(settings: &Settings) -> Self {
        let connections = settings.target.connections;
        let settings = &settings.admission;
        Self {
            mode: settings.mode.into(),
            initial_limit: settings.initial_limit,
            min_limit: settings.min_limit,
            // Each call that the target is running occupies one connection.
            max_limit: settings.max_limit.min(connections),
            queue_length: settings.queue_length as usize,
            level_shedding: settings.level_shedding,
            deadline_check: settings.deadline_check,
            cold_start: settings.cold_start,
            ..Self::default()
        }
    }
}

impl From<AdmissionMode> for admission::AdmissionMode {
    fn from(mode: AdmissionMode) -> Self {
        match mode {
            AdmissionMode::Off => Self::Off,
            AdmissionMode::Static => Self::Static,
            AdmissionMode::Adaptive => Self::Adaptive,
        }
    }
}

impl From<&OnceSettings> for OnceConfig {
    fn from(settings: &OnceSettings) -> Self {
        Self {
            capacity: settings.capacity as usize,
            retention: settings.retention,
            record_margin: settings.record_margin,
            answer_limit: settings.answer_bytes as usize,
            ..Self::default()
        }
    }
}

impl From<&ShutdownSettings> for LifecycleConfig {
    fn from(settings: &ShutdownSettings) -> Self {
        Self {
            accept_for: Duration::ZERO,
            announce_for: settings.announce,
            announce_every: ANNOUNCE_EVERY,
            drain_limit: settings.drain,
        }
    }
}

impl From<&RetriesSettings> for EdgeBudgetConfig {
    fn from(settings: &RetriesSettings) -> Self {
        Self {
            ratio: settings.edge_ratio,
            burst: settings.edge_burst.into(),
            ..Self::default()
        }
    }
}

impl From<&RetriesSettings> for Backoff {
    fn from(settings: &RetriesSettings) -> Self {
        Self {
            first: settings.backoff,
            ..Self::default()
        }
    }
}

impl From<&Settings> for RoutingConfig {
    fn from(settings: &Settings) -> Self {
        let subset = settings.routing.subset as usize;
        Self {
            node: settings.node.name.clone(),
            domain: preferred_domain(settings),
            region: settings.node.region.clone(),
            subset_min: subset,
            ejection_failures: settings.routing.eject_failures,
            ejection_share: settings.routing.eject_share,
            ejection_time: settings.routing.eject_time,
            ..Self::default()
        }
    }
}

impl From<&Settings> for ReaderConfig {
    fn from(settings: &Settings) -> Self {
        Self {
            readers_per_domain: settings.spread.readers_per_domain as usize,
            watch_wait: settings.platform.watch,
            calls_per_read: CALLS_PER_READ,
            slow_interval: settings.platform.fallback_read,
            start_fleet: settings.spread.start_fleet as usize,
            ..Self::default()
        }
    }
}

impl From<&SpreadSettings> for GossipConfig {
    fn from(settings: &SpreadSettings) -> Self {
        Self {
            digest_interval: settings.digest,
            ..Self::with_peers(settings.gossip_peers as usize)
        }
    }
}

impl From<&SpreadSettings> for StartUpConfig {
    fn from(settings: &SpreadSettings) -> Self {
        Self {
            peer_wait: settings.start_wait,
            ..Self::default()
        }
    }
}

/// Returns the failure domain whose targets are preferred. The empty name matches no failure domain.
fn preferred_domain(settings: &Settings) -> DomainName {
    if settings.routing.domain_first {
        settings.node.domain.clone()
    } else {
        DomainName::default()
    }
}

impl From<&super::FleetKey> for FleetKey {
    fn from(key: &super::FleetKey) -> Self {
        Self {
            id: key.id,
            secret: key.secret.expose().clone(),
        }
    }
}

/// The configuration service and the instance list are read by separate calls but share the rate limits.
const CALLS_PER_READ: u32 = 2;

/// Interval between announcements of a shutdown.
const ANNOUNCE_EVERY: Duration = Duration::from_millis(100);
