//! The learnt concurrency limit.

mod cuts;
mod overshoot;

use std::time::Instant;

use super::config::{AdmissionConfig, LimitRule};
use super::window::{Seen, Times};
use cuts::Cuts;
use overshoot::{NormalFailures, Overshoot};

/// Smallest factor of one cut by the gradient rule.
const GRADIENT_FLOOR: f64 = 0.7;

/// Share of failures above the normal one from which a single window is not acted on.
const LARGE_OVERSHOOT: f64 = 0.2;

/// Largest factor of one cut for failures.
const FAILURE_CUT: f64 = 0.95;

/// Factor of one cut by the AIMD rule.
const CUT: f64 = 0.9;

/// Share of the limit that must have been in use for a window to say anything about the limit.
const USED_SHARE: f64 = 0.9;

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
    normal: NormalFailures,
    cuts: Option<Cuts>,
    /// The limit above which the target fails calls.
    ceiling: Option<Ceiling>,
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

#[derive(Clone, Copy, Debug)]
struct Ceiling {
    limit: f64,
    until: Instant,
}

impl LimitControl {
    pub(super) fn new(cfg: &AdmissionConfig) -> Self {
        Self {
            limit: f64::from(cfg.initial_limit),
            base: None,
            normal: NormalFailures::default(),
            cuts: None,
            ceiling: None,
            congested: false,
            probed_from: None,
        }
    }

    pub(super) fn get(&self) -> f64 {
        self.limit
    }

    /// Moves the limit by what a window has shown.
    pub(super) fn update(&mut self, cfg: &AdmissionConfig, seen: Seen, now: Instant) {
        let overshoot = self.normal.overshoot(cfg, self.limit, &seen);
        let used = f64::from(seen.peak) >= self.limit.floor() * USED_SHARE;
        if let Some(overshoot) = overshoot {
            self.cut_overshoot(cfg, &seen, overshoot, now);
            return;
        }
        self.judge_failing_series(cfg, &seen);
        let Some(times) = seen.times else {
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
            self.end_series(now);
            self.forget_base(cfg, times.mean, now);
            return;
        }
        let ratio = cfg.tolerance * base / (times.mean - SURE * times.error).max(f64::EPSILON);
        let congested_before = self.congested;
        self.congested = ratio < 1.0;
        if self.congested && !congested_before {
            // The load may still have been rising within this window. Were the series of cuts judged against it, the
            // cuts would look useless at each onset of a surge and the limit stay too high.
            return;
        }
        if self.congested {
            let current = Cuts {
                limit: self.limit,
                used: self.limit,
                seconds: times.mean,
                failed: seen.failed,
                failing: false,
            };
            self.cut(cfg, self.limit * factor(cfg, ratio), current);
            return;
        }
        self.end_series(now);
        if now.saturating_duration_since(self.base_confirmed(now)) >= cfg.base_lifetime {
            self.probed_from = Some(self.limit);
            self.scale(cfg, PROBE_SHARE / cfg.tolerance);
            return;
        }
        self.grow(cfg, now);
    }

    /// Takes a series of cuts for failures back where the failures stay though they are normal by now.
    fn judge_failing_series(&mut self, cfg: &AdmissionConfig, seen: &Seen) {
        let Some(before) = self.cuts.filter(|cuts| cuts.failing) else {
            return;
        };
        let current = Cuts {
            failed: seen.failed,
            ..before
        };
        if before.is_useless(&current) {
            self.take_back(cfg, before, current);
        }
    }

    /// Forgets a series of cuts after a window without congestion.
    ///
    /// A series for failures stays as long as its ceiling: a window with few failures by chance would else begin a new
    /// series from the lower limit, and failures of another cause would bring the limit down step by step for good.
    fn end_series(&mut self, now: Instant) {
        let failing = self.cuts.is_some_and(|cuts| cuts.failing);
        let held = self.ceiling.is_some_and(|ceiling| now < ceiling.until);
        if !(failing && held) {
            self.cuts = None;
        }
    }

    /// Goes down to what the target takes.
    ///
    /// A target that sheds by itself knows no classes: above its slots it fails bids and lookups alike. It answers at once,
    /// so the calls in flight never reach a limit far above the slots, nothing waits here, and service times don't rise.
    /// Were the limit to grow again at once, it would do so in each second window. So what the target took is remembered
    /// as a ceiling for a while.
    fn cut_overshoot(
        &mut self,
        cfg: &AdmissionConfig,
        seen: &Seen,
        overshoot: Overshoot,
        now: Instant,
    ) {
        // As with service times, the first window of a large overshoot may show a load that was still rising.
        let large = seen.failed - self.normal.share > LARGE_OVERSHOOT;
        if !std::mem::replace(&mut self.congested, true) && large {
            return;
        }
        let seconds = seen.times.map_or(0.0, |times| times.mean);
        let current = Cuts {
            limit: self.limit,
            used: overshoot.used,
            seconds,
            failed: seen.failed,
            failing: true,
        };
        let until = now + cfg.base_lifetime;
        self.ceiling = Some(Ceiling {
            limit: overshoot.accepted,
            until,
        });
        self.cut(
            cfg,
            overshoot.accepted.min(overshoot.used * FAILURE_CUT),
            current,
        );
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

    fn cut(&mut self, cfg: &AdmissionConfig, limit: f64, current: Cuts) {
        let before = *self.cuts.get_or_insert(current);
        let judged = current.limit <= before.used * before.judged_share();
        if judged && before.is_useless(&current) {
            self.take_back(cfg, before, current);
            return;
        }
        if judged {
            self.cuts = Some(current);
        }
        self.limit = limit;
        self.scale(cfg, 1.0);
        // At the minimum no further cut can be judged, and the limit would stay there for good.
        if self.limit >= current.limit {
            self.take_back(cfg, before, current);
        }
    }

    /// Goes back to the limit before the cuts and takes what is seen now for normal.
    fn take_back(&mut self, cfg: &AdmissionConfig, before: Cuts, current: Cuts) {
        self.limit = before.limit;
        self.cuts = None;
        self.normal.share = current.failed.min(before.failed);
        self.ceiling = None;
        if let Some(base) = &mut self.base {
            base.seconds = current
                .seconds
                .clamp(base.seconds, base.seconds * BASE_RISE);
        }
        self.scale(cfg, 1.0);
    }

    fn grow(&mut self, cfg: &AdmissionConfig, now: Instant) {
        let step = match cfg.limit_rule {
            LimitRule::Aimd => 1.0,
            LimitRule::Gradient => self.limit.sqrt() / 2.0,
        };
        let ceiling = self.ceiling.filter(|ceiling| now < ceiling.until);
        let most = ceiling.map_or(f64::from(cfg.max_limit), |ceiling| ceiling.limit);
        self.limit = (self.limit + step).min(most.max(self.limit));
    }

    fn scale(&mut self, cfg: &AdmissionConfig, factor: f64) {
        self.limit = (self.limit * factor).max(f64::from(cfg.min_limit.max(1)));
    }
}

/// The factor of a cut for long service times.
fn factor(cfg: &AdmissionConfig, ratio: f64) -> f64 {
    match cfg.limit_rule {
        LimitRule::Aimd => CUT,
        LimitRule::Gradient => ratio.clamp(GRADIENT_FLOOR, 1.0),
    }
}
