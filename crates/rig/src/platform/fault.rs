//! Faults of what readers see.

use serde::{Deserialize, Serialize};

/// How the platform misbehaves towards readers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum FaultMode {
    /// Readers see every write.
    #[default]
    Up,
    /// Readers get no answer.
    Down,
    /// Readers see what stood when the fault began.
    Stale,
    /// Every second call sees what stood when the fault began, the others the current state.
    Flap,
}

/// What one call sees.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReadOutcome<'a, T> {
    /// This state.
    State(&'a T),
    /// No answer; `drop` closes the connection.
    Down {
        /// Whether the connection is closed without an answer.
        drop: bool,
    },
}

/// A state with a fault between it and its readers.
#[derive(Clone, Debug, Default)]
pub struct Faulty<T> {
    current: T,
    frozen: T,
    mode: FaultMode,
    drop: bool,
}

impl<T> Faulty<T>
where
    T: Clone + Default,
{
    /// A state that readers see as it is.
    pub fn new(current: T) -> Self {
        Self {
            current,
            ..Self::default()
        }
    }

    /// The state behind the fault, for writes.
    pub fn current_mut(&mut self) -> &mut T {
        &mut self.current
    }

    /// Begins a fault; `stale` and `flap` keep a copy of the current state.
    pub fn set(&mut self, mode: FaultMode, drop: bool) {
        self.mode = mode;
        self.drop = drop;
        self.frozen = match mode {
            FaultMode::Up | FaultMode::Down => T::default(),
            FaultMode::Stale | FaultMode::Flap => self.current.clone(),
        };
    }

    /// What the call with this serial number sees.
    pub fn read(&self, call: u64) -> ReadOutcome<'_, T> {
        match self.mode {
            FaultMode::Up => ReadOutcome::State(&self.current),
            FaultMode::Down => ReadOutcome::Down { drop: self.drop },
            FaultMode::Stale => ReadOutcome::State(&self.frozen),
            FaultMode::Flap if call.is_multiple_of(2) => ReadOutcome::State(&self.current),
            FaultMode::Flap => ReadOutcome::State(&self.frozen),
        }
    }
}
