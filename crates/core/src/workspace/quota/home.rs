//! The part of a quota that a home keeps.

use std::time::{Duration, Instant};

use smol_str::SmolStr;

use super::accounts::account_of;
use super::demand::Demand;
use super::homes::HOMES;
use super::{HomeTally, QuotaBound, Verdict};
use crate::collections::Map;
use crate::workspace::Quota;

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

/// Share of a quota that a home gives out in its first two windows: what entries let run before a restart is not known any more.
const UNSETTLED_SHARE: f64 = 0.9;

/// Share of requests below which all entries are told, not only those that ask: each entry of a large fleet would let its first
/// request run otherwise.
const TOLD_SHARE: f64 = 0.98;

/// Time between two words to all entries about a workspace. Shorter than a verdict is believed.
const TELL_AGAIN: Duration = Duration::from_millis(600);

/// Requests that can be owed at most, as the time in which the rate brings them.
const MOST_OWED: Duration = Duration::from_secs(5);

/// Share of its part that a home gives out while others may have been made homes in its place. With what the new homes give
/// out it has to stay within what may run beyond a quota.
const REPLACED_SHARE: f64 = 0.2;

/// The same for a home that hears the publisher again, while other nodes don't know of it yet and still use the new homes.
const RETURNING_SHARE: f64 = 0.5;

/// Time in which the entries of instances come back after a cut, and all nodes hear of it.
const RETURNS_WITHIN: Duration = Duration::from_millis(2500);

/// Time without the publisher after which others may have been made homes in the place of a node. Shorter than the time after
/// which the publisher drops the entry of an instance that it does not hear.
const REPLACED_AFTER: Duration = Duration::from_secs(3);

/// Share of silent nodes from which on a node that does not hear the publisher may be cut off itself. Where all but few answer,
/// the publisher is away for all, and nobody is made a home.
const CUT_OFF_SHARE: f64 = 0.1;

/// Parts of quotas kept by one node, by workspace.
#[derive(Clone, Debug)]
pub struct HomeQuotas {
    bound: QuotaBound,
    /// When this node began to keep quotas. What its predecessor let run is not known, so nothing was saved before.
    began: Instant,
    /// When the list of nodes changed last, and so which nodes are homes.
    listed: Instant,
    standing: Standing,
    accounts: Map<SmolStr, Account>,
}

/// Whether other nodes use this one as a home.
#[derive(Clone, Copy, Debug)]
enum Standing {
    /// As far as it knows.
    Home,
    /// Others may have been made homes in its place.
    Replaced,
    /// It hears the publisher again, since this moment.
    Returning(Instant),
}

#[derive(Clone, Copy, Debug)]
struct Account {
    /// Requests that may run besides the rate; negative where entries have let more run.
    saved: f64,
    /// Requests that entries were asked for.
    demand: Demand,
    at: Instant,
    /// From when on this node may have been the home without a break.
    since: Instant,
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
            listed: now,
            standing: Standing::Home,
            accounts: Map::default(),
        }
    }

    /// Whether all entries are to be told of a verdict now; they count as told afterwards.
    pub fn tells_all(&mut self, workspace: &SmolStr, verdict: &Verdict, now: Instant) -> bool {
        let Some(account) = self.accounts.get_mut(workspace) else {
            return false;
        };
        let recent = |at: Instant| now.saturating_duration_since(at) < TELL_AGAIN;
        if verdict.share() >= TOLD_SHARE || account.told.is_some_and(recent) {
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
        let listed = self.listed;
        let account = account_of(&mut self.accounts, workspace, || {
            Account::new(quota, listed, now)
        });
        let settled = now.saturating_duration_since(self.began) >= self.bound.window * 2;
        let rate = match settled {
            true => self.bound.rate(quota),
            // Until a window has passed that it has seen whole, a home gives out less than the quota.
            false => quota.per_second * UNSETTLED_SHARE,
        };
        let part = match self.standing {
            Standing::Home => 1.0,
            Standing::Replaced => REPLACED_SHARE,
            Standing::Returning(_) => RETURNING_SHARE,
        } / HOMES as f64;
        // Where it was no home before, the one that was may have let a burst run, or may still do so behind a cut.
        let lately = now.saturating_duration_since(account.since) < self.bound.window;
        let is_new = lately && account.since > self.began;
        let burst = if is_new { 0.0 } else { quota.burst };
        let most_saved = (burst + self.bound.saved()) * part;
        account.claimed(rate * part, most_saved, asked, used, now)
    }

    /// The list of nodes has changed, and so may the homes: what a workspace without recent claims has saved here may have been
    /// given out by another home meanwhile.
    pub fn list_changed(&mut self, now: Instant) {
        self.listed = now;
        let unused = |at: Instant| now.saturating_duration_since(at) > self.bound.window;
        for account in self.accounts.values_mut().filter(|kept| unused(kept.at)) {
            account.saved = account.saved.min(0.0);
            account.at = now;
            account.since = now;
        }
    }

    /// Takes in for how long the publisher has been silent to this node, and which share of the nodes that it uses is silent;
    /// returns whether [`Self::is_replaced`] has changed.
    pub fn check_replaced(
        &mut self,
        publisher_silent: Duration,
        nodes_silent: f64,
        now: Instant,
    ) -> bool {
        let was_replaced = self.is_replaced();
        let over = |since: Instant| now.saturating_duration_since(since) >= RETURNS_WITHIN;
        let cut_off = publisher_silent >= REPLACED_AFTER && nodes_silent >= CUT_OFF_SHARE;
        self.standing = match self.standing {
            _ if cut_off => Standing::Replaced,
            Standing::Replaced if publisher_silent.is_zero() => Standing::Returning(now),
            // The publisher is away for all, and the nodes that were silent are back: nobody was made a home.
            Standing::Replaced => Standing::Home,
            Standing::Returning(since) if over(since) => Standing::Home,
            standing => standing,
        };
        was_replaced != self.is_replaced()
    }

    /// Whether others may have been made homes in the place of this node.
    pub fn is_replaced(&self) -> bool {
        matches!(self.standing, Standing::Replaced)
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
    fn new(quota: Quota, since: Instant, now: Instant) -> Self {
        let rate = quota.per_second / HOMES as f64;
        let known = time_of(EXPECTED_REQUESTS, rate).clamp(EXPECTED_TIME, LONGEST_DEMAND_WINDOW);
        Self {
            saved: -rate * OWED_AT_START.as_secs_f64(),
            demand: Demand::new(rate * EXPECTED_SHARE, known, now),
            at: since,
            since,
            told: None,
            claims: 0,
            asked: 0.0,
            used: 0.0,
            share: 1.0,
        }
    }

    fn claimed(
        &mut self,
        rate: f64,
        most_saved: f64,
        asked: f64,
        used: f64,
        now: Instant,
    ) -> Verdict {
        let passed = now.saturating_duration_since(self.at).as_secs_f64();
        self.at = now;
        self.saved = (self.saved + rate * passed).min(most_saved) - used;
        // What is owed is paid back within a window in which the quota is counted; older debts would only refuse more.
        self.saved = self.saved.max(-rate.max(1.0) * MOST_OWED.as_secs_f64());
        let window = time_of(DEMAND_REQUESTS, rate).clamp(DEMAND_WINDOW, LONGEST_DEMAND_WINDOW);
        self.demand.came(asked, window, now);
        let verdict = Verdict {
            rate,
            saved: self.saved,
            most_saved,
            demand: self.demand.per_second(),
        };
        self.claims += 1;
        self.asked += asked;
        self.used += used;
        self.share = verdict.share();
        verdict
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
