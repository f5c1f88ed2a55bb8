//! What an entry keeps of one workspace.

use std::time::{Duration, Instant};

use super::entry::{QuotaClaim, QuotaConfig};
use super::homes::HOMES;
use super::{QuotaTally, Verdict};
use crate::workspace::Quota;

/// Time over which an entry measures its own demand, and what homes have confirmed, in seconds.
pub(super) const DEMAND_WINDOW: f64 = 2.0;

/// Longest time for which an entry's own bucket fills between two requests. Each of many entries that were without requests
/// for long would have one saved.
const BUCKET_FILLS: Duration = Duration::from_secs(5);

/// Requests without a home's confirmation that any entry may have: chance brings two of a small workspace at once.
const UNCONFIRMED_MIN: f64 = 2.0;

/// Share of a burst that all entries together may have unconfirmed besides, for the first requests after a pause.
const UNCONFIRMED_BURST: f64 = 0.25;

/// Multiple of what homes confirmed lately that may be unconfirmed until an entry goes by its own part.
const UNCONFIRMED_RATE: f64 = 1.5;

/// Requests of a workspace at one entry.
#[derive(Clone, Debug)]
pub(super) struct Account {
    pub(super) asked: u32,
    pub(super) used: i32,
    /// When the oldest count that no home knows was made.
    pub(super) since: Option<Instant>,
    /// The newest word of each home.
    pub(super) verdicts: [Option<(Verdict, Instant)>; HOMES],
    /// Claims that no home has confirmed yet.
    pub(super) open: Vec<OpenClaim>,
    /// Requests a second that homes have confirmed, up to this moment.
    pub(super) confirmed: f64,
    pub(super) confirmed_at: Instant,
    /// Whether no home answers.
    pub(super) alone: bool,
    /// Admissions that are due by the share; at 1 a request is admitted.
    due: f64,
    /// Requests a second that come here.
    pub(super) demand: f64,
    /// Requests that may run by a bucket of the entry's own.
    tokens: f64,
    pub(super) at: Instant,
    /// Decisions since they were last read.
    pub(super) tally: QuotaTally,
}

/// What is remembered of a claim on its way.
#[derive(Clone, Copy, Debug)]
pub(super) struct OpenClaim {
    pub(super) since: Instant,
    pub(super) used: i32,
}

impl Account {
    /// An account without requests; `phase` is what is due at its first one.
    pub(super) fn new(phase: f64, now: Instant) -> Self {
        Self {
            asked: 0,
            used: 0,
            since: None,
            verdicts: [None; HOMES],
            open: Vec::new(),
            confirmed: 0.0,
            confirmed_at: now,
            alone: false,
            due: phase,
            demand: 0.0,
            tokens: f64::NAN,
            at: now,
            tally: QuotaTally::default(),
        }
    }

    /// The share that the homes tell together.
    pub(super) fn share(&self, cfg: &QuotaConfig, now: Instant) -> Option<f64> {
        let fresh = |at: Instant| now.saturating_duration_since(at) <= cfg.verdict_valid;
        let known = self.verdicts.iter().flatten();
        let known = known.filter(|(_, at)| fresh(*at));
        Verdict::pooled(known.map(|(verdict, _)| *verdict)).map(|pooled| pooled.share())
    }

    /// Whether a claim has waited for its confirmation for too long.
    pub(super) fn is_overdue(&self, cfg: &QuotaConfig, now: Instant) -> bool {
        let opened = self.open.iter().map(|claim| claim.since);
        let oldest = opened.chain(self.since).min();
        oldest.is_some_and(|at| now.saturating_duration_since(at) > cfg.confirm_within)
    }

    /// A claim is not on its way any more.
    pub(super) fn close(&mut self, claim: &QuotaClaim) {
        self.open.retain(|open| open.since != claim.since);
    }

    /// Requests that were let run and that no home has confirmed.
    pub(super) fn unconfirmed(&self) -> f64 {
        let open: i32 = self.open.iter().map(|claim| claim.used).sum();
        f64::from(self.used + open)
    }

    pub(super) fn confirmed_rate(&self, now: Instant) -> f64 {
        let passed = now.saturating_duration_since(self.confirmed_at);
        self.confirmed * (-passed.as_secs_f64() / DEMAND_WINDOW).exp()
    }

    /// Admits a share, evenly, up to as many requests without confirmation as an entry may have; `burst` is its part of the
    /// quota's burst.
    pub(super) fn by_share(
        &mut self,
        share: f64,
        burst: f64,
        cfg: &QuotaConfig,
        now: Instant,
    ) -> Result<(), f64> {
        let lately = self.confirmed_rate(now) * cfg.confirm_within.as_secs_f64();
        let most = UNCONFIRMED_MIN + UNCONFIRMED_BURST * burst + UNCONFIRMED_RATE * lately;
        if self.unconfirmed() >= most {
            return Err(share);
        }
        self.due += share;
        if self.due < 1.0 {
            return Err(share);
        }
        self.due -= 1.0;
        Ok(())
    }

    /// Admits by a bucket that holds this part of the quota.
    pub(super) fn bucket(
        &mut self,
        quota: Quota,
        part: f64,
        passed: f64,
        phase: f64,
    ) -> Result<(), f64> {
        let cap = quota.burst * part + 1.0;
        if self.tokens.is_nan() {
            // Parts are often fractions of a request: as many entries as add up to the whole begin with one.
            self.tokens = quota.burst * part + phase;
        }
        let passed = passed.min(BUCKET_FILLS.as_secs_f64());
        self.tokens = (self.tokens + quota.per_second * part * passed).min(cap);
        if self.tokens < 1.0 {
            return Err((quota.per_second * part / self.demand).clamp(0.0, 1.0));
        }
        self.tokens -= 1.0;
        Ok(())
    }
}
