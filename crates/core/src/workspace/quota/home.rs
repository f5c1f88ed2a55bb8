//! Home side of a quota: the state of the parts that one node enforces.

use std::time::{Duration, Instant};

use smol_str::SmolStr;

use super::accounts::account_of;
use super::demand::Demand;
use super::homes::HOMES;
use super::{HomeTally, QuotaBound, Verdict};
use crate::collections::Map;
use crate::workspace::Quota;

/// Minimum window over which demand is measured; short compared to the window in which a quota is counted.
const MIN_DEMAND_WINDOW: Duration = Duration::from_millis(250);

/// Maximum window over which demand is measured, for workspaces with few requests.
const MAX_DEMAND_WINDOW: Duration = Duration::from_millis(1500);

/// Number of requests, at the rate of the quota, that the demand window spans. Enough that random fluctuation seldom
/// looks like demand beyond the quota.
const DEMAND_REQUESTS: f64 = 6.0;

/// Demand assumed before any has been measured, as a share of the rate: quotas are set above the usual demand.
const INITIAL_DEMAND_SHARE: f64 = 0.6;

/// Number of requests, at the rate of the quota, that the initial demand estimate spans. Without it, the first
/// requests, which may arrive close together by chance, would look like a surge.
const INITIAL_DEMAND_REQUESTS: f64 = 4.0;

/// Minimum time that the initial demand estimate spans. The first report of an entry covers the requests of the
/// preceding tens of milliseconds.
const MIN_INITIAL_DEMAND_WINDOW: Duration = Duration::from_millis(50);

/// Debt with which an account starts, as the time in which the rate pays it back: the previous home may have admitted a
/// burst just before.
const INITIAL_DEBT: Duration = Duration::from_millis(500);

/// Share of a quota that a home grants during its first two windows: what entries admitted before the restart is
/// unknown.
const WARMUP_SHARE: f64 = 0.9;

/// Verdicts that admit less than this share are broadcast to all entries instead of only to those that send claims.
/// Otherwise each entry of a large fleet would admit its first request.
const BROADCAST_SHARE: f64 = 0.98;

/// Minimum time between two broadcasts about a workspace. Shorter than the validity of a verdict.
const BROADCAST_INTERVAL: Duration = Duration::from_millis(600);

/// Maximum debt, as the time in which the rate pays it back.
const MAX_DEBT: Duration = Duration::from_secs(5);

/// Share of its part that a home grants while other nodes may have replaced it as a home. Together with what the new
/// homes grant, it has to stay within the allowed overage of a quota.
const REPLACED_SHARE: f64 = 0.2;

/// Share of its part that a home grants after it reaches the publisher again, while other nodes may not have noticed
/// yet and still use the new homes.
const RETURNING_SHARE: f64 = 0.5;

/// Time after a partition in which instances write their published entries again and all nodes receive them.
const RETURN_PERIOD: Duration = Duration::from_millis(2500);

/// Time without the publisher after which other nodes may have replaced this node as a home. Shorter than the time
/// after which the publisher removes the published entry of a silent instance.
const REPLACED_AFTER: Duration = Duration::from_secs(3);

/// Minimum share of silent nodes at which a node without the publisher may itself be partitioned off. If nearly all
/// nodes answer, the publisher is down for everyone, and no home is replaced.
const PARTITIONED_SHARE: f64 = 0.1;

/// Parts of quotas that one node enforces as a home, by workspace.
#[derive(Clone, Debug)]
pub struct HomeQuotas {
    bound: QuotaBound,
    /// When this node started to enforce quotas. Nothing is saved from before, because what the previous home admitted
    /// is unknown.
    started: Instant,
    /// When the list of nodes, and with it the assignment of homes, last changed.
    nodes_changed: Instant,
    state: HomeState,
    accounts: Map<SmolStr, Account>,
}

/// Whether other nodes use this one as a home.
#[derive(Clone, Copy, Debug)]
enum HomeState {
    /// This node is a home, as far as it knows.
    Home,
    /// Other nodes may have replaced it.
    Replaced,
    /// It has reached the publisher again since this time.
    Returning(Instant),
}

#[derive(Clone, Copy, Debug)]
struct Account {
    /// Requests that may be admitted on top of the rate; negative if entries have admitted too many.
    saved: f64,
    /// Measured demand of the workspace at its entries.
    demand: Demand,
    updated: Instant,
    /// Since when this node may have been the home without interruption.
    home_since: Instant,
    /// When a verdict was last broadcast to all entries.
    last_broadcast: Option<Instant>,
    /// Number of claims since the tally was last taken.
    claims: u32,
    /// Requests received by entries since the tally was last taken.
    asked: f64,
    /// Requests admitted by entries since the tally was last taken.
    used: f64,
    /// Share of the latest verdict.
    share: f64,
}

impl HomeQuotas {
    /// Creates the state without any workspaces.
    pub fn new(bound: QuotaBound, now: Instant) -> Self {
        Self {
            bound,
            started: now,
            nodes_changed: now,
            state: HomeState::Home,
            accounts: Map::default(),
        }
    }

    /// Returns whether the verdict is to be broadcast to all entries now, and if so records the broadcast.
    pub fn begin_broadcast(
        &mut self,
        workspace: &SmolStr,
        verdict: &Verdict,
        now: Instant,
    ) -> bool {
        let Some(account) = self.accounts.get_mut(workspace) else {
            return false;
        };
        let is_recent = |at: Instant| now.saturating_duration_since(at) < BROADCAST_INTERVAL;
        if verdict.share() >= BROADCAST_SHARE || account.last_broadcast.is_some_and(is_recent) {
            return false;
        }
        account.last_broadcast = Some(now);
        true
    }

    /// Applies what an entry received and admitted since its last report, and returns the new verdict.
    pub fn apply_claim(
        &mut self,
        workspace: &SmolStr,
        quota: Quota,
        asked: f64,
        used: f64,
        now: Instant,
    ) -> Verdict {
        let nodes_changed = self.nodes_changed;
        let account = account_of(&mut self.accounts, workspace, || {
            Account::new(quota, nodes_changed, now)
        });
        let warmed_up = now.saturating_duration_since(self.started) >= self.bound.window * 2;
        let rate = match warmed_up {
            true => self.bound.rate(quota),
            // A home grants less than the quota until it has observed a whole window.
            false => quota.per_second * WARMUP_SHARE,
        };
        let part = match self.state {
            HomeState::Home => 1.0,
            HomeState::Replaced => REPLACED_SHARE,
            HomeState::Returning(_) => RETURNING_SHARE,
        } / HOMES as f64;
        // A new home grants no burst: the previous home may have granted one, or may still do so behind a partition.
        let recently = now.saturating_duration_since(account.home_since) < self.bound.window;
        let is_new = recently && account.home_since > self.started;
        let burst = if is_new { 0.0 } else { quota.burst };
        let max_saved = (burst + self.bound.extra_savings()) * part;
        account.apply_claim(rate * part, max_saved, asked, used, now)
    }

    /// Handles a change of the list of nodes, which may reassign homes. Savings of workspaces without recent claims are
    /// dropped, because another home may have granted them in the meantime.
    pub fn node_list_changed(&mut self, now: Instant) {
        self.nodes_changed = now;
        let is_unused = |at: Instant| now.saturating_duration_since(at) > self.bound.window;
        let accounts = self.accounts.values_mut();
        for account in accounts.filter(|account| is_unused(account.updated)) {
            account.saved = account.saved.min(0.0);
            account.updated = now;
            account.home_since = now;
        }
    }

    /// Updates [`Self::is_replaced`] from the time since the publisher was last reached and the share of the
    /// nodes in use that are silent. Returns whether it has changed.
    pub fn check_replaced(
        &mut self,
        publisher_silent: Duration,
        nodes_silent: f64,
        now: Instant,
    ) -> bool {
        let was_replaced = self.is_replaced();
        let has_returned = |since: Instant| now.saturating_duration_since(since) >= RETURN_PERIOD;
        let partitioned = publisher_silent >= REPLACED_AFTER && nodes_silent >= PARTITIONED_SHARE;
        self.state = match self.state {
            _ if partitioned => HomeState::Replaced,
            HomeState::Replaced if publisher_silent.is_zero() => HomeState::Returning(now),
            // The silent nodes are back without the publisher: it is down for everyone, and no home was replaced.
            HomeState::Replaced => HomeState::Home,
            HomeState::Returning(since) if has_returned(since) => HomeState::Home,
            state => state,
        };
        was_replaced != self.is_replaced()
    }

    /// Returns whether other nodes may have replaced this node as a home.
    pub fn is_replaced(&self) -> bool {
        matches!(self.state, HomeState::Replaced)
    }

    /// Returns and resets the tallies of workspaces with claims since the last call.
    pub fn take_tallies(&mut self) -> impl Iterator<Item = HomeTally> {
        let accounts = self.accounts.iter_mut();
        let claimed = accounts.filter(|(_, account)| account.claims > 0);
        claimed.map(|(name, account)| account.take_tally(name))
    }

    /// Keeps only the workspaces for which `keep` returns true.
    pub fn retain<F>(&mut self, mut keep: F)
    where
        F: FnMut(&SmolStr) -> bool,
    {
        self.accounts.retain(|workspace, _| keep(workspace));
    }
}

impl Account {
    fn new(quota: Quota, home_since: Instant, now: Instant) -> Self {
        let rate = quota.per_second / HOMES as f64;
        let window = time_for(INITIAL_DEMAND_REQUESTS, rate)
            .clamp(MIN_INITIAL_DEMAND_WINDOW, MAX_DEMAND_WINDOW);
        Self {
            saved: -rate * INITIAL_DEBT.as_secs_f64(),
            demand: Demand::new(rate * INITIAL_DEMAND_SHARE, window, now),
            updated: home_since,
            home_since,
            last_broadcast: None,
            claims: 0,
            asked: 0.0,
            used: 0.0,
            share: 1.0,
        }
    }

    fn apply_claim(
        &mut self,
        rate: f64,
        max_saved: f64,
        asked: f64,
        used: f64,
        now: Instant,
    ) -> Verdict {
        let elapsed = now.saturating_duration_since(self.updated).as_secs_f64();
        self.updated = now;
        self.saved = (self.saved + rate * elapsed).min(max_saved) - used;
        // Debt is paid back within the window in which the quota is counted; older debt would only refuse more.
        self.saved = self.saved.max(-rate.max(1.0) * MAX_DEBT.as_secs_f64());
        let window = time_for(DEMAND_REQUESTS, rate).clamp(MIN_DEMAND_WINDOW, MAX_DEMAND_WINDOW);
        self.demand.record(asked, window, now);
        let verdict = Verdict {
            rate,
            saved: self.saved,
            max_saved,
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

/// Returns the time in which the given number of requests arrive at a rate, capped at a minute for rates near zero.
fn time_for(requests: f64, per_second: f64) -> Duration {
    const MAX_SECONDS: f64 = 60.0;
    Duration::from_secs_f64((requests / per_second.max(f64::MIN_POSITIVE)).min(MAX_SECONDS))
}
