//! The report of a run.

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::load::Ending;

/// Calls by how they ended.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndingCounts {
    /// Whole answers of their own.
    pub whole: u64,
    /// Successes that weren't the whole answer to their call.
    pub wrong: u64,
    /// Told that they did not run.
    pub not_run: u64,
    /// Told that they may have run.
    pub unknown: u64,
    /// Errors of the target.
    pub failed: u64,
    /// Broken connections.
    pub broken: u64,
    /// Given up by the client.
    pub timeout: u64,
    /// Not sent for want of a token.
    pub no_token: u64,
    /// Not sent because the generator had too many in flight.
    pub skipped: u64,
}

impl EndingCounts {
    /// Counts one call.
    pub fn add(&mut self, ending: Ending) {
        let count = match ending {
            Ending::Whole => &mut self.whole,
            Ending::Wrong => &mut self.wrong,
            Ending::NotRun => &mut self.not_run,
            Ending::Unknown => &mut self.unknown,
            Ending::Failed => &mut self.failed,
            Ending::Broken => &mut self.broken,
            Ending::Timeout => &mut self.timeout,
            Ending::NoToken => &mut self.no_token,
            Ending::Skipped => &mut self.skipped,
        };
        *count += 1;
    }

    /// Every call that ended.
    pub fn calls(&self) -> u64 {
        let unsent = self.no_token + self.skipped;
        let answered = self.whole + self.wrong + self.not_run + self.unknown + self.failed;
        unsent + answered + self.broken + self.timeout
    }
}

/// Latency of whole answers in milliseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct LatencyReport {
    /// Half of the calls took at most this.
    pub p50_ms: f64,
    /// 99 in 100.
    pub p99_ms: f64,
    /// 999 in 1000.
    pub p999_ms: f64,
    /// The slowest.
    pub max_ms: f64,
}

/// Calls of one class.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ClassReport {
    /// The class, as labelled in the plan.
    pub class: SmolStr,
    /// Calls that were due, without retries.
    pub calls: u64,
    /// Sendings, with retries.
    pub sent: u64,
    /// How the calls ended.
    pub endings: EndingCounts,
    /// Latency from the time at which calls were due, which hides no wait of the generator itself.
    pub latency: LatencyReport,
    /// Latency from the time at which calls were started, for comparing short paths at a low rate.
    pub latency_from_start: LatencyReport,
    /// Whole answers by the second in which they came.
    pub goodput: Vec<u64>,
}

/// One second of a run.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct SecondReport {
    /// Calls that were due.
    pub calls: u64,
    /// Calls of any start that ended.
    pub endings: EndingCounts,
    /// 99 in 100 of the whole answers that came in it took at most this, in milliseconds; 0 where none came.
    #[serde(default)]
    pub p99_ms: f64,
}

/// How a non-idempotent call ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeyEnding {
    /// The call's `x-rig-key`.
    pub key: String,
    /// The ending of its last sending.
    pub ending: Ending,
    /// Sendings.
    pub sent: u32,
}

/// The report of a run.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Planned length in seconds.
    pub seconds: f64,
    /// Calls that were due, without retries.
    pub calls: u64,
    /// Sendings, with retries.
    pub sent: u64,
    /// How the calls ended.
    pub endings: EndingCounts,
    /// Longest time in milliseconds by which the generator started a call late.
    pub max_start_lag_ms: f64,
    /// By class, in the order of the plan.
    pub classes: Vec<ClassReport>,
    /// By second.
    pub by_second: Vec<SecondReport>,
    /// Non-idempotent calls, where the plan asks for them.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub keys: Vec<KeyEnding>,
}

impl LoadReport {
    /// The report of one class.
    pub fn class(&self, class: &str) -> Option<&ClassReport> {
        self.classes.iter().find(|report| report.class == class)
    }
}
