//! The controller's state.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use coltsfootport_core::collections::Map;
use coltsfootport_core::id::ServiceName;
use coltsfootport_core::mesh::{
    CallerLimits, Drain, DrainConfig, Era, Fleet, FleetConfig, GateConfig, MeshConfig, RetryBudget,
    RetryBudgetConfig, Shedder, ShedderConfig, TargetGate, Ticket, WeightedRoundRobin,
};
use coltsfootport_core::quarantine::QuarantineConfig;
use coltsfootport_core::workspace::{EntryQuotas, HomeQuotas, QuotaConfig, QuotaRouter};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use smol_str::SmolStr;
use tokio::sync::{mpsc, oneshot, watch};

use super::entries::Entries;
use super::quarantine::Quarantine;
use super::route_stats::RouteStats;
use super::runs::Runs;
use super::{ControllerEvent, EnterAsk, Granted, NotGranted};
use crate::clock::SharedClock;
use crate::mesh::findings::FindingsMessage;
use crate::mesh::journal::Journal;
use crate::mesh::metrics::MeshMetrics;
use crate::mesh::quotas::QuotaWord;

/// How a controller decides.
#[derive(Clone, Debug, PartialEq)]
pub struct ControllerConfig {
    /// The service beside this node.
    pub service: ServiceName,
    /// Address of the target beside this node.
    pub target: SocketAddr,
    /// Repeats.
    pub budget: RetryBudgetConfig,
    /// Choice of instances.
    pub fleet: FleetConfig,
    /// Shedding at the entry.
    pub shedder: ShedderConfig,
    /// Waiting for the target.
    pub gate: GateConfig,
    /// Admission between the signal to stop and the end.
    pub drain: DrainConfig,
    /// Quotas of workspaces.
    pub quotas: QuotaConfig,
    /// Requests that crash targets.
    pub quarantine: QuarantineConfig,
    /// Age of the publisher's last answer up to which an unknown route is said not to exist.
    pub publisher_fresh: Duration,
    /// Level from which requests from outside are not sent again after a failure: what it costs is missing to others.
    pub no_repeat_level: f64,
}

impl Default for ControllerConfig {
    fn default() -> Self {
        Self {
            service: ServiceName::default(),
            target: SocketAddr::from(([127, 0, 0, 1], 0)),
            budget: RetryBudgetConfig::default(),
            fleet: FleetConfig::default(),
            shedder: ShedderConfig::default(),
            gate: GateConfig::default(),
            drain: DrainConfig::default(),
            quotas: QuotaConfig::default(),
            quarantine: QuarantineConfig::default(),
            publisher_fresh: Duration::from_millis(2600),
            no_repeat_level: 0.5,
        }
    }
}

/// A request that waits for a slot.
#[derive(Debug)]
pub(super) struct Waiter {
    pub ask: EnterAsk,
    pub reply: oneshot::Sender<Result<Granted, NotGranted>>,
}

/// Where a controller sends what others are to do.
pub struct ControllerChannels {
    /// Its own events, for the guards that it gives out.
    pub events: mpsc::UnboundedSender<ControllerEvent>,
    /// What a caller may send.
    pub limits: watch::Sender<CallerLimits>,
    /// Quotas of workspaces, for other nodes.
    pub quota_words: mpsc::UnboundedSender<QuotaWord>,
    /// Requests that crash targets, for other nodes.
    pub findings: mpsc::UnboundedSender<FindingsMessage>,
}

/// Everything that a node decides by.
pub struct Controller {
    pub(super) cfg: ControllerConfig,
    pub(super) clock: SharedClock,
    pub(super) tx: mpsc::UnboundedSender<ControllerEvent>,
    pub(super) limits: watch::Sender<CallerLimits>,
    pub(super) rng: SmallRng,
    pub(super) config: Option<Arc<MeshConfig>>,
    pub(super) splits: Map<SmolStr, WeightedRoundRobin>,
    pub(super) stats: Map<SmolStr, RouteStats>,
    pub(super) fleet: Fleet,
    pub(super) entries: Entries,
    pub(super) shedder: Shedder,
    pub(super) budget: RetryBudget,
    pub(super) gate: TargetGate,
    pub(super) runs: Runs,
    pub(super) entry_quotas: EntryQuotas,
    pub(super) home_quotas: HomeQuotas,
    pub(super) quota_router: QuotaRouter,
    /// When decisions about quotas were last reported.
    pub(super) quotas_reported: Instant,
    pub(super) quota_words: mpsc::UnboundedSender<QuotaWord>,
    pub(super) waiting: Map<Ticket, Waiter>,
    pub(super) quarantine: Quarantine,
    pub(super) findings: mpsc::UnboundedSender<FindingsMessage>,
    pub(super) left: VecDeque<SmolStr>,
    /// Era of the last list.
    pub(super) era: Option<Era>,
    pub(super) publisher_answered: Option<Instant>,
    pub(super) publisher_sound: bool,
    /// Set by the first signal to stop.
    pub(super) drain: Option<Drain>,
    pub(super) journal: Journal,
    pub(super) metrics: MeshMetrics,
    pub(super) logged_level: f64,
}

impl Controller {
    /// A controller that knows neither configuration nor instances.
    pub fn new(
        cfg: ControllerConfig,
        clock: SharedClock,
        channels: ControllerChannels,
        journal: Journal,
        metrics: MeshMetrics,
    ) -> Self {
        let now = clock.now();
        let mut rng = SmallRng::from_os_rng();
        let ControllerChannels {
            events,
            limits,
            quota_words,
            findings,
        } = channels;
        Self {
            shedder: Shedder::new(cfg.shedder, rng.random(), now),
            config: None,
            splits: Map::default(),
            stats: Map::default(),
            fleet: Fleet::new(cfg.fleet.clone()),
            entries: Entries::default(),
            budget: RetryBudget::new(cfg.budget),
            gate: TargetGate::new(cfg.gate, now),
            runs: Runs::default(),
            entry_quotas: EntryQuotas::new(cfg.quotas, rng.random(), now),
            home_quotas: HomeQuotas::new(cfg.quotas.bound, now),
            quota_router: QuotaRouter::new(rng.random_range(0..1024)),
            quotas_reported: now,
            quota_words,
            waiting: Map::default(),
            quarantine: Quarantine::new(cfg.quarantine),
            findings,
            left: VecDeque::new(),
            era: None,
            publisher_answered: None,
            publisher_sound: false,
            drain: None,
            journal,
            metrics,
            logged_level: 0.0,
            rng,
            cfg,
            clock,
            tx: events,
            limits,
        }
    }

    /// Takes in changed settings: bounds of repeats, waiting for the target, the service's name. Where this node and its
    /// target are is part of what others know of it, and stays until the next start.
    pub(super) fn configure(&mut self, cfg: ControllerConfig) {
        self.budget.set_config(cfg.budget);
        self.gate.set_config(cfg.gate);
        self.cfg = ControllerConfig {
            target: self.cfg.target,
            fleet: self.cfg.fleet.clone(),
            ..cfg
        };
    }

    /// Whether the node can serve requests.
    pub(super) fn is_ready(&self) -> bool {
        self.config.is_some() && self.drain.is_none()
    }
}
