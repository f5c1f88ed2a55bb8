//! The phases of a run.

use std::ops::Range;

use serde::{Deserialize, Serialize};

use crate::load::Stage;

/// Lengths of the phases in whole seconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Course {
    /// Normal load that isn't measured.
    pub warm_up: usize,
    /// Normal load that later seconds are compared with.
    pub before: usize,
    /// The scenario's faults and load.
    pub trigger: usize,
    /// Normal load again.
    pub after: usize,
}

impl Default for Course {
    fn default() -> Self {
        Self {
            warm_up: 5,
            before: 6,
            trigger: 10,
            after: 15,
        }
    }
}

impl Course {
    /// Seconds of the phase before the trigger.
    pub fn before_range(&self) -> Range<usize> {
        self.warm_up..self.trigger_start()
    }

    /// Seconds of the trigger.
    pub fn trigger_range(&self) -> Range<usize> {
        self.trigger_start()..self.trigger_end()
    }

    /// First second of the trigger.
    pub fn trigger_start(&self) -> usize {
        self.warm_up + self.before
    }

    /// First second after the trigger.
    pub fn trigger_end(&self) -> usize {
        self.trigger_start() + self.trigger
    }

    /// Seconds of the whole run.
    pub fn seconds(&self) -> usize {
        self.trigger_end() + self.after
    }

    /// The load's stages with `normal` calls a second, and `surge` times as many during the trigger.
    pub fn stages(&self, normal: f64, surge: f64) -> Vec<Stage> {
        let stage = |rate, seconds: usize| Stage {
            rate,
            seconds: seconds as f64,
        };
        vec![
            stage(normal, self.trigger_start()),
            stage(normal * surge, self.trigger),
            stage(normal, self.after),
        ]
    }
}
