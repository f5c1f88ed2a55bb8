//! Entry side of a quota: admits requests locally and reports usage to the homes of a workspace.

use std::time::{Duration, Instant};

use smol_str::SmolStr;

use super::accounts::account_of;
use super::entry_account::{Account, DEMAND_WINDOW, PendingClaim};
use super::homes::HOMES;
use super::{QuotaBasis, QuotaBound, QuotaTally, Verdict};
use crate::collections::Map;
use crate::workspace::Quota;

/// Timing and limits of quota enforcement at an entry.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QuotaConfig {
    /// Time from an unreported request to its report. Requests admitted beyond the quota in between are paid back
    /// by the homes within the next second or two.
    pub report_delay: Duration,
    /// Time after the start of an entry in which it admits only its equal part of a quota, unless a home has sent a
    /// verdict. If all nodes start during a surge, no node knows yet that a workspace exceeds its quota.
    pub startup_period: Duration,
    /// Maximum age of a verdict. Longer than the time between two requests of a workspace whose quota is in use;
    /// without demand there is nothing to refuse.
    pub verdict_ttl: Duration,
    /// Time after which an entry with an unconfirmed claim falls back to its own part of the quota. Longer than it
    /// takes to detect that two homes don't answer, one after the other, and short compared to the window in which a
    /// quota is counted: no home accounts for what is admitted in between.
    pub confirm_timeout: Duration,
    /// Limit up to which all entries together may exceed a quota.
    pub bound: QuotaBound,
}

impl Default for QuotaConfig {
    fn default() -> Self {
        Self {
            report_delay: Duration::from_millis(20),
            startup_period: Duration::from_millis(800),
            verdict_ttl: Duration::from_millis(1500),
            confirm_timeout: Duration::from_millis(500),
            bound: QuotaBound::default(),
        }
    }
}

/// Refusal of a request that exceeds the quota of its workspace.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct OverQuota {
    /// Share of the workspace's requests that are admitted.
    pub share: f64,
    /// Time in which the requests refused in one second could have been served.
    pub retry_after: Duration,
}

/// Usage of a workspace that an entry reports to a home.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct QuotaUsage {
    /// Name of the workspace.
    pub workspace: SmolStr,
    /// Requests received since the last claim.
    pub asked: u32,
    /// Requests admitted since the last claim, less admitted requests that did not run.
    pub used: i32,
}

/// A usage report to the homes of a workspace.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct QuotaClaim {
    /// Reported usage.
    pub usage: QuotaUsage,
    /// Time of the oldest request in the report. Identifies the claim among those of one entry for one workspace.
    pub first_request_at: Instant,
}

/// Minimum and maximum of [`OverQuota::retry_after`], in seconds.
const RETRY_AFTER_RANGE: (f64, f64) = (0.25, 5.0);

/// Time after which an entry that has reached no home of a workspace reports again.
const REQUEUE_DELAY: Duration = Duration::from_millis(200);

/// Quota state of one entry, by workspace.
#[derive(Clone, Debug)]
pub struct EntryQuotas {
    cfg: QuotaConfig,
    nodes: f64,
    accounts: Map<SmolStr, Account>,
    started: Instant,
    /// When another node last answered.
    answered_at: Option<Instant>,
    /// When a claim was last left without an answer from any home.
    unanswered_at: Option<Instant>,
    /// Offset between 0 and 1 that differs between entries, so that they don't all admit the same one of several
    /// requests.
    phase: f64,
}

impl EntryQuotas {
    /// Creates the state of an entry at its start; `phase` is drawn at random from 0 to 1.
    pub fn new(cfg: QuotaConfig, phase: f64, now: Instant) -> Self {
        Self {
            cfg,
            nodes: 1.0,
            accounts: Map::default(),
            started: now,
            answered_at: None,
            unanswered_at: None,
            phase,
        }
    }

    /// Sets the number of entries in the fleet.
    pub fn set_node_count(&mut self, nodes: usize) {
        self.nodes = nodes.max(1) as f64;
    }

    /// Admits or refuses a request. An admitted request counts as used until it is [released](Self::release).
    ///
    /// # Errors
    ///
    /// Returns [`OverQuota`] if the request exceeds the quota.
    pub fn admit(
        &mut self,
        workspace: &SmolStr,
        quota: Quota,
        now: Instant,
    ) -> Result<(), OverQuota> {
        let (cfg, nodes, phase) = (self.cfg, self.nodes, self.phase);
        let is_starting = now.saturating_duration_since(self.started) < cfg.startup_period;
        let entry_isolated = self.is_isolated(now);
        let account = self.account(workspace, phase, now);
        account.asked += 1;
        account.unreported_since.get_or_insert(now);
        let elapsed = now.saturating_duration_since(account.updated).as_secs_f64();
        account.updated = now;
        account.demand = account.demand * (-elapsed / DEMAND_WINDOW).exp() + 1.0 / DEMAND_WINDOW;
        let small_burst = Quota {
            burst: cfg.bound.local_burst(),
            ..quota
        };
        let share = account.share(&cfg, now);
        let isolated = entry_isolated || account.isolated || account.is_overdue(&cfg, now);
        let basis = match (isolated, share) {
            (true, _) => QuotaBasis::Alone,
            (false, Some(_)) => QuotaBasis::Verdicts,
            (false, None) if is_starting => QuotaBasis::Starting,
            (false, None) => QuotaBasis::NoVerdict,
        };
        let admitted = match basis {
            QuotaBasis::Alone => account.admit_by_bucket(
                small_burst,
                cfg.bound.isolated_share() / nodes,
                elapsed,
                phase,
            ),
            QuotaBasis::Starting => {
                account.admit_by_bucket(small_burst, 1.0 / nodes, elapsed, phase)
            }
            QuotaBasis::Verdicts | QuotaBasis::NoVerdict => {
                account.admit_by_share(share.unwrap_or(1.0), quota.burst / nodes, &cfg, now)
            }
        };
        account.tally.count(basis, admitted.is_ok());
        match admitted {
            Ok(()) => {
                account.used += 1;
                Ok(())
            }
            Err(share) => Err(OverQuota {
                share,
                retry_after: retry_after(share),
            }),
        }
    }

    /// Subtracts an admitted request that did not run from the usage.
    pub fn release(&mut self, workspace: &SmolStr, now: Instant) {
        let Some(account) = self.accounts.get_mut(workspace) else {
            return;
        };
        account.used -= 1;
        account.unreported_since.get_or_insert(now);
    }

    /// Returns the claims that are due. A claim that no home answers has to be [requeued](Self::requeue_claim).
    pub fn take_claims(&mut self, now: Instant) -> Vec<QuotaClaim> {
        let is_due = |since: Instant| now.saturating_duration_since(since) >= self.cfg.report_delay;
        let mut claims = Vec::new();
        for (workspace, account) in &mut self.accounts {
            let Some(first_request_at) = account.unreported_since.filter(|since| is_due(*since))
            else {
                continue;
            };
            account.unreported_since = None;
            let used = std::mem::take(&mut account.used);
            account.pending.push(PendingClaim {
                first_request_at,
                used,
            });
            let usage = QuotaUsage {
                workspace: workspace.clone(),
                asked: std::mem::take(&mut account.asked),
                used,
            };
            claims.push(QuotaClaim {
                usage,
                first_request_at,
            });
        }
        claims
    }

    /// Applies an unsolicited verdict of the home at `home_index` among the homes of the workspace. It does not show
    /// that the home receives anything from this entry.
    pub fn apply_verdict(
        &mut self,
        workspace: &SmolStr,
        home_index: usize,
        verdict: Verdict,
        now: Instant,
    ) {
        let account = self.account(workspace, self.phase, now);
        account.verdicts[home_index % HOMES] = Some((verdict, now));
    }

    /// Applies the verdict with which a home has confirmed a claim.
    pub fn confirm_claim(
        &mut self,
        claim: &QuotaClaim,
        home_index: usize,
        verdict: Verdict,
        now: Instant,
    ) {
        self.apply_verdict(&claim.usage.workspace, home_index, verdict, now);
        let account = self.account(&claim.usage.workspace, self.phase, now);
        account.isolated = false;
        account.remove_pending(claim);
        account.confirmed =
            account.confirmed_rate(now) + f64::from(claim.usage.used.max(0)) / DEMAND_WINDOW;
        account.confirmed_at = now;
    }

    /// Records that another node has answered.
    pub fn node_answered(&mut self, now: Instant) {
        self.answered_at = Some(now);
    }

    /// Returns whether this entry reaches no other node, judging by the claims of all workspaces. If each workspace
    /// were judged by its own claims only, every entry of a partitioned fleet would admit a few uncounted requests of
    /// each workspace before noticing.
    fn is_isolated(&self, now: Instant) -> bool {
        let recently = |at: Instant| now.saturating_duration_since(at) <= self.cfg.confirm_timeout;
        self.unanswered_at > self.answered_at && !self.answered_at.is_some_and(recently)
    }

    /// Discards the verdict of the home at `home_index`, which does not answer: its part of the quota is unavailable.
    pub fn discard_verdict(&mut self, workspace: &SmolStr, home_index: usize) {
        if let Some(account) = self.accounts.get_mut(workspace) {
            account.verdicts[home_index % HOMES] = None;
        }
    }

    /// Adds the usage of a claim that no home has answered to the next claim.
    pub fn requeue_claim(&mut self, claim: &QuotaClaim, now: Instant) {
        if let Some(account) = self.accounts.get_mut(&claim.usage.workspace) {
            account.remove_pending(claim);
            account.asked += claim.usage.asked;
            account.used += claim.usage.used;
            account.unreported_since = Some(now + REQUEUE_DELAY);
            account.isolated = true;
        }
        self.unanswered_at = Some(now);
    }

    /// Returns and resets the decisions since the last call, by workspace.
    pub fn take_tallies(&mut self) -> impl Iterator<Item = (&SmolStr, QuotaTally)> {
        let accounts = self.accounts.iter_mut();
        let taken = accounts.map(|(name, account)| (name, std::mem::take(&mut account.tally)));
        taken.filter(|(_, tally)| !tally.is_empty())
    }

    /// Keeps only the workspaces for which `keep` returns true.
    pub fn retain<F>(&mut self, mut keep: F)
    where
        F: FnMut(&SmolStr) -> bool,
    {
        self.accounts.retain(|workspace, _| keep(workspace));
    }

    fn account(&mut self, workspace: &SmolStr, phase: f64, now: Instant) -> &mut Account {
        account_of(&mut self.accounts, workspace, || Account::new(phase, now))
    }
}

/// Returns the time in which the requests refused in one second can be served at the rate of the admitted ones.
fn retry_after(share: f64) -> Duration {
    let seconds = (1.0 - share) / share.max(0.01);
    Duration::from_secs_f64(seconds.clamp(RETRY_AFTER_RANGE.0, RETRY_AFTER_RANGE.1))
}
