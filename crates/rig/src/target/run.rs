//! Call that holds a slot.

use std::sync::Arc;
use std::time::Duration;

use smol_str::SmolStr;
use tokio::sync::mpsc;
use tokio::time::Instant;

use crate::target::Settings;
use crate::target::owner::Command;

/// How a run ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunEnd {
    /// The run never started because its caller disconnected while the call was queued.
    NotStarted,
    /// The response is a success.
    Finished,
    /// The response is an error.
    Failed,
    /// The caller closed its connection.
    Cancelled,
}

/// Key and class of a call.
#[derive(Clone, Debug, Default)]
pub struct CallId {
    /// The call's `x-rig-key`, or empty if it has none.
    pub key: SmolStr,
    /// The call's class, or empty if it has none.
    pub class: SmolStr,
}

/// Parameters of a run, fixed by the owner when the call gets its slot.
#[derive(Clone, Debug)]
pub struct RunPlan {
    /// Duration of the call's own work, without downstream calls.
    pub work: Duration,
    /// Whether the call is answered with `500` after its work.
    pub fails: bool,
    /// Settings in effect when the slot was granted.
    pub settings: Arc<Settings>,
}

/// A slot held by a call. Dropping it releases the slot.
#[derive(Debug)]
pub struct Run {
    /// Parameters of the run.
    pub plan: RunPlan,
    id: CallId,
    tx: mpsc::UnboundedSender<Command>,
    end: RunEnd,
    work_time: Duration,
    work_started_at: Option<Instant>,
}

impl Run {
    /// Creates a run of the call `id` that reports to the owner through `tx`.
    pub fn new(plan: RunPlan, id: CallId, tx: mpsc::UnboundedSender<Command>) -> Self {
        Self {
            plan,
            id,
            tx,
            end: RunEnd::NotStarted,
            work_time: Duration::ZERO,
            work_started_at: None,
        }
    }

    /// Reports to the owner that the call has started to run.
    pub fn begin(&mut self, now: Instant) {
        self.end = RunEnd::Cancelled;
        self.work_started_at = Some(now);
        let _ = self.tx.send(Command::Started(self.id.clone()));
    }

    /// Records the end of the call's own work.
    pub fn work_done(&mut self, now: Instant) {
        if let Some(started_at) = self.work_started_at.take() {
            self.work_time += now - started_at;
        }
    }

    /// Records the result of the run.
    pub fn end(&mut self, end: RunEnd) {
        self.end = end;
    }
}

impl Drop for Run {
    fn drop(&mut self) {
        // A cancelled call is dropped in the middle of its work, which is counted up to this point.
        self.work_done(Instant::now());
        let (id, end, work_time) = (std::mem::take(&mut self.id), self.end, self.work_time);
        let _ = self.tx.send(Command::Ended { id, end, work_time });
    }
}
