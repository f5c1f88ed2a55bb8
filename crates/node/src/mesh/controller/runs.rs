//! Requests that run at the own target, and what they cause.

use std::time::Instant;

use coltsfootport_core::collections::Map;
use coltsfootport_core::id::ServiceName;
use coltsfootport_core::mesh::Ticket;
use coltsfootport_core::quarantine::Fingerprint;
use smol_str::SmolStr;

use super::ParentRun;
use crate::mesh::call::{DownstreamCalls, Report};

/// A request at the own target.
#[derive(Clone, Debug)]
pub struct Run {
    /// Its id.
    pub id: SmolStr,
    /// What stays the same when it is sent again.
    pub fingerprint: Fingerprint,
    /// The instance that runs it.
    pub instance: SmolStr,
    /// Urgency of the request from outside that it serves.
    pub rank: u8,
    /// Workspace of that request.
    pub workspace: Option<SmolStr>,
    /// Share of the requests like that one which its entry admitted.
    pub admitted: f64,
    /// When that request entered the mesh.
    pub began: Instant,
    /// When its time is over.
    pub deadline: Instant,
    /// What it has caused, by service.
    pub downstream: Vec<DownstreamCalls>,
}

/// All of them, by ticket and by id.
#[derive(Clone, Debug, Default)]
pub struct Runs {
    by_ticket: Map<Ticket, Run>,
    by_id: Map<SmolStr, Ticket>,
}

impl Runs {
    /// A request has entered.
    pub fn insert(&mut self, ticket: Ticket, run: Run) {
        if !run.id.is_empty() {
            self.by_id.insert(run.id.clone(), ticket);
        }
        self.by_ticket.insert(ticket, run);
    }

    /// A request has left.
    pub fn remove(&mut self, ticket: Ticket) -> Option<Run> {
        let run = self.by_ticket.remove(&ticket)?;
        if self.by_id.get(&run.id) == Some(&ticket) {
            self.by_id.remove(&run.id);
        }
        Some(run)
    }

    /// Whether an id is one of a call that a run makes.
    pub fn is_id_of_call(id: &str) -> bool {
        id.contains('.')
    }

    /// The run that a request of the own target serves.
    ///
    /// A target's own calls have ids that begin with the id of the request which it runs, and a dot. Where they don't,
    /// the request counts as one from outside: it can be shed although work was done for it, and nothing else changes.
    pub fn outer_of(&self, id: &str) -> Option<ParentRun> {
        let mut rest = id;
        while let Some((outer, _)) = rest.rsplit_once('.') {
            if let Some(ticket) = self.by_id.get(outer) {
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
            rest = outer;
        }
        None
    }

    /// A call of a run has ended: it was one arrival at `service`, and caused those of its report.
    pub fn caused(&mut self, outer: &str, service: &ServiceName, report: Option<&Report>) {
        let Some(ticket) = self.by_id.get(outer) else {
            return;
        };
        let Some(run) = self.by_ticket.get_mut(ticket) else {
            return;
        };
        let level = report.map_or(0.0, |report| report.level);
        add(&mut run.downstream, service, 1, level);
        for below in report.into_iter().flat_map(|report| &report.downstream) {
            add(
                &mut run.downstream,
                &below.service,
                below.count,
                below.level,
            );
        }
    }

    /// The request that has this ticket.
    pub fn get(&self, ticket: Ticket) -> Option<&Run> {
        self.by_ticket.get(&ticket)
    }

    /// Whether a request has this ticket.
    pub fn holds(&self, ticket: Ticket) -> bool {
        self.by_ticket.contains_key(&ticket)
    }

    /// All requests.
    pub fn iter(&self) -> impl Iterator<Item = &Run> {
        self.by_ticket.values()
    }

    /// Number of requests.
    pub fn len(&self) -> usize {
        self.by_ticket.len()
    }
}

fn add(caused: &mut Vec<DownstreamCalls>, service: &ServiceName, count: u32, level: f64) {
    match caused.iter_mut().find(|other| other.service == *service) {
        Some(known) => known.add(count, level),
        None => caused.push(DownstreamCalls {
            service: service.clone(),
            count,
            level,
        }),
    }
}
