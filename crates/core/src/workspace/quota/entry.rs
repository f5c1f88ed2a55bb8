//! What an entry admits of a workspace's requests, and what it tells the homes of the quota.

use std::time::{Duration, Instant};

use smol_str::SmolStr;

use super::accounts::account_of;
use super::homes::HOMES;
use super::{QuotaBasis, QuotaBound, QuotaTally, Verdict};
use crate::collections::Map;
use crate::workspace::Quota;

/// How an entry keeps quotas.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QuotaConfig {
    /// Time for which an entry keeps a count to itself. What comes beyond the quota meanwhile is let run, and taken back by the
    /// homes within the next second or two. With 50 ms instead of 20 a workspace at twenty times its usual demand ran 1.01 of
    /// what may run in one of 60 plays, now 0.96 at most; calm workspaces send no more words by it, as their requests come more
    /// seldom.
    pub report_after: Duration,
    /// Time after the start of an entry in which it admits an equal part of a quota only, where no home has told it more.
    /// Where all nodes start within a surge nobody knows yet that a workspace is beyond its quota.
    pub careful: Duration,
    /// Age up to which a verdict is believed. Longer than the time between two requests of a workspace whose quota is in
    /// use; without demand there is nothing to refuse.
    pub verdict_valid: Duration,
    /// How far all entries together may go beyond a quota.
    pub bound: QuotaBound,
}

impl Default for QuotaConfig {
    fn default() -> Self {
        Self {
            report_after: Duration::from_millis(20),
            careful: Duration::from_millis(800),
            verdict_valid: Duration::from_millis(1500),
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

/// What an entry tells the homes of a workspace.
#[derive(Clone, Debug, PartialEq)]
pub struct QuotaClaim {
    /// The workspace.
    pub workspace: SmolStr,
    /// Requests that came since the last claim.
    pub asked: u32,
    /// Requests that were let run since then, less those that did not run after all.
    pub used: i32,
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
    /// Between 0 and 1; differs between entries, so that they don't all admit the same one of several requests.
    phase: f64,
}

#[derive(Clone, Debug)]
struct Account {
    asked: u32,
    used: i32,
    /// When the oldest count that no home knows was made.
    since: Option<Instant>,
    /// The newest word of each home.
    verdicts: [Option<(Verdict, Instant)>; HOMES],
    /// Whether no home answers.
    alone: bool,
    /// Admissions that are due by the share; at 1 a request is admitted.
    due: f64,
    /// Requests a second that come here.
    demand: f64,
    /// Requests that may run by a bucket of the entry's own.
    tokens: f64,
    at: Instant,
    /// Decisions since they were last read.
    tally: QuotaTally,
}

/// Time after which an entry that has reached no home of a workspace asks again. Without it an entry that is cut off asked all
/// homes with each of its counts, 50 times a second.
const UNTOLD_PAUSE: Duration = Duration::from_millis(200);

/// Time over which an entry measures its own demand.
const DEMAND_WINDOW: f64 = 2.0;

impl EntryQuotas {
    /// Quotas of an entry at its start; `phase` is drawn from 0 to 1.
    pub fn new(cfg: QuotaConfig, phase: f64, now: Instant) -> Self {
        Self {
            cfg,
            nodes: 1.0,
            accounts: Map::default(),
            began: now,
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
        let unheard = careful && account.share(&cfg, now).is_none();
        let basis = match (account.alone, unheard) {
            (true, _) => QuotaBasis::Alone,
            (false, true) => QuotaBasis::Starting,
            (false, false) => match account.share(&cfg, now) {
                Some(_) => QuotaBasis::Verdicts,
                None => QuotaBasis::NoVerdict,
            },
        };
        let admitted = match basis {
            QuotaBasis::Alone => account.bucket(few, cfg.bound.alone() / nodes, passed, phase),
            QuotaBasis::Starting => account.bucket(few, 1.0 / nodes, passed, phase),
            QuotaBasis::Verdicts | QuotaBasis::NoVerdict => account.by_share(&cfg, now),
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
            if !account.since.is_some_and(due) {
                continue;
            }
            account.since = None;
            claims.push(QuotaClaim {
                workspace: workspace.clone(),
                asked: std::mem::take(&mut account.asked),
                used: std::mem::take(&mut account.used),
            });
        }
        claims
    }

    /// A home, the one at `place` among the homes of the workspace, has told its verdict.
    pub fn heard(&mut self, workspace: &SmolStr, place: usize, verdict: Verdict, now: Instant) {
        let account = self.account(workspace, self.phase, now);
        account.verdicts[place % HOMES] = Some((verdict, now));
        account.alone = false;
    }

    /// The home at `place` does not answer: its part of the quota is not to be had, and what it said last counts for nothing.
    pub fn unreached(&mut self, workspace: &SmolStr, place: usize) {
        if let Some(account) = self.accounts.get_mut(workspace) {
            account.verdicts[place % HOMES] = None;
        }
    }

    /// No home has answered a claim; it is told again with the next one.
    pub fn untold(&mut self, claim: &QuotaClaim, now: Instant) {
        if let Some(account) = self.accounts.get_mut(&claim.workspace) {
            account.asked += claim.asked;
            account.used += claim.used;
            account.since = Some(now + UNTOLD_PAUSE);
            account.alone = true;
        }
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
        account_of(&mut self.accounts, workspace, || Account {
            asked: 0,
            used: 0,
            since: None,
            verdicts: [None; HOMES],
            alone: false,
            due: phase,
            demand: 0.0,
            tokens: f64::NAN,
            at: now,
            tally: QuotaTally::default(),
        })
    }
}

impl Account {
    /// The share that the homes tell in the mean. By the word of the last one alone, entries would follow one home that has
    /// something saved and one that is owed by turns.
    fn share(&self, cfg: &QuotaConfig, now: Instant) -> Option<f64> {
        let fresh = |at: Instant| now.saturating_duration_since(at) <= cfg.verdict_valid;
        let known = self.verdicts.iter().flatten();
        let (mut sum, mut count) = (0.0, 0.0);
        for (verdict, _) in known.filter(|(_, at)| fresh(*at)) {
            sum += verdict.share;
            count += 1.0;
        }
        (count > 0.0).then(|| sum / count)
    }

    /// Admits the share that the homes have told, evenly.
    fn by_share(&mut self, cfg: &QuotaConfig, now: Instant) -> Result<(), f64> {
        let share = self.share(cfg, now).unwrap_or(1.0);
        self.due += share;
        if self.due < 1.0 {
            return Err(share);
        }
        self.due -= 1.0;
        Ok(())
    }

    /// Admits by a bucket that holds this part of the quota.
    fn bucket(&mut self, quota: Quota, part: f64, passed: f64, phase: f64) -> Result<(), f64> {
        let cap = quota.burst * part + 1.0;
        if self.tokens.is_nan() {
            // Parts are often fractions of a request: as many entries as add up to the whole begin with one.
            self.tokens = quota.burst * part + phase;
        }
        self.tokens = (self.tokens + quota.per_second * part * passed).min(cap);
        if self.tokens < 1.0 {
            return Err((quota.per_second * part / self.demand).clamp(0.0, 1.0));
        }
        self.tokens -= 1.0;
        Ok(())
    }
}

/// In a second a share of the requests is admitted; the refused ones of that second need the rest over that share.
fn back(share: f64) -> Duration {
    let wait = (1.0 - share) / share.max(0.01);
    Duration::from_secs_f64(wait.clamp(BACK_RANGE.0, BACK_RANGE.1))
}
