//! A peer as routing sees it.

use std::time::{Duration, Instant};

use slotmap::new_key_type;

use super::config::RoutingConfig;
use super::ejection::Ejection;
use super::load::{Load, LoadReport};
use crate::id::{DomainName, Incarnation, NodeName, RegionName, ServiceName};

new_key_type! {
    /// Key of a peer while it is on the list.
    pub struct PeerKey;
}

/// A peer as listed by the platform and known from contact.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PeerView {
    /// Name of the node.
    pub node: NodeName,
    /// The service of its target.
    pub service: ServiceName,
    /// Its failure domain.
    pub domain: DomainName,
    /// Its region.
    pub region: RegionName,
    /// The run of its node, where it is known.
    pub incarnation: Option<Incarnation>,
    /// Whether the list says that it is leaving.
    pub leaving: bool,
}

/// How an attempt at a peer ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RouteResult {
    /// The target answered.
    Served,
    /// The peer refused the call by admission.
    Shed,
    /// The peer answered that its target failed.
    Failed,
    /// No whole answer came from the peer.
    Lost,
    /// The caller left first; says nothing about the peer.
    Cancelled,
}

/// State of a peer.
#[derive(Clone, Debug)]
pub(super) struct Peer {
    pub(super) view: PeerView,
    pub(super) load: Load,
    pub(super) ejection: Ejection,
    /// The run that said itself that it is leaving.
    left: Option<Left>,
    /// The run before the present one.
    former: Option<Incarnation>,
    fresh_since: Option<Instant>,
}

#[derive(Clone, Copy, Debug)]
struct Left {
    incarnation: Incarnation,
    /// Whether the list has shown the leaving since.
    confirmed: bool,
}

impl Peer {
    /// A peer new to the list; `fresh_since` is when it was first seen, unless it was there before this node.
    pub(super) fn new(
        view: PeerView,
        former: Option<Incarnation>,
        fresh_since: Option<Instant>,
        now: Instant,
    ) -> Self {
        Self {
            view,
            load: Load::new(now),
            ejection: Ejection::default(),
            left: None,
            former,
            fresh_since,
        }
    }

    /// Takes in the list's newer view.
    pub(super) fn update(&mut self, mut view: PeerView, now: Instant) {
        if self.former.is_some() && view.incarnation == self.former {
            view.incarnation = None;
        }
        let known = self.view.incarnation;
        let replaced = known.is_some() && view.incarnation.is_some() && known != view.incarnation;
        let confirmed = self.left.is_some_and(|left| left.confirmed);
        let returned = confirmed && !view.leaving && view.incarnation.is_none();
        if replaced || returned {
            *self = Self::new(view, known, Some(now), now);
            return;
        }
        if let Some(left) = &mut self.left {
            left.confirmed |= view.leaving;
        }
        view.incarnation = view.incarnation.or(known);
        self.view = view;
    }

    /// The run to be remembered when the peer goes off the list.
    pub(super) fn last_run(&self) -> Option<Incarnation> {
        self.view.incarnation.or(self.former)
    }

    /// Takes in that a run says itself that it is leaving.
    ///
    /// The list lags: for some seconds it still shows the peer as live. Were it believed, the peer would get new work
    /// after it said that it leaves, seen as refused calls during each planned stop. Word of the run before may come
    /// late, after its successor is known; it says nothing about the successor.
    pub(super) fn leaving(&mut self, incarnation: Incarnation) {
        let known = self
            .left
            .is_some_and(|left| left.incarnation == incarnation);
        if known || self.former == Some(incarnation) {
            return;
        }
        self.view.incarnation = Some(incarnation);
        self.left = Some(Left {
            incarnation,
            confirmed: self.view.leaving,
        });
    }

    /// Whether the peer takes new work.
    pub(super) fn is_live(&self) -> bool {
        !self.view.leaving && self.left.is_none()
    }

    /// Share of its full weight; below 1 while it is fresh.
    pub(super) fn weight(&self, cfg: &RoutingConfig, now: Instant) -> f64 {
        let since = match (self.fresh_since, self.ejection.readmitted()) {
            (Some(fresh), Some(readmitted)) => fresh.max(readmitted),
            (Some(since), None) | (None, Some(since)) => since,
            (None, None) => return 1.0,
        };
        let age = now.saturating_duration_since(since);
        if age >= cfg.slow_start {
            return 1.0;
        }
        let warm = age.as_secs_f64() / cfg.slow_start.as_secs_f64();
        cfg.slow_start_share + (1.0 - cfg.slow_start_share) * warm
    }

    pub(super) fn sent(&mut self, cfg: &RoutingConfig, now: Instant) {
        self.load.sent(cfg, now);
    }

    /// Takes in the end of an attempt, without ejection.
    pub(super) fn done(
        &mut self,
        cfg: &RoutingConfig,
        result: RouteResult,
        report: LoadReport,
        now: Instant,
    ) {
        self.load.done(cfg, result, report, now);
    }

    /// Time of one served call at this peer, where it is known.
    pub(super) fn latency(&self, cfg: &RoutingConfig, now: Instant) -> Option<Duration> {
        self.load.latency(cfg, now)
    }
}
