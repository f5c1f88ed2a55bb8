//! Periodic logs and metrics of quota decisions.

use std::cmp::Reverse;
use std::time::{Duration, Instant};

use coltsfootport_core::workspace::{HomeTally, QuotaBasis, QuotaTally};
use slog::info;
use smol_str::SmolStr;

use super::Controller;

/// Interval between reports.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);

/// Maximum number of workspaces logged per report and role (entry node or home).
const MAX_REPORTED: usize = 4;

impl Controller {
    /// Logs and counts the decisions since the last report, if a report is due.
    pub(super) fn report_quotas(&mut self, now: Instant) {
        if now.saturating_duration_since(self.last_quota_report) < REPORT_INTERVAL {
            return;
        }
        self.last_quota_report = now;
        self.report_entry_quotas();
        self.report_home_quotas();
    }

    /// Counts all decisions of this node as an entry node. Logs the workspaces with the most refusals, among those that
    /// had a refusal or an admission without any reachable home.
    fn report_entry_quotas(&mut self) {
        let mut limited: Vec<(SmolStr, QuotaTally)> = Vec::new();
        for (workspace, tally) in self.entry_quotas.take_tallies() {
            for basis in QuotaBasis::ALL {
                let (admitted, refused) = (tally.admitted(basis), tally.refused(basis));
                self.metrics
                    .record_quota_decisions(basis, admitted, refused);
            }
            if tally.total_refused() > 0 || tally.admitted(QuotaBasis::Alone) > 0 {
                limited.push((workspace.clone(), tally));
            }
        }
        limited.sort_unstable_by_key(|(_, tally)| Reverse(tally.total_refused()));
        for (workspace, tally) in limited.into_iter().take(MAX_REPORTED) {
            let admitted = |basis| tally.admitted(basis);
            info!(self.journal.log(), "quota decisions"; "workspace" => workspace.as_str(),
                "by_verdicts" => admitted(QuotaBasis::Verdicts), "without_verdict" => admitted(QuotaBasis::NoVerdict),
                "starting" => admitted(QuotaBasis::Starting), "alone" => admitted(QuotaBasis::Alone),
                "refused" => tally.total_refused());
        }
    }

    /// Logs the workspaces with the highest demand among those for which this node, as a home, lets entry nodes admit
    /// only a share of the requests.
    fn report_home_quotas(&mut self) {
        let mut limited: Vec<HomeTally> = self
            .home_quotas
            .take_tallies()
            .filter(|tally| tally.share < 1.0)
            .collect();
        limited.sort_unstable_by(|a, b| b.asked.total_cmp(&a.asked));
        for tally in limited.into_iter().take(MAX_REPORTED) {
            info!(self.journal.log(), "quota given out"; "workspace" => tally.workspace.as_str(),
                "claims" => tally.claims, "asked" => tally.asked, "used" => tally.used,
                "saved" => tally.saved, "share" => tally.share);
        }
    }
}
