//! Faults that affect the responses to readers.

use serde::{Deserialize, Serialize};

/// Fault that readers are exposed to.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum FaultMode {
    /// No fault: readers see every write.
    #[default]
    Up,
    /// Reads fail.
    Down,
    /// Readers see a snapshot taken when the fault began.
    Stale,
    /// Calls alternate between a snapshot taken when the fault began and the current state.
    Flap,
}

/// Result of a read through the fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReadOutcome<'a, T> {
    /// The state to respond with.
    State(&'a T),
    /// The read fails.
    Down {
        /// Whether the connection is closed without a response, rather than answered with `503`.
        drop: bool,
    },
}

/// State whose reads are subject to a fault.
#[derive(Clone, Debug, Default)]
pub struct Faulty<T> {
    current: T,
    snapshot: T,
    mode: FaultMode,
    drop: bool,
}

impl<T> Faulty<T>
where
    T: Clone + Default,
{
    /// Creates a state without a fault.
    pub fn new(current: T) -> Self {
        Self {
            current,
            ..Self::default()
        }
    }

    /// Returns the current state for writing, regardless of the fault.
    pub fn current_mut(&mut self) -> &mut T {
        &mut self.current
    }

    /// Sets the fault. `Stale` and `Flap` keep a copy of the current state.
    pub fn set(&mut self, mode: FaultMode, drop: bool) {
        self.mode = mode;
        self.drop = drop;
        self.snapshot = match mode {
            FaultMode::Up | FaultMode::Down => T::default(),
            FaultMode::Stale | FaultMode::Flap => self.current.clone(),
        };
    }

    /// Returns what the call with this sequence number reads.
    pub fn read(&self, call: u64) -> ReadOutcome<'_, T> {
        match self.mode {
            FaultMode::Up => ReadOutcome::State(&self.current),
            FaultMode::Down => ReadOutcome::Down { drop: self.drop },
            FaultMode::Stale => ReadOutcome::State(&self.snapshot),
            FaultMode::Flap if call.is_multiple_of(2) => ReadOutcome::State(&self.current),
            FaultMode::Flap => ReadOutcome::State(&self.snapshot),
        }
    }
}
