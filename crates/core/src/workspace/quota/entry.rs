//! What an entry admits of a workspace's requests, and what it tells the homes of the quota.

use std::time::{Duration, Instant};

use smol_str::SmolStr;

use super::accounts::account_of;
use super::entry_account::{Account, DEMAND_WINDOW, OpenClaim};
use super::homes::HOMES;
use super::{QuotaBasis, QuotaBound, QuotaTally, Verdict};
use crate::collections::Map;
use crate::workspace::Quota;

/// How an entry keeps quotas.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QuotaConfig {
    /// Time for which an entry keeps a count to itself. What comes beyond the quota meanwhile is let run, and taken back by the
    /// homes within the next second or two.
    pub report_after: Duration,
    /// Time after the start of an entry in which it admits an equal part of a quota only, where no home has told it more.
    /// Where all nodes start within a surge nobody knows yet that a workspace is beyond its quota.
    pub careful: Duration,
    /// Age up to which a verdict is believed. Longer than the time between two requests of a workspace whose quota is in
    /// use; without demand there is nothing to refuse.
    pub verdict_valid: Duration,
    /// Time after which an entry with a claim that no home has confirmed goes by its own part of the quota. Longer than two
    /// homes in turn take to be found silent, and short beside the window in which a quota is counted: what is let run
    /// meanwhile is in no home's account.
    pub confirm_within: Duration,
    /// How far all entries together may go beyond a quota.
    pub bound: QuotaBound,
}

impl Default for QuotaConfig {
    fn default() -> Self {
        Self {
            report_after: Duration::from_millis(20),
            careful: Duration::from_millis(800),
            verdict_valid: Duration::from_millis(1500),
            confirm_within: Duration::from_millis(500),
            bound: QuotaBound::default(),
        }
    }
}

/// A request beyond the quota of its workspace.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct OverQuota {
    /// Share of the workspace's requests that are admitted.
    pub share: f64,
    /// Time after which the refused ones of a second could have been served.
    pub retry_after: Duration,
}

/// What an entry tells a home of a workspace.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct QuotaUsage {
    /// The workspace.
    pub workspace: SmolStr,
    /// Requests that came since the last claim.
    pub asked: u32,
    /// Requests that were let run since then, less those that did not run after all.
    pub used: i32,
}

/// A report of usage on its way to the homes of a workspace.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct QuotaClaim {
    /// What is told.
    pub usage: QuotaUsage,
    /// When the oldest request came that it counts; claims of one entry about a workspace differ in it.
    pub since: Instant,
}

/// Bounds of the time after which a refused caller is asked to come back.
const BACK_RANGE: (f64, f64) = (0.25, 5.0);

/// Quotas at one entry, by workspace.
#[derive(Clone, Debug)]
pub struct EntryQuotas {
    cfg: QuotaConfig,
    nodes: f64,
    accounts: Map<SmolStr, Account>,
    began: Instant,
    /// When another node confirmed a claim, and when no home of a claim answered.
    confirmed_at: Option<Instant>,
    untold_at: Option<Instant>,
    /// Between 0 and 1; differs between entries, so that they don't all admit the same one of several requests.
    phase: f64,
}

/// Time after which an entry that has reached no home of a workspace asks again.
const UNTOLD_PAUSE: Duration = Duration::from_millis(200);

impl EntryQuotas {
    /// Quotas of an entry at its start; `phase` is drawn from 0 to 1.
    pub fn new(cfg: QuotaConfig, phase: f64, now: Instant) -> Self {
        Self {
            cfg,
            nodes: 1.0,
            accounts: Map::default(),
            began: now,
            confirmed_at: None,
            untold_at: None,
            phase,
        }
    }

    /// Takes in how many entries there are.
    pub fn set_nodes(&mut self, nodes: usize) {
        self.nodes = nodes.max(1) as f64;
    }

    /// Decides about a request. An admitted one counts until it is [given back](Self::give_back).
    ///
    /// # Errors
    ///
    /// It is beyond the quota.
    pub fn admit(
        &mut self,
        workspace: &SmolStr,
        quota: Quota,
        now: Instant,
    ) -> Result<(), OverQuota> {
        let (cfg, nodes, phase) = (self.cfg, self.nodes, self.phase);
        let careful = now.saturating_duration_since(self.began) < cfg.careful;
        let cut_off = self.is_cut_off(now);
        let account = self.account(workspace, phase, now);
        account.asked += 1;
        account.since.get_or_insert(now);
        let passed = now.saturating_duration_since(account.at).as_secs_f64();
        account.at = now;
        account.demand = account.demand * (-passed / DEMAND_WINDOW).exp() + 1.0 / DEMAND_WINDOW;
        let few = Quota {
            burst: cfg.bound.unheard(),
            ..quota
        };
        let share = account.share(&cfg, now);
        let alone = cut_off || account.alone || account.is_overdue(&cfg, now);
        let basis = match (alone, share) {
            (true, _) => QuotaBasis::Alone,
            (false, Some(_)) => QuotaBasis::Verdicts,
            (false, None) if careful => QuotaBasis::Starting,
            (false, None) => QuotaBasis::NoVerdict,
        };
        let admitted = match basis {
            QuotaBasis::Alone => account.bucket(few, cfg.bound.alone() / nodes, passed, phase),
            QuotaBasis::Starting => account.bucket(few, 1.0 / nodes, passed, phase),
            QuotaBasis::Verdicts | QuotaBasis::NoVerdict => {
                account.by_share(share.unwrap_or(1.0), quota.burst / nodes, &cfg, now)
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
                retry_after: back(share),
            }),
        }
    }

    /// A request that was admitted did not run.
    pub fn give_back(&mut self, workspace: &SmolStr, now: Instant) {
        let Some(account) = self.accounts.get_mut(workspace) else {
            return;
        };
        account.used -= 1;
        account.since.get_or_insert(now);
    }

    /// What is to be told to homes now. What can't be told is to be [put back](Self::untold).
    pub fn claims(&mut self, now: Instant) -> Vec<QuotaClaim> {
        let due = |since: Instant| now.saturating_duration_since(since) >= self.cfg.report_after;
        let mut claims = Vec::new();
        for (workspace, account) in &mut self.accounts {
            let Some(since) = account.since.filter(|since| due(*since)) else {
                continue;
            };
            account.since = None;
            let used = std::mem::take(&mut account.used);
            account.open.push(OpenClaim { since, used });
            let usage = QuotaUsage {
                workspace: workspace.clone(),
                asked: std::mem::take(&mut account.asked),
                used,
            };
            claims.push(QuotaClaim { usage, since });
        }
        claims
    }

    /// A home, the one at `place` among the homes of the workspace, has told its verdict unasked. That does not show that it
    /// hears this entry.
    pub fn heard(&mut self, workspace: &SmolStr, place: usize, verdict: Verdict, now: Instant) {
        let account = self.account(workspace, self.phase, now);
        account.verdicts[place % HOMES] = Some((verdict, now));
    }

    /// A home has taken in a claim and told its verdict.
    pub fn confirmed(&mut self, claim: &QuotaClaim, place: usize, verdict: Verdict, now: Instant) {
        self.heard(&claim.usage.workspace, place, verdict, now);
        let account = self.account(&claim.usage.workspace, self.phase, now);
        account.alone = false;
        account.close(claim);
        account.confirmed =
            account.confirmed_rate(now) + f64::from(claim.usage.used.max(0)) / DEMAND_WINDOW;
        account.confirmed_at = now;
    }

    /// Another node has answered.
    pub fn reached(&mut self, now: Instant) {
        self.confirmed_at = Some(now);
    }

    /// Whether no node is reached at all, as far as claims about any workspace show. Without it each entry of a fleet in pieces
    /// would learn by a few requests of each workspace that nobody counts them.
    fn is_cut_off(&self, now: Instant) -> bool {
        let lately = |at: Instant| now.saturating_duration_since(at) <= self.cfg.confirm_within;
        self.untold_at > self.confirmed_at && !self.confirmed_at.is_some_and(lately)
    }

    /// The home at `place` does not answer: its part of the quota is not to be had, and what it said last counts for nothing.
    pub fn unreached(&mut self, workspace: &SmolStr, place: usize) {
        if let Some(account) = self.accounts.get_mut(workspace) {
            account.verdicts[place % HOMES] = None;
        }
    }

    /// No home has answered a claim; it is told again with the next one.
    pub fn untold(&mut self, claim: &QuotaClaim, now: Instant) {
        if let Some(account) = self.accounts.get_mut(&claim.usage.workspace) {
            account.close(claim);
            account.asked += claim.usage.asked;
            account.used += claim.usage.used;
            account.since = Some(now + UNTOLD_PAUSE);
            account.alone = true;
        }
        self.untold_at = Some(now);
    }

    /// Decisions since the last call, by workspace.
    pub fn tallies(&mut self) -> impl Iterator<Item = (&SmolStr, QuotaTally)> {
        let accounts = self.accounts.iter_mut();
        let taken = accounts.map(|(name, account)| (name, std::mem::take(&mut account.tally)));
        taken.filter(|(_, tally)| !tally.is_empty())
    }

    /// Forgets workspaces that are not published any more.
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

/// In a second a share of the requests is admitted; the refused ones of that second need the rest over that share.
fn back(share: f64) -> Duration {
    let wait = (1.0 - share) / share.max(0.01);
    Duration::from_secs_f64(wait.clamp(BACK_RANGE.0, BACK_RANGE.1))
}
