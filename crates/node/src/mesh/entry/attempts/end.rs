//! The end of a request: what its caller gets, and the record of it.

use coltsfootport_core::mesh::Refusal;

use super::{AttemptResult, Attempts, may_have_run};
use crate::mesh::call::Refused;
use crate::mesh::controller::ControllerEvent;
use crate::mesh::journal::RequestSummary;

impl Attempts<'_> {
    /// Refusal returned to the caller when the deadline has passed.
    pub(in crate::mesh::entry) fn expired(&self) -> Refused {
        match self.may_be_running() {
            true => Refused::from(Refusal::Expired),
            false => Refused::from(Refusal::ExpiredUnsent),
        }
    }

    /// Refusal returned to the caller when the node stops before the request has ended.
    pub(in crate::mesh::entry) fn given_up(&self) -> Refused {
        match self.may_be_running() {
            true => Refused::from(Refusal::Lost),
            false => Refused::from(Refusal::Stopping),
        }
    }

    /// Whether an attempt with this result, or one before it, was passed on to a target.
    pub(in crate::mesh::entry) fn was_passed_on(&self, result: &AttemptResult) -> bool {
        self.target_attempts > 0 || may_have_run(result)
    }

    fn may_be_running(&self) -> bool {
        self.attempt_in_progress || may_have_run(&self.result_so_far)
    }

    /// Gives back the workspace quota used by a request that did not run.
    pub(in crate::mesh::entry) fn refund_quota(&self, result: &AttemptResult) {
        let Err(refused) = result else {
            return;
        };
        let workspace = self
            .admitted
            .workspace
            .as_ref()
            .filter(|_| self.admitted.parent.is_none());
        if let Some(workspace) = workspace.filter(|_| refused.refusal.is_not_run()) {
            let unused = ControllerEvent::QuotaUnused(workspace.clone());
            self.entry.controller.notify(unused);
        }
    }

    /// Logs the result that the caller gets.
    pub(in crate::mesh::entry) fn log(&self, result: &AttemptResult) {
        let (status, refusal) = match result {
            Ok(answer) => (answer.status.as_u16(), ""),
            Err(refused) => (refused.refusal.rule().status, refused.refusal.as_str()),
        };
        let now = self.entry.clock.now();
        self.entry.journal.request_answered(RequestSummary {
            id: &self.id,
            fingerprint: Some(self.fingerprint),
            route: &self.route_name(),
            service: self.admitted.service.as_str(),
            instance: &self.last_instance,
            status,
            refusal,
            attempts: self.tried.len(),
            elapsed: now.saturating_duration_since(self.arrived),
            limit: self.deadline.saturating_duration_since(self.arrived),
            config: self.admitted.config.version().0,
            inner: self.admitted.parent.is_some(),
        });
    }
}
