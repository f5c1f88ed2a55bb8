//! One call while it holds a slot.

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
    /// It was never begun: its caller left while it waited.
    NotBegun,
    /// The answer is a success.
    Finished,
    /// The answer is an error.
    Failed,
    /// The caller closed its connection.
    Cancelled,
}

/// Who a call is.
#[derive(Clone, Debug, Default)]
pub struct CallId {
    /// The call's `x-rig-key`, empty where it had none.
    pub key: SmolStr,
    /// The call's class, empty where it had none.
    pub class: SmolStr,
}

/// What the owner decided for a call when it got its slot.
#[derive(Clone, Debug)]
pub struct RunPlan {
    /// Time of the call's own work.
    pub work: Duration,
    /// The call is answered `500` after its work.
    pub fails: bool,
    /// The settings at that moment.
    pub settings: Arc<Settings>,
}

/// A slot taken by a call; dropping it gives the slot back.
#[derive(Debug)]
pub struct Run {
    /// What to do.
    pub plan: RunPlan,
    id: CallId,
    tx: mpsc::UnboundedSender<Command>,
    end: RunEnd,
    worked: Duration,
    work_began: Option<Instant>,
}

impl Run {
    /// A slot for the call `id`, reported to the owner behind `tx`.
    pub fn new(plan: RunPlan, id: CallId, tx: mpsc::UnboundedSender<Command>) -> Self {
        Self {
            plan,
            id,
            tx,
            end: RunEnd::NotBegun,
            worked: Duration::ZERO,
            work_began: None,
        }
    }

    /// Tells the owner that the call runs from now on.
    pub fn begin(&mut self, now: Instant) {
        self.end = RunEnd::Cancelled;
        self.work_began = Some(now);
        let _ = self.tx.send(Command::Began(self.id.clone()));
    }

    /// The call's own work is over.
    pub fn work_done(&mut self, now: Instant) {
        if let Some(began) = self.work_began.take() {
            self.worked += now - began;
        }
    }

    /// The answer is ready.
    pub fn end(&mut self, end: RunEnd) {
        self.end = end;
    }
}

impl Drop for Run {
    fn drop(&mut self) {
        // A cancelled call is dropped in the middle of its work, which then counts up to this moment.
        self.work_done(Instant::now());
        let (id, end, worked) = (std::mem::take(&mut self.id), self.end, self.worked);
        let _ = self.tx.send(Command::Ended { id, end, worked });
    }
}
