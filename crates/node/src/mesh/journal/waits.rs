//! Log lines about requests and responses that wait, or are lost with their connection.

use std::time::{Duration, Instant};

use slog::info;

use super::Journal;
use crate::mesh::callers::{ConnectionEnd, OpenResponse};

/// Shortest wait in a queue, or of a response behind others, that is logged.
const MIN_LOGGED_WAIT: Duration = Duration::from_millis(250);

impl Journal {
    /// Logs a response that waited for others on its connection for longer than `MIN_LOGGED_WAIT`.
    pub fn response_written(&self, written: &OpenResponse, now: Instant) {
        let wait = written.waited(now);
        self.metrics.response_wait.observe(wait.as_secs_f64());
        if wait > MIN_LOGGED_WAIT
            && let Some(dropped) = self.admit_failure_line()
        {
            info!(self.log, "response waited"; "request" => written.id.as_str(), "ahead" => written.ahead,
                "waited_ms" => wait.as_millis() as u64, "dropped" => dropped);
        }
    }

    /// Logs a response that is ready and can't be written yet, shortly before the grace period ends.
    pub fn held_back(&self, open: &OpenResponse, now: Instant) {
        if let Some(dropped) = self.admit_failure_line() {
            info!(self.log, "response held back"; "request" => open.id.as_str(), "ahead" => open.ahead,
                "waited_ms" => open.waited(now).as_millis() as u64, "dropped" => dropped);
        }
    }

    /// Logs and counts the requests that a connection leaves without a response.
    pub fn responses_lost(&self, lost: &[OpenResponse], end: ConnectionEnd, now: Instant) {
        for open in lost {
            self.metrics.response_lost(end.as_str());
            if let Some(dropped) = self.admit_failure_line() {
                let age = now.saturating_duration_since(open.read_at);
                info!(self.log, "response lost"; "request" => open.id.as_str(), "reason" => end.as_str(),
                    "ahead" => open.ahead, "ready" => open.ready_at.is_some(),
                    "age_ms" => age.as_millis() as u64, "dropped" => dropped);
            }
        }
    }

    /// Logs a request that has left the queue of the local target after a wait of more than `MIN_LOGGED_WAIT`;
    /// `outcome` is how it left the queue.
    pub fn left_queue(&self, id: &str, outcome: &str, wait: Duration) {
        self.metrics.queue_wait.observe(wait.as_secs_f64());
        if wait > MIN_LOGGED_WAIT
            && let Some(dropped) = self.admit_failure_line()
        {
            info!(self.log, "left queue"; "request" => id, "outcome" => outcome,
                "waited_ms" => wait.as_millis() as u64, "dropped" => dropped);
        }
    }

    /// Logs a call of a run that enters the mesh while the node drains.
    pub fn call_while_draining(&self, id: &str, expected: Duration, left: Duration) {
        if let Some(dropped) = self.admit_failure_line() {
            info!(self.log, "call while draining"; "request" => id,
                "expected_ms" => expected.as_millis() as u64, "left_ms" => left.as_millis() as u64,
                "dropped" => dropped);
        }
    }
}
