//! Report of a load generator run.

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::load::Ending;

/// Number of calls by ending.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndingCounts {
    /// Successful and complete answers that belong to their call.
    pub whole: u64,
    /// Successful answers that were incomplete or belonged to another call.
    pub wrong: u64,
    /// Answers stating that the call was not executed.
    pub not_run: u64,
    /// Answers stating that the call may have been executed.
    pub unknown: u64,
    /// Error responses of the target.
    pub failed: u64,
    /// Connections that failed or closed before the answer was complete.
    pub broken: u64,
    /// Timeouts of the client.
    pub timeout: u64,
    /// Calls not sent because no token was available.
    pub no_token: u64,
    /// Calls not sent because the generator was at its limit of calls in flight.
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

    /// Total number of calls, over all endings.
    pub fn calls(&self) -> u64 {
        let unsent = self.no_token + self.skipped;
        let answered = self.whole + self.wrong + self.not_run + self.unknown + self.failed;
        unsent + answered + self.broken + self.timeout
    }
}

/// Latency of whole answers in milliseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct LatencyReport {
    /// Median.
    pub p50_ms: f64,
    /// 99th percentile.
    pub p99_ms: f64,
    /// 99.9th percentile.
    pub p999_ms: f64,
    /// Maximum.
    pub max_ms: f64,
}

/// Results of the calls of one class.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ClassReport {
    /// Class label from the plan.
    pub class: SmolStr,
    /// Scheduled calls, excluding retries.
    pub calls: u64,
    /// Attempts, including retries.
    pub sent: u64,
    /// Number of calls by ending.
    pub endings: EndingCounts,
    /// Latency from the scheduled start, which includes delays of the generator itself.
    pub latency: LatencyReport,
    /// Latency from the actual start, for comparing short paths at a low rate.
    pub latency_from_start: LatencyReport,
    /// Whole answers by the second of their arrival.
    pub goodput: Vec<u64>,
}

/// Results of one second of a run.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct SecondReport {
    /// Calls scheduled in this second.
    pub calls: u64,
    /// Calls that ended in this second, whenever they started.
    pub endings: EndingCounts,
    /// 99th percentile of the latency of whole answers that arrived in this second, in milliseconds; 0 if there were none.
    #[serde(default)]
    pub p99_ms: f64,
}

/// Ending of one non-idempotent call.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeyEnding {
    /// The call's `x-rig-key` header.
    pub key: String,
    /// Ending of the last attempt.
    pub ending: Ending,
    /// Number of attempts.
    pub sent: u32,
}

/// Results of a whole run.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Planned duration in seconds.
    pub seconds: f64,
    /// Scheduled calls, excluding retries.
    pub calls: u64,
    /// Attempts, including retries.
    pub sent: u64,
    /// Number of calls by ending.
    pub endings: EndingCounts,
    /// Longest delay in milliseconds between the scheduled and the actual start of a call.
    pub max_start_lag_ms: f64,
    /// Results by class, in the order of the plan.
    pub classes: Vec<ClassReport>,
    /// Results by second of the run.
    pub by_second: Vec<SecondReport>,
    /// Non-idempotent calls, if the plan sets `record_keys`.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub keys: Vec<KeyEnding>,
}

impl LoadReport {
    /// Returns the report of a class.
    pub fn class(&self, class: &str) -> Option<&ClassReport> {
        self.classes.iter().find(|report| report.class == class)
    }
}
