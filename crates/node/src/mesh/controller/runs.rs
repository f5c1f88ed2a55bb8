//! Requests running at this node's target, and the downstream calls that they cause.

use std::time::Instant;

use coltsfootport_core::collections::Map;
use coltsfootport_core::id::ServiceName;
use coltsfootport_core::mesh::{OpenCalls, RequestKind, Ticket};
use coltsfootport_core::quarantine::Fingerprint;
use smol_str::SmolStr;

use super::ParentRun;
use crate::mesh::call::{AttemptToken, DownstreamCalls, Report};

/// A request running at this node's target.
#[derive(Clone, Debug)]
pub struct Run {
    /// Request id.
    pub id: SmolStr,
    /// Fingerprint, which stays the same when the request is retried.
    pub fingerprint: Fingerprint,
    /// Identifies the attempt of the entry node.
    pub attempt: AttemptToken,
    /// Id of the instance that runs the request.
    pub instance: SmolStr,
    /// Rank of the originating external request.
    pub rank: u8,
    /// Workspace of the originating request.
    pub workspace: Option<SmolStr>,
    /// Share of the requests like the originating one that its entry node admitted.
    pub admitted: f64,
    /// When the originating request entered the mesh.
    pub began: Instant,
    /// Deadline of the request.
    pub deadline: Instant,
    /// Identifies its route.
    pub kind: RequestKind,
    /// Downstream calls that it has caused, by service.
    pub downstream: Vec<DownstreamCalls>,
    /// Calls of its own that it waits for.
    pub open_calls: OpenCalls,
}

/// The running requests of a node, indexed by ticket and by id.
#[derive(Clone, Debug, Default)]
pub struct Runs {
    by_ticket: Map<Ticket, Run>,
    by_id: Map<SmolStr, Ticket>,
}

impl Runs {
    /// Adds a request that starts running.
    pub fn insert(&mut self, ticket: Ticket, run: Run) {
        if !run.id.is_empty() {
            self.by_id.insert(run.id.clone(), ticket);
        }
        self.by_ticket.insert(ticket, run);
    }

    /// Removes a request that has stopped running.
    pub fn remove(&mut self, ticket: Ticket) -> Option<Run> {
        let run = self.by_ticket.remove(&ticket)?;
        if self.by_id.get(&run.id) == Some(&ticket) {
            self.by_id.remove(&run.id);
        }
        Some(run)
    }

    /// Returns whether a request id has the form used for calls made by a running request.
    pub fn is_call_id(id: &str) -> bool {
        id.contains('.')
    }

    /// Finds the running request on whose behalf the target makes the call with the given id.
    ///
    /// The id of such a call is the id of the running request followed by a dot and a suffix. A call with any other id
    /// is treated as an external request. The only effect is that it can be shed although work has already been done
    /// for it.
    pub fn find_parent(&self, id: &str) -> Option<ParentRun> {
        let mut rest = id;
        while let Some((parent, _)) = rest.rsplit_once('.') {
            if let Some(ticket) = self.by_id.get(parent) {
                let run = self.by_ticket.get(ticket)?;
                return Some(ParentRun {
                    id: run.id.clone(),
                    rank: run.rank,
                    workspace: run.workspace.clone(),
                    admitted_share: run.admitted,
                    began: run.began,
                    deadline: run.deadline,
                });
            }
            rest = parent;
        }
        None
    }

    /// Records that a running request sends a call of its own.
    pub fn call_sent(&mut self, parent: &str, now: Instant) {
        if let Some(run) = self.find_mut(parent) {
            run.open_calls.begin(now);
        }
    }

    /// Records a finished call of a running request: one call at `service`, plus those listed in its report.
    pub fn record_call(
        &mut self,
        parent: &str,
        service: &ServiceName,
        report: Option<&Report>,
        now: Instant,
    ) {
        let Some(run) = self.find_mut(parent) else {
            return;
        };
        run.open_calls.end(now);
        let own = DownstreamCalls {
            service: service.clone(),
            count: 1,
            level: report.map_or(0.0, |report| report.level),
            work: report.map_or(0.0, |report| report.held.as_secs_f64()),
        };
        add_downstream(&mut run.downstream, &own);
        for below in report.into_iter().flat_map(|report| &report.downstream) {
            add_downstream(&mut run.downstream, below);
        }
    }

    fn find_mut(&mut self, id: &str) -> Option<&mut Run> {
        let ticket = self.by_id.get(id)?;
        self.by_ticket.get_mut(ticket)
    }

    /// Returns the request with this ticket.
    pub fn get(&self, ticket: Ticket) -> Option<&Run> {
        self.by_ticket.get(&ticket)
    }

    /// Returns whether a request with this ticket is running.
    pub fn contains(&self, ticket: Ticket) -> bool {
        self.by_ticket.contains_key(&ticket)
    }

    /// Iterates over all requests in no particular order.
    pub fn iter(&self) -> impl Iterator<Item = &Run> {
        self.by_ticket.values()
    }

    /// Returns the number of requests.
    pub fn len(&self) -> usize {
        self.by_ticket.len()
    }
}

fn add_downstream(downstream: &mut Vec<DownstreamCalls>, calls: &DownstreamCalls) {
    let mut known = downstream.iter_mut();
    match known.find(|known| known.service == calls.service) {
        Some(known) => known.add(calls),
        None => downstream.push(calls.clone()),
    }
}
