//! Fields of a reply that were added to its first format.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::finding_frames::FindingExtension;
use super::trailing::Trailing;
use crate::mesh::call::Report;

/// Fields that follow those of the first format. Nodes of that format ignore them.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReplyExtension {
    service_time_us: u32,
    held_us: u32,
    /// Slot time of each of the downstream services, in the order in which the reply lists them.
    work_us: Vec<u32>,
    finding: Trailing<FindingExtension>,
}

impl ReplyExtension {
    /// Sets the fields of a report whose other fields have been read.
    pub fn add_to(&self, report: &mut Report) {
        report.service_time = from_micros(self.service_time_us);
        report.held = from_micros(self.held_us);
        for (calls, work) in report.downstream.iter_mut().zip(&self.work_us) {
            calls.work = from_micros(*work).as_secs_f64();
        }
        if let Some(finding) = &mut report.finding {
            self.finding.0.add_to(finding);
        }
    }
}

impl From<&Report> for ReplyExtension {
    fn from(report: &Report) -> Self {
        let downstream = report.downstream.iter();
        let finding = report.finding.as_ref();
        Self {
            service_time_us: to_micros(report.service_time),
            held_us: to_micros(report.held),
            work_us: downstream
                .map(|calls| seconds_to_micros(calls.work))
                .collect(),
            finding: Trailing(finding.map(FindingExtension::from).unwrap_or_default()),
        }
    }
}

fn to_micros(duration: Duration) -> u32 {
    u32::try_from(duration.as_micros()).unwrap_or(u32::MAX)
}

fn seconds_to_micros(seconds: f64) -> u32 {
    // The cast saturates.
    (seconds * 1e6) as u32
}

fn from_micros(micros: u32) -> Duration {
    Duration::from_micros(u64::from(micros))
}
