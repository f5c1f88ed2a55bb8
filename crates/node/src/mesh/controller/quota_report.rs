//! Logs and counts what was decided about quotas.

use std::cmp::Reverse;
use std::time::{Duration, Instant};

use coltsfootport_core::workspace::{HomeTally, QuotaBasis, QuotaTally};
use slog::info;
use smol_str::SmolStr;

use super::Controller;

/// Time between two reports.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);

/// Workspaces in a report at most, as an entry and as a home each.
const MAX_REPORTED: usize = 4;

impl Controller {
    /// Reports what was decided since the last report, where it is due.
    pub(super) fn report_quotas(&mut self, now: Instant) {
        if now.saturating_duration_since(self.quotas_reported) < REPORT_INTERVAL {
            return;
        }
        self.quotas_reported = now;
        self.report_entry_quotas();
        self.report_home_quotas();
    }

    fn report_entry_quotas(&mut self) {
        let mut limited: Vec<(SmolStr, QuotaTally)> = Vec::new();
        for (workspace, tally) in self.entry_quotas.take_tallies() {
            for basis in QuotaBasis::ALL {
                let (admitted, refused) = (tally.admitted(basis), tally.refused(basis));
                self.metrics.quota_decided(basis, admitted, refused);
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
