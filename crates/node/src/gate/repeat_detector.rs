//! Calls that a target makes by itself on behalf of a call in flight.

use std::collections::VecDeque;

use coltsfootport_core::collections::Map;
use tokio::sync::{mpsc, oneshot};

use super::{GateMessage, InFlightKey};

/// The right to make one call of a target's own; dropped without success it counts as failed.
///
/// A target that gives a call up closes its connection, which drops the future that serves the call at any await. Were only
/// failures noted that are answered, the target's next try would pass as a new call and cost nothing.
#[derive(Debug)]
pub struct DownstreamPermit {
    key: InFlightKey,
    fingerprint: u64,
    is_repeat: bool,
    succeeded: bool,
    tx: mpsc::UnboundedSender<GateMessage>,
}

/// The own calls of one call in flight, by what they ask for; those that succeeded are not kept.
#[derive(Debug, Default)]
pub struct RepeatDetector {
    states: Map<u64, State>,
}

#[derive(Debug, Default)]
struct State {
    running: bool,
    failed: bool,
    waiting: VecDeque<oneshot::Sender<DownstreamPermit>>,
}

impl DownstreamPermit {
    /// Whether the call asks again for what failed before.
    pub fn is_repeat(&self) -> bool {
        self.is_repeat
    }

    /// The target got what it asked for.
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
    /// Takes a call that wants to begin; `tx` is where its end is told.
    ///
    /// Calls that ask for the same thing go one after the other. A target that gives up a call and sends it again may be
    /// heard with the second before the first is known to have ended, and whether the second is a retry is not known
    /// until then.
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
            state.start_next(key, fingerprint, tx);
        }
    }

    /// Takes the end of a call that had begun.
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
        state.start_next(key, fingerprint, tx);
        if !state.running && !state.failed {
            self.states.remove(&fingerprint);
        }
    }
}

impl State {
    fn start_next(
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
            // A receiver that has gone drops the call inside the message, which tells its end.
            let _ = next.send(permit);
            return;
        }
    }
}
