//! The learnt concurrency limit.

use std::time::Instant;

use super::config::{AdmissionConfig, LimitRule};
use super::window::{Seen, Times};

/// Smallest factor of one cut by the gradient rule.
const GRADIENT_FLOOR: f64 = 0.7;

/// Factor of one cut by the AIMD rule, and of a cut for failures.
const CUT: f64 = 0.9;

/// Share of the limit that must have been in use for a window to say anything about the limit.
const USED_SHARE: f64 = 0.9;

/// A series of cuts down to this share of its first limit must shorten service times.
const JUDGED_SHARE: f64 = 0.8;

/// Service time or failures after such a series, as a share of those before, from which the series counts as useless.
const NOT_LESS: f64 = 0.92;

/// Standard errors by which a mean service time must differ before it counts as longer or shorter.
const SURE: f64 = 2.0;

/// Weight of a shorter service time in the uncongested one.
const BASE_WEIGHT: f64 = 0.3;

/// A service time within this factor of the uncongested one confirms it.
const BASE_CONFIRMED: f64 = 1.05;

/// Most rise of the uncongested service time at once.
const BASE_RISE: f64 = 2.5;

/// Limit of a window that measures the uncongested service time, as a share of the limit over the tolerance.
const PROBE_SHARE: f64 = 0.8;

/// Moves the limit at the end of each window.
///
/// Service times above `tolerance` times the uncongested one count as queueing inside the target. Three guards keep this
/// from misleading.
///
/// - Service times vary without any queueing. With a plain comparison the shortest windows make the base and all others
///   look congested: the limit falls to its minimum and stays there. So a difference counts only where it is larger than
///   the standard error of the window explains.
/// - A deep service that slows down or fails makes calls long or failed here although nothing queues here, and cutting
///   the limit would cost throughput; one would see the limit at its minimum and an idle target. So a series of cuts that
///   makes neither service times shorter nor failures fewer is taken back, and what was seen becomes the new base.
/// - Under lasting congestion the uncongested time would be forgotten and the limit creep upwards with every lifetime of
///   the base. So one window in each lifetime runs at a lower limit and measures it again.
#[derive(Clone, Debug)]
pub(super) struct LimitControl {
    limit: f64,
    base: Option<Base>,
    /// Share of failures that cuts have not made smaller.
    base_failed: f64,
    cuts: Option<Cuts>,
    /// Whether the window before was congested.
    congested: bool,
    /// The limit to go back to after a measuring window.
    probed_from: Option<f64>,
}

#[derive(Clone, Copy, Debug)]
struct Base {
    seconds: f64,
    confirmed: Instant,
}

/// A series of cuts: what stood before the first one.
#[derive(Clone, Copy, Debug)]
struct Cuts {
    limit: f64,
    seconds: f64,
    failed: f64,
}

impl LimitControl {
    pub(super) fn new(cfg: &AdmissionConfig) -> Self {
        Self {
            limit: f64::from(cfg.initial_limit),
            base: None,
            base_failed: 0.0,
            cuts: None,
            congested: false,
            probed_from: None,
        }
    }

    pub(super) fn get(&self) -> f64 {
        self.limit
    }

    /// Moves the limit by what a window has shown.
    pub(super) fn update(&mut self, cfg: &AdmissionConfig, seen: Seen, now: Instant) {
        self.base_failed = self.base_failed.min(seen.failed);
        let failing = seen.failed > self.base_failed + cfg.failure_share;
        let used = f64::from(seen.peak) >= self.limit.floor() * USED_SHARE;
        let Some(times) = seen.times else {
            self.without_times(cfg, failing && used, seen.failed);
            return;
        };
        if let Some(limit) = self.probed_from.take() {
            self.base = Some(Base {
                seconds: times.mean,
                confirmed: now,
            });
            self.limit = limit;
            return;
        }
        let base = self.confirm(&times, now);
        if !used {
            self.cuts = None;
            self.forget_base(cfg, times.mean, now);
            return;
        }
        let ratio = cfg.tolerance * base / (times.mean - SURE * times.error).max(f64::EPSILON);
        let congested_before = self.congested;
        self.congested = ratio < 1.0 || failing;
        if self.congested && !congested_before {
            // The load may still have been rising within this window. Were the series of cuts judged against it, the
            // cuts would look useless at each onset of a surge and the limit stay too high.
            return;
        }
        if self.congested {
            let ratio = if failing { ratio.min(CUT) } else { ratio };
            self.cut(
                cfg,
                ratio,
                Cuts {
                    limit: self.limit,
                    seconds: times.mean,
                    failed: seen.failed,
                },
            );
            return;
        }
        self.cuts = None;
        if now.saturating_duration_since(self.base_confirmed(now)) >= cfg.base_lifetime {
            self.probed_from = Some(self.limit);
            self.scale(cfg, PROBE_SHARE / cfg.tolerance);
            return;
        }
        self.grow(cfg);
    }

    /// A window in which every call failed.
    fn without_times(&mut self, cfg: &AdmissionConfig, failing: bool, failed: f64) {
        if failing {
            self.cut(
                cfg,
                CUT,
                Cuts {
                    limit: self.limit,
                    seconds: 0.0,
                    failed,
                },
            );
        }
    }

    /// Takes a service time into the uncongested one, which is returned.
    fn confirm(&mut self, times: &Times, now: Instant) -> f64 {
        let base = self.base.get_or_insert(Base {
            seconds: times.mean,
            confirmed: now,
        });
        if times.mean <= base.seconds * BASE_CONFIRMED {
            base.confirmed = now;
        }
        let surely = times.mean + SURE * times.error;
        if surely < base.seconds {
            base.seconds += (surely - base.seconds) * BASE_WEIGHT;
        }
        base.seconds
    }

    fn base_confirmed(&self, now: Instant) -> Instant {
        self.base.map_or(now, |base| base.confirmed)
    }

    /// Below the limit nothing queues at the target, so an old base gives way without a measuring window.
    fn forget_base(&mut self, cfg: &AdmissionConfig, seconds: f64, now: Instant) {
        if now.saturating_duration_since(self.base_confirmed(now)) >= cfg.base_lifetime {
            self.base = Some(Base {
                seconds,
                confirmed: now,
            });
        }
    }

    fn cut(&mut self, cfg: &AdmissionConfig, ratio: f64, current: Cuts) {
        let before = *self.cuts.get_or_insert(current);
        let judged = current.limit <= before.limit * JUDGED_SHARE;
        if judged && before.is_useless(&current) {
            self.take_back(cfg, before, current);
            return;
        }
        if judged {
            self.cuts = Some(current);
        }
        let factor = match cfg.limit_rule {
            LimitRule::Aimd => CUT,
            LimitRule::Gradient => ratio.clamp(GRADIENT_FLOOR, 1.0),
        };
        self.scale(cfg, factor);
        // At the minimum no further cut can be judged, and the limit would stay there for good.
        if self.limit >= current.limit {
            self.take_back(cfg, before, current);
        }
    }

    /// Goes back to the limit before the cuts and takes what is seen now for normal.
    fn take_back(&mut self, cfg: &AdmissionConfig, before: Cuts, current: Cuts) {
        self.limit = before.limit;
        self.cuts = None;
        self.base_failed = current.failed;
        if let Some(base) = &mut self.base {
            base.seconds = current
                .seconds
                .clamp(base.seconds, base.seconds * BASE_RISE);
        }
        self.scale(cfg, 1.0);
    }

    fn grow(&mut self, cfg: &AdmissionConfig) {
        let step = match cfg.limit_rule {
            LimitRule::Aimd => 1.0,
            LimitRule::Gradient => self.limit.sqrt() / 2.0,
        };
        self.limit = (self.limit + step).min(f64::from(cfg.max_limit));
    }

    fn scale(&mut self, cfg: &AdmissionConfig, factor: f64) {
        self.limit = (self.limit * factor).max(f64::from(cfg.min_limit.max(1)));
    }
}

impl Cuts {
    /// Whether what is seen after the cuts is no better than before them.
    fn is_useless(&self, current: &Self) -> bool {
        let no_shorter = current.seconds >= self.seconds * NOT_LESS;
        let no_fewer = current.failed >= self.failed * NOT_LESS;
        no_shorter && no_fewer
    }
}
