//! Routing state of a peer.

use std::time::{Duration, Instant};

use slotmap::new_key_type;

use super::config::RoutingConfig;
use super::ejection::Ejection;
use super::load::{Load, LoadReport};
use crate::id::{DomainName, Incarnation, NodeName, RegionName, ServiceName};

new_key_type! {
    /// Key of a peer, valid while the peer is listed.
    pub struct PeerKey;
}

/// Description of a peer, from the platform's instance list and direct contact.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PeerView {
    /// Name of the node.
    pub node: NodeName,
    /// Service of the peer's target.
    pub service: ServiceName,
    /// Failure domain of the peer.
    pub domain: DomainName,
    /// Region of the peer.
    pub region: RegionName,
    /// Incarnation of the node, if known.
    pub incarnation: Option<Incarnation>,
    /// Whether the peer is listed as leaving.
    pub leaving: bool,
}

/// Outcome of a call attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RouteResult {
    /// The target answered.
    Served,
    /// The peer's admission control refused the call.
    Shed,
    /// The peer reported that its target failed.
    Failed,
    /// No complete answer was received from the peer.
    Lost,
    /// The caller disconnected before the answer; carries no information about the peer.
    Cancelled,
}

/// Load, ejection and incarnation state of a peer.
#[derive(Clone, Debug)]
pub(super) struct Peer {
    pub(super) view: PeerView,
    pub(super) load: Load,
    pub(super) ejection: Ejection,
    /// Leaving notice received from the peer itself.
    leaving_notice: Option<LeavingNotice>,
    /// The incarnation before the current one.
    previous_incarnation: Option<Incarnation>,
    fresh_since: Option<Instant>,
}

/// Notice from a peer that this incarnation is leaving.
#[derive(Clone, Copy, Debug)]
struct LeavingNotice {
    incarnation: Incarnation,
    /// Whether the instance list has shown the peer as leaving since then.
    confirmed: bool,
}

impl Peer {
    /// Creates a newly listed peer. `fresh_since` starts its slow start; `None` for peers of the first list.
    pub(super) fn new(
        view: PeerView,
        previous_incarnation: Option<Incarnation>,
        fresh_since: Option<Instant>,
        now: Instant,
    ) -> Self {
        Self {
            view,
            load: Load::new(now),
            ejection: Ejection::default(),
            leaving_notice: None,
            previous_incarnation,
            fresh_since,
        }
    }

    /// Applies a newer listing of the peer.
    pub(super) fn update(&mut self, mut view: PeerView, now: Instant) {
        if self.previous_incarnation.is_some() && view.incarnation == self.previous_incarnation {
            view.incarnation = None;
        }
        let known = self.view.incarnation;
        let replaced = known.is_some() && view.incarnation.is_some() && known != view.incarnation;
        let confirmed = self.leaving_notice.is_some_and(|notice| notice.confirmed);
        let returned = confirmed && !view.leaving && view.incarnation.is_none();
        if replaced || returned {
            *self = Self::new(view, known, Some(now), now);
            return;
        }
        if let Some(notice) = &mut self.leaving_notice {
            notice.confirmed |= view.leaving;
        }
        view.incarnation = view.incarnation.or(known);
        self.view = view;
    }

    /// The incarnation to remember when the peer is no longer listed.
    pub(super) fn last_incarnation(&self) -> Option<Incarnation> {
        self.view.incarnation.or(self.previous_incarnation)
    }

    /// Records a notice from the peer that the given incarnation is leaving.
    ///
    /// The notice overrides the instance list, which shows the peer as live for some more seconds; otherwise calls
    /// would be refused during every planned stop. A late notice from the previous incarnation does not affect the
    /// current one.
    pub(super) fn record_leaving(&mut self, incarnation: Incarnation) {
        let known = self
            .leaving_notice
            .is_some_and(|notice| notice.incarnation == incarnation);
        if known || self.previous_incarnation == Some(incarnation) {
            return;
        }
        self.view.incarnation = Some(incarnation);
        self.leaving_notice = Some(LeavingNotice {
            incarnation,
            confirmed: self.view.leaving,
        });
    }

    /// Whether the peer accepts new work.
    pub(super) fn is_live(&self) -> bool {
        !self.view.leaving && self.leaving_notice.is_none()
    }

    /// Load balancing weight; below 1 during slow start.
    pub(super) fn weight(&self, cfg: &RoutingConfig, now: Instant) -> f64 {
        let since = match (self.fresh_since, self.ejection.ejected_until()) {
            (Some(fresh), Some(ejected_until)) => fresh.max(ejected_until),
            (Some(since), None) | (None, Some(since)) => since,
            (None, None) => return 1.0,
        };
        let age = now.saturating_duration_since(since);
        if age >= cfg.slow_start {
            return 1.0;
        }
        let progress = age.as_secs_f64() / cfg.slow_start.as_secs_f64();
        cfg.slow_start_share + (1.0 - cfg.slow_start_share) * progress
    }

    pub(super) fn record_sent(&mut self, cfg: &RoutingConfig, now: Instant) {
        self.load.record_sent(cfg, now);
    }

    /// Records the end of an attempt, without updating the ejection state.
    pub(super) fn record_done(
        &mut self,
        cfg: &RoutingConfig,
        result: RouteResult,
        report: LoadReport,
        now: Instant,
    ) {
        self.load.record_done(cfg, result, report, now);
    }

    /// Mean latency of a served call, if known.
    pub(super) fn latency(&self, cfg: &RoutingConfig, now: Instant) -> Option<Duration> {
        self.load.latency(cfg, now)
    }
}
