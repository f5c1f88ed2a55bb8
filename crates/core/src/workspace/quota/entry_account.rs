//! State that an entry keeps for one workspace.

use std::time::{Duration, Instant};

use super::entry::{QuotaClaim, QuotaConfig};
use super::homes::HOMES;
use super::{QuotaTally, Verdict};
use crate::workspace::Quota;

/// Window over which an entry averages its own demand and the confirmed requests, in seconds.
pub(super) const DEMAND_WINDOW: f64 = 2.0;

/// Maximum time for which an entry's own bucket fills between two requests. Otherwise each of many entries that
/// have been idle for long would have a request saved.
const MAX_REFILL_TIME: Duration = Duration::from_secs(5);

/// Unconfirmed requests that every entry may have: a small workspace sometimes receives two at once by chance.
const UNCONFIRMED_MIN: f64 = 2.0;

/// Share of a burst that all entries together may additionally have unconfirmed, for the first requests after a pause.
const UNCONFIRMED_BURST: f64 = 0.25;

/// Multiple of the recently confirmed requests that may be unconfirmed until an entry falls back to its own part.
const UNCONFIRMED_RATE: f64 = 1.5;

/// Requests of one workspace at one entry.
#[derive(Clone, Debug)]
pub(super) struct Account {
    /// Requests received since the last claim.
    pub(super) asked: u32,
    /// Requests admitted since the last claim, less admitted requests that did not run.
    pub(super) used: i32,
    /// Time of the oldest request that no claim contains yet.
    pub(super) unreported_since: Option<Instant>,
    /// Latest verdict of each home.
    pub(super) verdicts: [Option<(Verdict, Instant)>; HOMES],
    /// Claims that no home has confirmed yet.
    pub(super) pending: Vec<PendingClaim>,
    /// Requests per second that homes had confirmed at `confirmed_at`.
    pub(super) confirmed: f64,
    pub(super) confirmed_at: Instant,
    /// Whether the last claim was not answered by any home.
    pub(super) isolated: bool,
    /// Sum of the shares of the requests received, less the admitted ones; a request is admitted at 1.
    credit: f64,
    /// Requests per second received by this entry.
    pub(super) demand: f64,
    /// Tokens in the entry's own bucket; NaN before its first use.
    tokens: f64,
    /// Time of the last request.
    pub(super) updated: Instant,
    /// Decisions since the tally was last taken.
    pub(super) tally: QuotaTally,
}

/// A claim that was sent and is not confirmed yet.
#[derive(Clone, Copy, Debug)]
pub(super) struct PendingClaim {
    pub(super) first_request_at: Instant,
    pub(super) used: i32,
}

impl Account {
    /// Creates an account without requests; `phase` is the initial credit.
    pub(super) fn new(phase: f64, now: Instant) -> Self {
        Self {
            asked: 0,
            used: 0,
            unreported_since: None,
            verdicts: [None; HOMES],
            pending: Vec::new(),
            confirmed: 0.0,
            confirmed_at: now,
            isolated: false,
            credit: phase,
            demand: 0.0,
            tokens: f64::NAN,
            updated: now,
            tally: QuotaTally::default(),
        }
    }

    /// Returns the share to admit by the recent verdicts of all homes together.
    pub(super) fn share(&self, cfg: &QuotaConfig, now: Instant) -> Option<f64> {
        let is_fresh = |at: Instant| now.saturating_duration_since(at) <= cfg.verdict_ttl;
        let known = self.verdicts.iter().flatten();
        let known = known.filter(|(_, at)| is_fresh(*at));
        Verdict::sum(known.map(|(verdict, _)| *verdict)).map(|sum| sum.share())
    }

    /// Returns whether a claim has been unconfirmed for too long.
    pub(super) fn is_overdue(&self, cfg: &QuotaConfig, now: Instant) -> bool {
        let pending = self.pending.iter().map(|claim| claim.first_request_at);
        let oldest = pending.chain(self.unreported_since).min();
        oldest.is_some_and(|at| now.saturating_duration_since(at) > cfg.confirm_timeout)
    }

    /// Removes a claim that was confirmed or has failed.
    pub(super) fn remove_pending(&mut self, claim: &QuotaClaim) {
        self.pending
            .retain(|pending| pending.first_request_at != claim.first_request_at);
    }

    /// Returns the number of admitted requests that no home has confirmed.
    pub(super) fn unconfirmed(&self) -> f64 {
        let pending: i32 = self.pending.iter().map(|claim| claim.used).sum();
        f64::from(self.used + pending)
    }

    /// Returns the moving average of confirmed requests per second.
    pub(super) fn confirmed_rate(&self, now: Instant) -> f64 {
        let elapsed = now.saturating_duration_since(self.confirmed_at);
        self.confirmed * (-elapsed.as_secs_f64() / DEMAND_WINDOW).exp()
    }

    /// Admits a share of the requests at even intervals, as long as the number of unconfirmed requests is within its
    /// limit; `burst` is the entry's part of the quota's burst.
    pub(super) fn admit_by_share(
        &mut self,
        share: f64,
        burst: f64,
        cfg: &QuotaConfig,
        now: Instant,
    ) -> Result<(), f64> {
        let recent = self.confirmed_rate(now) * cfg.confirm_timeout.as_secs_f64();
        let limit = UNCONFIRMED_MIN + UNCONFIRMED_BURST * burst + UNCONFIRMED_RATE * recent;
        if self.unconfirmed() >= limit {
            return Err(share);
        }
        self.credit += share;
        if self.credit < 1.0 {
            return Err(share);
        }
        self.credit -= 1.0;
        Ok(())
    }

    /// Admits requests by a token bucket with the given part of the quota.
    pub(super) fn admit_by_bucket(
        &mut self,
        quota: Quota,
        part: f64,
        elapsed: f64,
        phase: f64,
    ) -> Result<(), f64> {
        let capacity = quota.burst * part + 1.0;
        if self.tokens.is_nan() {
            // Parts are often fractions of a request. With the phase added, the number of entries that start with a
            // whole token is about the sum of all parts.
            self.tokens = quota.burst * part + phase;
        }
        let elapsed = elapsed.min(MAX_REFILL_TIME.as_secs_f64());
        self.tokens = (self.tokens + quota.per_second * part * elapsed).min(capacity);
        if self.tokens < 1.0 {
            return Err((quota.per_second * part / self.demand).clamp(0.0, 1.0));
        }
        self.tokens -= 1.0;
        Ok(())
    }
}
