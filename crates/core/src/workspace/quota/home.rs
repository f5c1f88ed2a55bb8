//! The part of a quota that a home keeps.

use std::time::{Duration, Instant};

use smol_str::SmolStr;

use super::accounts::account_of;
use super::demand::Demand;
use super::homes::HOMES;
use super::{HomeTally, QuotaBound};
use crate::collections::Map;
use crate::workspace::Quota;

/// What a home tells an entry.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Verdict {
    /// Share of the workspace's requests to admit, from 0 to 1.
    pub share: f64,
}

/// Shortest time over which demand is measured; short beside the window in which a quota is counted.
const DEMAND_WINDOW: Duration = Duration::from_millis(250);

/// Longest time over which demand is measured, for workspaces of few requests.
const LONGEST_DEMAND_WINDOW: Duration = Duration::from_millis(1500);

/// Requests at the rate of the quota over which demand is measured, so that chance alone seldom looks like demand beyond it.
const DEMAND_REQUESTS: f64 = 6.0;

/// Demand that a home expects before it has measured any, as a share of the rate: quotas are set above the usual demand.
const EXPECTED_SHARE: f64 = 0.6;

/// Requests at the rate of the quota for whose time that is taken as measured, so that the first ones, which chance brings close
/// together, don't look like a surge.
const EXPECTED_REQUESTS: f64 = 4.0;

/// Shortest time for which it is. The first word of an entry tells what came in the tens of milliseconds before it.
const EXPECTED_TIME: Duration = Duration::from_millis(50);

/// What a home that has just started takes to be owed, as the time in which the rate brings it: its predecessor may have let
/// a burst run a moment ago.
const OWED_AT_START: Duration = Duration::from_millis(500);

/// Share of a quota that a home gives out in its first two windows. What entries let run before the homes know of a surge is not
/// known any more after a restart; with all nodes started anew twice within a surge up to 1.07 of what may run ran at the whole
/// quota in one of some thousand cases, and less than all of it with this.
const UNSETTLED_SHARE: f64 = 0.9;

/// Share of requests below which all entries are told, not only those that ask. Without that each entry of a large fleet
/// would let its first request run: 1,400 of a workspace that may send 282 in a window.
const TOLD_SHARE: f64 = 0.98;

/// Time between two words to all entries about a workspace. Shorter than a verdict is believed.
const TELL_AGAIN: Duration = Duration::from_millis(600);

/// Time in which saved or owed requests are brought back to nothing.
const SETTLE: Duration = Duration::from_secs(1);

/// Multiple of the rate that may run besides it while all is saved that can be. Measured demand fluctuates by chance far more
/// than the rate does, so a workspace within its quota, which has most of it saved, is refused nothing; one beyond it stays
/// near zero, where the share follows the rate. A step in place of this slope would let everything run by turns.
const SAVED_GAIN: f64 = 8.0;

/// Requests that can be owed at most, as the time in which the rate brings them.
const MOST_OWED: Duration = Duration::from_secs(5);

/// Parts of quotas kept by one node, by workspace.
#[derive(Clone, Debug)]
pub struct HomeQuotas {
    bound: QuotaBound,
    /// When this node began to keep quotas. What its predecessor let run is not known, so nothing was saved before.
    began: Instant,
    accounts: Map<SmolStr, Account>,
}

#[derive(Clone, Copy, Debug)]
struct Account {
    /// Requests that may run besides the rate; negative where entries have let more run.
    saved: f64,
    /// Requests that entries were asked for.
    demand: Demand,
    at: Instant,
    /// When all entries were told last.
    told: Option<Instant>,
    /// Claims, requests asked for and requests let run since they were last read.
    claims: u32,
    asked: f64,
    used: f64,
    /// The newest verdict.
    share: f64,
}

impl HomeQuotas {
    /// Keeps no workspace yet.
    pub fn new(bound: QuotaBound, now: Instant) -> Self {
        Self {
            bound,
            began: now,
            accounts: Map::default(),
        }
    }

    /// Whether all entries are to be told of a verdict now; they count as told afterwards.
    pub fn tells_all(&mut self, workspace: &SmolStr, verdict: &Verdict, now: Instant) -> bool {
        let Some(account) = self.accounts.get_mut(workspace) else {
            return false;
        };
        let recent = |at: Instant| now.saturating_duration_since(at) < TELL_AGAIN;
        if verdict.share >= TOLD_SHARE || account.told.is_some_and(recent) {
            return false;
        }
        account.told = Some(now);
        true
    }

    /// Takes in what an entry was asked for and let run since its last report.
    pub fn claimed(
        &mut self,
        workspace: &SmolStr,
        quota: Quota,
        asked: f64,
        used: f64,
        now: Instant,
    ) -> Verdict {
        let began = self.began;
        let account = account_of(&mut self.accounts, workspace, || {
            Account::new(quota, began, now)
        });
        // Until a window has passed that it has seen whole, a home gives out less than the quota.
        let settled = now.saturating_duration_since(self.began) >= self.bound.window * 2;
        account.claimed(&self.bound, quota, settled, asked, used, now)
    }

    /// What was taken in since the last call, by workspace.
    pub fn tallies(&mut self) -> impl Iterator<Item = HomeTally> {
        let accounts = self.accounts.iter_mut();
        let claimed = accounts.filter(|(_, account)| account.claims > 0);
        claimed.map(|(name, account)| account.take_tally(name))
    }

    /// Forgets workspaces that are not published any more.
    pub fn retain<F>(&mut self, mut keep: F)
    where
        F: FnMut(&SmolStr) -> bool,
    {
        self.accounts.retain(|workspace, _| keep(workspace));
    }
}

impl Account {
    fn new(quota: Quota, began: Instant, now: Instant) -> Self {
        let rate = quota.per_second / HOMES as f64;
        let known = time_of(EXPECTED_REQUESTS, rate).clamp(EXPECTED_TIME, LONGEST_DEMAND_WINDOW);
        Self {
            saved: -rate * OWED_AT_START.as_secs_f64(),
            demand: Demand::new(rate * EXPECTED_SHARE, known, now),
            at: began,
            told: None,
            claims: 0,
            asked: 0.0,
            used: 0.0,
            share: 1.0,
        }
    }

    fn claimed(
        &mut self,
        bound: &QuotaBound,
        quota: Quota,
        settled: bool,
        asked: f64,
        used: f64,
        now: Instant,
    ) -> Verdict {
        let homes = HOMES as f64;
        let most = (quota.burst + bound.saved()) / homes;
        let rate = match settled {
            true => bound.rate(quota),
            false => quota.per_second * UNSETTLED_SHARE,
        } / homes;
        let passed = now.saturating_duration_since(self.at).as_secs_f64();
        self.at = now;
        self.saved = (self.saved + rate * passed).min(most) - used;
        // What is owed is paid back within a window in which the quota is counted; older debts would only refuse more.
        self.saved = self.saved.max(-rate.max(1.0) * MOST_OWED.as_secs_f64());
        let window = time_of(DEMAND_REQUESTS, rate).clamp(DEMAND_WINDOW, LONGEST_DEMAND_WINDOW);
        self.demand.came(asked, window, now);
        let extra = match self.saved >= 0.0 {
            true => rate * SAVED_GAIN * self.saved / most.max(1.0),
            false => self.saved / SETTLE.as_secs_f64(),
        };
        let allowed = (rate + extra).max(0.0);
        let share = (allowed / self.demand.per_second().max(f64::MIN_POSITIVE)).min(1.0);
        self.claims += 1;
        self.asked += asked;
        self.used += used;
        self.share = share;
        Verdict { share }
    }

    fn take_tally(&mut self, workspace: &SmolStr) -> HomeTally {
        HomeTally {
            workspace: workspace.clone(),
            claims: std::mem::take(&mut self.claims),
            asked: std::mem::take(&mut self.asked),
            used: std::mem::take(&mut self.used),
            saved: self.saved,
            share: self.share,
        }
    }
}

/// Time in which so many requests come at a rate; long beyond use where there is hardly any.
fn time_of(requests: f64, per_second: f64) -> Duration {
    const LONGEST: f64 = 60.0;
    Duration::from_secs_f64((requests / per_second.max(f64::MIN_POSITIVE)).min(LONGEST))
}
