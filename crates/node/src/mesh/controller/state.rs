//! State and configuration of the controller.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use coltsfootport_core::collections::Map;
use coltsfootport_core::id::ServiceName;
use coltsfootport_core::mesh::{
    CallerLimits, CostShedder, Drain, DrainConfig, Era, Fleet, FleetConfig, GateConfig, MeshConfig,
    RetryBudget, RetryBudgetConfig, Shedder, ShedderConfig, TargetGate, Ticket, WeightedRoundRobin,
};
use coltsfootport_core::quarantine::QuarantineConfig;
use coltsfootport_core::workspace::{EntryQuotas, HomeQuotas, QuotaConfig, QuotaRouter};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use smol_str::SmolStr;
use tokio::sync::{mpsc, watch};
use tokio::task::JoinSet;

use super::ControllerEvent;
use super::entries::RejectedEntries;
use super::quarantine::Quarantine;
use super::route_stats::RouteStats;
use super::runs::Runs;
use super::waiters::Waiter;
use crate::clock::SharedClock;
use crate::mesh::findings::FindingsMessage;
use crate::mesh::journal::Journal;
use crate::mesh::metrics::MeshMetrics;
use crate::mesh::quotas::QuotaMessage;

/// Settings of a controller.
#[derive(Clone, Debug, PartialEq)]
pub struct ControllerConfig {
    /// Service of the local target.
    pub service: ServiceName,
    /// Address of the local target.
    pub target: SocketAddr,
    /// Retry budgets.
    pub budget: RetryBudgetConfig,
    /// Instance selection.
    pub fleet: FleetConfig,
    /// Load shedding of external requests at the entry node.
    pub shedder: ShedderConfig,
    /// Whether external requests are shed by the services that they use and by their cost there.
    pub cost_admission: bool,
    /// Queueing and concurrency limits of the local target.
    pub gate: GateConfig,
    /// Admission while the node drains, between the stop signal and its exit.
    pub drain: DrainConfig,
    /// Workspace quotas.
    pub quotas: QuotaConfig,
    /// Quarantine of requests that crash targets.
    pub quarantine: QuarantineConfig,
    /// Maximum age of the publisher's last response at which an unknown route is reported as nonexistent.
    pub max_publisher_age: Duration,
    /// Overload level above which failed external requests are not retried, since retries would take capacity from
    /// other requests.
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
            cost_admission: true,
            gate: GateConfig::default(),
            drain: DrainConfig::default(),
            quotas: QuotaConfig::default(),
            quarantine: QuarantineConfig::default(),
            max_publisher_age: Duration::from_millis(2600),
            no_repeat_level: 0.5,
        }
    }
}

/// Channels on which a controller notifies other tasks.
pub struct ControllerChannels {
    /// The controller's own events, sent by the guards that it hands out.
    pub events: mpsc::UnboundedSender<ControllerEvent>,
    /// Limits on what callers may send.
    pub limits: watch::Sender<CallerLimits>,
    /// Messages about workspace quotas for other nodes.
    pub quota_messages: mpsc::UnboundedSender<QuotaMessage>,
    /// Findings about requests that crash targets, for other nodes.
    pub findings: mpsc::UnboundedSender<FindingsMessage>,
}

/// Holds all state that a node's decisions depend on.
pub struct Controller {
    pub(super) cfg: ControllerConfig,
    pub(super) clock: SharedClock,
    pub(super) tx: mpsc::UnboundedSender<ControllerEvent>,
    pub(super) limits: watch::Sender<CallerLimits>,
    pub(super) rng: SmallRng,
    pub(super) config: Option<Arc<MeshConfig>>,
    pub(super) splits: Map<SmolStr, WeightedRoundRobin>,
    pub(super) route_stats: Map<SmolStr, RouteStats>,
    pub(super) fleet: Fleet,
    pub(super) rejected_entries: RejectedEntries,
    pub(super) shedder: Shedder,
    /// `None` if all routes of a rank are shed alike.
    pub(super) cost_shedder: Option<CostShedder>,
    pub(super) budget: RetryBudget,
    pub(super) gate: TargetGate,
    pub(super) runs: Runs,
    pub(super) entry_quotas: EntryQuotas,
    pub(super) home_quotas: HomeQuotas,
    pub(super) quota_router: QuotaRouter,
    /// When quota decisions were last reported.
    pub(super) last_quota_report: Instant,
    pub(super) quota_messages: mpsc::UnboundedSender<QuotaMessage>,
    pub(super) waiting: Map<Ticket, Waiter>,
    pub(super) quarantine: Quarantine,
    pub(super) findings: mpsc::UnboundedSender<FindingsMessage>,
    /// Ids of the most recently removed instances, oldest first.
    pub(super) removed_instances: VecDeque<SmolStr>,
    /// Era of the last full listing from the publisher.
    pub(super) era: Option<Era>,
    /// When the publisher last answered.
    pub(super) publisher_answered: Option<Instant>,
    /// Whether the last contact with the publisher succeeded.
    pub(super) publisher_healthy: bool,
    /// Set by the first stop signal.
    pub(super) drain: Option<Drain>,
    pub(super) journal: Journal,
    pub(super) metrics: MeshMetrics,
    /// Overload level of this node that was last logged.
    pub(super) logged_level: f64,
    /// Id and start of the local target's process, once its entry is known.
    pub(super) target_process: Option<(SmolStr, Option<u64>)>,
    /// Waits for a target that does not respond to go on; empty while it responds.
    pub(super) silence_watch: JoinSet<()>,
    /// Whether the log says that the local target does not respond.
    pub(super) logged_silence: bool,
}

impl Controller {
    /// Creates a controller without a configuration or instances.
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
            quota_messages,
            findings,
        } = channels;
        Self {
            shedder: Shedder::new(cfg.shedder, rng.random(), now),
            cost_shedder: cfg
                .cost_admission
                .then(|| CostShedder::new(cfg.shedder, now)),
            config: None,
            splits: Map::default(),
            route_stats: Map::default(),
            fleet: Fleet::new(cfg.fleet.clone()),
            rejected_entries: RejectedEntries::default(),
            budget: RetryBudget::new(cfg.budget),
            gate: TargetGate::new(cfg.gate, now),
            runs: Runs::default(),
            entry_quotas: EntryQuotas::new(cfg.quotas, rng.random(), now),
            home_quotas: HomeQuotas::new(cfg.quotas.bound, now),
            quota_router: QuotaRouter::new(rng.random_range(0..1024)),
            last_quota_report: now,
            quota_messages,
            waiting: Map::default(),
            quarantine: Quarantine::new(cfg.quarantine),
            findings,
            removed_instances: VecDeque::new(),
            era: None,
            publisher_answered: None,
            publisher_healthy: false,
            drain: None,
            journal,
            metrics,
            logged_level: 0.0,
            target_process: None,
            silence_watch: JoinSet::new(),
            logged_silence: false,
            rng,
            cfg,
            clock,
            tx: events,
            limits,
        }
    }

    /// Applies reloaded settings: retry budgets, queueing for the local target and the service name. The target address
    /// and the fleet settings are part of what other nodes know about this node, and only change at the next start.
    pub(super) fn apply_settings(&mut self, cfg: ControllerConfig) {
        self.budget.set_config(cfg.budget);
        self.gate.set_config(cfg.gate);
        self.cfg = ControllerConfig {
            target: self.cfg.target,
            fleet: self.cfg.fleet.clone(),
            ..cfg
        };
    }

    /// Whether the node is ready to serve requests.
    pub(super) fn is_ready(&self) -> bool {
        self.config.is_some() && self.drain.is_none()
    }
}
