//! Detects downstream calls that a target repeats after a failure.

use std::collections::VecDeque;

use coltsfootport_core::collections::Map;
use tokio::sync::{mpsc, oneshot};

use super::{GateMessage, InFlightKey};

/// Permit for one downstream call; the call counts as failed unless it is marked as successful before the drop.
///
/// A target that gives up on a call closes its connection, which drops the future that serves the call at an await
/// point. If only answered failures were recorded, the target's next try would count as a new call and be free.
#[derive(Debug)]
pub struct DownstreamPermit {
    key: InFlightKey,
    fingerprint: u64,
    is_repeat: bool,
    succeeded: bool,
    tx: mpsc::UnboundedSender<GateMessage>,
}

/// Downstream calls of one call in flight by fingerprint; a fingerprint is removed after its call has succeeded.
#[derive(Debug, Default)]
pub struct RepeatDetector {
    states: Map<u64, CallState>,
}

#[derive(Debug, Default)]
struct CallState {
    running: bool,
    failed: bool,
    waiting: VecDeque<oneshot::Sender<DownstreamPermit>>,
}

impl DownstreamPermit {
    /// Whether the previous call with the same fingerprint failed.
    pub fn is_repeat(&self) -> bool {
        self.is_repeat
    }

    /// Marks the call as successful: the target has received its answer.
    pub fn succeeded(mut self) {
        self.succeeded = true;
    }
}

impl Drop for DownstreamPermit {
    fn drop(&mut self) {
        let _ = self.tx.send(GateMessage::ReleasePermit {
            key: self.key,
            fingerprint: self.fingerprint,
            succeeded: self.succeeded,
        });
    }
}

impl RepeatDetector {
    /// Queues a request for a permit, which is sent to `reply`; the permit reports its release to `tx`.
    ///
    /// Calls with the same fingerprint run one at a time. If a target gives up on a call and sends it again, the second
    /// call may be received before the end of the first, and only that end decides whether the second is a retry.
    pub fn acquire(
        &mut self,
        key: InFlightKey,
        fingerprint: u64,
        reply: oneshot::Sender<DownstreamPermit>,
        tx: &mpsc::UnboundedSender<GateMessage>,
    ) {
        let state = self.states.entry(fingerprint).or_default();
        state.waiting.push_back(reply);
        if !state.running {
            state.grant_next(key, fingerprint, tx);
        }
    }

    /// Records the end of the running call and grants the permit to the next waiting one.
    pub fn release(
        &mut self,
        key: InFlightKey,
        fingerprint: u64,
        succeeded: bool,
        tx: &mpsc::UnboundedSender<GateMessage>,
    ) {
        let Some(state) = self.states.get_mut(&fingerprint) else {
            return;
        };
        state.running = false;
        state.failed = !succeeded;
        state.grant_next(key, fingerprint, tx);
        if !state.running && !state.failed {
            self.states.remove(&fingerprint);
        }
    }
}

impl CallState {
    fn grant_next(
        &mut self,
        key: InFlightKey,
        fingerprint: u64,
        tx: &mpsc::UnboundedSender<GateMessage>,
    ) {
        while let Some(next) = self.waiting.pop_front() {
            if next.is_closed() {
                continue;
            }
            self.running = true;
            let permit = DownstreamPermit {
                key,
                fingerprint,
                is_repeat: self.failed,
                succeeded: false,
                tx: tx.clone(),
            };
            // If the receiver is gone, the permit is dropped with the unsent message and reports its release.
            let _ = next.send(permit);
            return;
        }
    }
}
