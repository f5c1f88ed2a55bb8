//! Phases of an experiment run and the load in each.

use std::ops::Range;

use serde::{Deserialize, Serialize};

use crate::load::Stage;

/// Lengths of the phases of a run, in whole seconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Phases {
    /// Normal load, excluded from the measures.
    pub warm_up: usize,
    /// Normal load; the baseline that recovery is compared with.
    pub before: usize,
    /// Faults and load of the scenario.
    pub trigger: usize,
    /// Normal load after the faults have ended.
    pub after: usize,
}

impl Default for Phases {
    fn default() -> Self {
        Self {
            warm_up: 5,
            before: 6,
            trigger: 10,
            after: 15,
        }
    }
}

impl Phases {
    /// Seconds of the baseline phase, as indexes into the run.
    pub fn before_range(&self) -> Range<usize> {
        self.warm_up..self.trigger_start()
    }

    /// Seconds of the trigger phase, as indexes into the run.
    pub fn trigger_range(&self) -> Range<usize> {
        self.trigger_start()..self.trigger_end()
    }

    /// First second of the trigger phase.
    pub fn trigger_start(&self) -> usize {
        self.warm_up + self.before
    }

    /// First second after the trigger phase.
    pub fn trigger_end(&self) -> usize {
        self.trigger_start() + self.trigger
    }

    /// Length of the whole run in seconds.
    pub fn seconds(&self) -> usize {
        self.trigger_end() + self.after
    }

    /// Load stages with `normal` calls per second, multiplied by `surge` during the trigger.
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
