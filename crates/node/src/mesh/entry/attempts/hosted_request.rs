//! The request as it is sent to a host.

use std::time::{Duration, Instant};

use coltsfootport_core::mesh::QueueTimeoutRequest;

use super::Attempts;
use crate::mesh::call::{AttemptToken, Body, HostedRequest};
use crate::mesh::controller::InstanceGrant;

impl Attempts<'_> {
    pub(super) fn hosted_request(&self, to: &InstanceGrant, body: Body) -> HostedRequest {
        let route = self.admitted.config.route(self.admitted.route);
        HostedRequest {
            head: self.head.clone(),
            body,
            id: self.id.clone(),
            fingerprint: self.fingerprint,
            attempt: AttemptToken::random(),
            instance: to.chosen.id.clone(),
            rank: self.admitted.rank,
            workspace: self.admitted.workspace.clone(),
            inner: self.admitted.parent.is_some(),
            began: self.began(),
            admitted_share: self.admitted.admitted_share,
            kind: route.kind(),
            repeat: route.idempotency,
            deadline: self.deadline,
            queue_timeout: self.queue_timeout(),
            origin: self.entry.service.borrow().clone(),
            cut_off: to.cut_off.clone(),
            account: self.account.clone(),
        }
    }

    /// Longest expected queueing time at which a host still enqueues the request; zero if it must start at once.
    fn queue_timeout(&self) -> Duration {
        if self.entry.shutdown.is_waiting_over() {
            return Duration::ZERO;
        }
        let route = self.admitted.config.route(self.admitted.route);
        let req = QueueTimeoutRequest {
            inner: self.admitted.parent.is_some(),
            arrived: self.arrived,
            latency_target: route.latency_target,
            deadline: self.deadline,
        };
        self.entry
            .queue_timeout
            .timeout_for(&req, self.entry.clock.now())
    }

    /// When the originating external request entered the mesh.
    fn began(&self) -> Instant {
        let parent = self.admitted.parent.as_ref();
        parent.map_or(self.arrived, |parent| parent.began)
    }
}
