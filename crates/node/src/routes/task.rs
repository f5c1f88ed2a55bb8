//! Task that owns the state of routing.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Instant;

use coltsfootport_core::admission::{DownstreamLevels, DownstreamLevelsConfig};
use coltsfootport_core::allowance::{
    EdgeBudget, EdgeBudgetConfig, RetryAfterConfig, TargetState, retry_after,
};
use coltsfootport_core::collections::Map;
use coltsfootport_core::id::{Incarnation, NodeName, ServiceName};
use coltsfootport_core::membership::NodeState;
use coltsfootport_core::once::{Minter, Token};
use coltsfootport_core::routing::{LoadReport, PeerKey, RouteResult, Router, RoutingConfig};
use rand::SeedableRng;
use rand::rngs::SmallRng;
use smol_str::SmolStr;
use tokio::sync::{mpsc, oneshot, watch};

use super::{
    AttemptEnd, AttemptGuard, Choice, PeerLoad, PickRequest, Route, RoutesHandle, RoutesMessage,
};
use crate::clock::SharedClock;
use crate::data::HostReport;
use crate::spread::{Published, StateReport};

/// Settings and channels of the routes task.
pub struct RoutesSetup {
    /// Settings of the router.
    pub routing: RoutingConfig,
    /// Settings of the retry budgets, one for each service.
    pub budget: EdgeBudgetConfig,
    /// Whether calls are shed here by the admission levels that hosts report.
    pub level_shedding: bool,
    /// Clock of the process.
    pub clock: SharedClock,
    /// Published documents and instances.
    pub published: watch::Receiver<Arc<Published>>,
    /// Passes on the states that nodes report of themselves.
    pub state_reports: mpsc::UnboundedSender<StateReport>,
}

/// Task that owns the router, admission levels, retry budgets and the minting of tokens.
pub struct Routes {
    router: Router,
    levels: DownstreamLevels,
    level_shedding: bool,
    budget: EdgeBudgetConfig,
    budgets: Map<ServiceName, EdgeBudget>,
    minter: Minter,
    addresses: Map<NodeName, SocketAddr>,
    reported: Map<NodeName, ReportedState>,
    /// Highest revision of published entries that this node holds or that a peer has reported.
    known_revision: u64,
    rng: SmallRng,
    clock: SharedClock,
    published: watch::Receiver<Arc<Published>>,
    state_reports: mpsc::UnboundedSender<StateReport>,
    tx: mpsc::UnboundedSender<RoutesMessage>,
    rx: mpsc::UnboundedReceiver<RoutesMessage>,
}

/// State that a node last reported of itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct ReportedState {
    incarnation: Incarnation,
    state: NodeState,
}

impl Routes {
    /// Creates the task and its handle.
    pub fn new(setup: RoutesSetup) -> (Self, RoutesHandle) {
        let (tx, rx) = mpsc::unbounded_channel();
        let routes = Self {
            router: Router::new(setup.routing),
            levels: DownstreamLevels::new(DownstreamLevelsConfig::default()),
            level_shedding: setup.level_shedding,
            budget: setup.budget,
            budgets: Map::default(),
            minter: Minter::new(),
            addresses: Map::default(),
            reported: Map::default(),
            known_revision: 0,
            rng: SmallRng::from_os_rng(),
            clock: setup.clock,
            published: setup.published,
            state_reports: setup.state_reports,
            tx: tx.clone(),
            rx,
        };
        (routes, RoutesHandle::new(tx))
    }

    /// Runs until the publisher of the instance list or the message channel closes.
    pub async fn run(mut self) {
        self.apply_published();
        loop {
            tokio::select! {
                biased;
                changed = self.published.changed() => match changed {
                    Ok(()) => self.apply_published(),
                    Err(_) => return,
                },
                message = self.rx.recv() => match message {
                    Some(message) => self.handle(message),
                    None => return,
                },
            }
        }
    }

    fn apply_published(&mut self) {
        let published = Arc::clone(&self.published.borrow_and_update());
        let now = self.clock.now();
        self.known_revision = published.revision;
        self.levels.expire(now);
        self.addresses = published
            .nodes
            .iter()
            .map(|node| (node.view.node.clone(), node.peer))
            .collect();
        let addresses = &self.addresses;
        self.reported.retain(|node, _| addresses.contains_key(node));
        self.router.update(
            published
                .nodes
                .iter()
                .map(|node| node.view.clone())
                .collect(),
            now,
        );
    }

    fn handle(&mut self, message: RoutesMessage) {
        match message {
            RoutesMessage::Pick(request, reply) => {
                let _ = reply.send(self.pick(request));
            }
            RoutesMessage::Home(token, reply) => {
                let _ = reply.send(self.home(&token));
            }
            RoutesMessage::AttemptEnded(end) => self.end_attempt(end),
            RoutesMessage::HostReport(report) => self.record_report(&report),
            RoutesMessage::Mint(home, service, reply) => {
                let _ = reply.send(self.minter.mint(&home, &service, self.clock.now()));
            }
            RoutesMessage::SpendRetry(service, reply) => self.spend_retry(service, reply),
            RoutesMessage::Peers(reply) => {
                let _ = reply.send(self.peers());
            }
        }
    }

    fn pick(&mut self, request: PickRequest) -> Choice {
        let now = self.clock.now();
        if let Some(shed) = self.shed_early(&request, now) {
            return shed;
        }
        let picked = self
            .router
            .pick(&request.service, &request.excluded, now, &mut self.rng);
        let Some(key) = picked else {
            return Choice::NoHost;
        };
        match self.route(key, request.service, request.operation, now) {
            Some(route) => Choice::Send(Box::new(route)),
            None => Choice::NoHost,
        }
    }

    /// Sheds a call that would be shed downstream, before any work is spent on it.
    fn shed_early(&mut self, request: &PickRequest, now: Instant) -> Option<Choice> {
        let key = edge_key(&request.service, &request.operation);
        if !self.level_shedding || self.levels.admits(&key, request.class, request.bucket, now) {
            return None;
        }
        let target = TargetState {
            level: self.levels.level(&key, now),
            ..IDLE_TARGET
        };
        let cfg = RetryAfterConfig::default();
        Some(Choice::Shed(retry_after(
            &cfg,
            &target,
            request.class,
            &mut self.rng,
        )))
    }

    fn home(&mut self, token: &Token) -> Option<Route> {
        let key = self.router.key_of(&token.home)?;
        self.route(
            key,
            token.service.clone(),
            SmolStr::default(),
            self.clock.now(),
        )
    }

    fn route(
        &mut self,
        key: PeerKey,
        service: ServiceName,
        operation: SmolStr,
        now: Instant,
    ) -> Option<Route> {
        let node = self.router.peer(key)?.node.clone();
        let address = *self.addresses.get(&node)?;
        self.router.sent(key, now);
        let guard = AttemptGuard::new(key, service, operation, self.tx.clone());
        Some(Route {
            node,
            address,
            guard,
        })
    }

    fn end_attempt(&mut self, end: AttemptEnd) {
        let now = self.clock.now();
        let load = end
            .report
            .as_ref()
            .map(LoadReport::from)
            .unwrap_or_default();
        self.router.done(end.peer, end.result, load, now);
        if end.result == RouteResult::Served {
            self.service_budget(end.service.clone(), now).success();
        }
        let Some(report) = end.report else { return };
        self.levels
            .record(&edge_key(&end.service, &end.operation), report.level, now);
        self.record_report(&report);
    }

    fn record_report(&mut self, report: &HostReport) {
        let now = self.clock.now();
        self.minter
            .update_home(report.node.clone(), report.incarnation, report.tick, now);
        let reported = ReportedState {
            incarnation: report.incarnation,
            state: report.state,
        };
        let newer = report.revision > self.known_revision;
        if self.reported.get(&report.node) == Some(&reported) && !newer {
            return;
        }
        self.reported.insert(report.node.clone(), reported);
        if report.state == NodeState::Leaving {
            self.router.record_leaving(&report.node, report.incarnation);
        }
        self.known_revision = self.known_revision.max(report.revision);
        let _ = self.state_reports.send(StateReport::from(report));
    }

    fn spend_retry(&mut self, service: ServiceName, reply: oneshot::Sender<bool>) {
        let now = self.clock.now();
        let spent = self.service_budget(service, now).try_spend(now);
        let _ = reply.send(spent);
    }

    fn service_budget(&mut self, service: ServiceName, now: Instant) -> &mut EdgeBudget {
        let cfg = &self.budget;
        self.budgets
            .entry(service)
            .or_insert_with(|| EdgeBudget::new(cfg.clone(), now))
    }

    fn peers(&self) -> Vec<PeerLoad> {
        let now = self.clock.now();
        self.addresses
            .keys()
            .filter_map(|node| self.peer_load(node, now))
            .collect()
    }

    fn peer_load(&self, node: &NodeName, now: Instant) -> Option<PeerLoad> {
        let key = self.router.key_of(node)?;
        let view = self.router.peer(key)?;
        Some(PeerLoad {
            node: node.clone(),
            service: view.service.clone(),
            leaving: view.leaving
                || self
                    .reported
                    .get(node)
                    .is_some_and(|reported| reported.state == NodeState::Leaving),
            in_flight: self.router.in_flight(key),
            ejected: self.router.is_ejected(key, now),
        })
    }
}

/// State assumed of a target of which only the admission level is known.
const IDLE_TARGET: TargetState = TargetState {
    level: coltsfootport_core::admission::Level::OPEN,
    queued: 0,
    limit: 1,
    service_time: std::time::Duration::ZERO,
};

/// Returns the key under which the admission level of an operation is kept.
///
/// Levels are kept by operation, so that an overload downstream of one operation doesn't shed calls to other operations
/// of the same service.
fn edge_key(service: &ServiceName, operation: &SmolStr) -> ServiceName {
    let mut name = String::with_capacity(service.as_str().len() + operation.len() + 1);
    name.push_str(service.as_str());
    name.push(' ');
    name.push_str(operation);
    ServiceName::from(name.as_str())
}

impl From<&HostReport> for LoadReport {
    fn from(report: &HostReport) -> Self {
        Self {
            in_flight: report.in_flight,
            queued: report.queued,
            limit: report.limit,
        }
    }
}
