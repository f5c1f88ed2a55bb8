//! Adaptive concurrency limit.

mod cut_series;
mod overshoot;

use std::time::Instant;

use super::config::{AdmissionConfig, LimitRule};
use super::window::{ServiceTimes, WindowSummary};
use cut_series::CutSeries;
use overshoot::{NormalFailures, Overshoot};

/// Lower bound of the factor of one cut by the gradient rule.
const MIN_GRADIENT_FACTOR: f64 = 0.7;

/// Failure share in excess of the normal one above which a second window must confirm an overshoot.
const LARGE_OVERSHOOT: f64 = 0.2;

/// Upper bound of the factor of one cut because of failures.
const MAX_FAILURE_CUT_FACTOR: f64 = 0.95;

/// Factor of one cut by the AIMD rule.
const AIMD_CUT_FACTOR: f64 = 0.9;

/// Minimum utilization of the limit for a window to be evidence about the limit.
const USED_SHARE: f64 = 0.9;

/// Number of standard errors by which a measurement must differ to be significant.
const SIGNIFICANT_ERRORS: f64 = 2.0;

/// Weight of a significantly shorter service time in the base.
const BASE_WEIGHT: f64 = 0.3;

/// A service time within this factor of the base confirms the base.
const BASE_CONFIRM_FACTOR: f64 = 1.05;

/// Maximum factor by which the base rises when a series of cuts is reverted.
const MAX_BASE_RISE: f64 = 2.5;

/// Limit during a probe of the uncongested service time, relative to the limit divided by the tolerance.
const PROBE_SHARE: f64 = 0.8;

/// Adjusts the limit at the end of each window.
///
/// Service times above `tolerance` times the uncongested service time (the base) indicate queueing inside the target.
/// Three mechanisms avoid false conclusions:
///
/// - Service times vary without any queueing. In a plain comparison, the window with the shortest times would set the
///   base, all others would look congested, and the limit would fall to its minimum and stay there. So only differences
///   beyond the standard error of the window are considered.
/// - A slow or failing downstream service makes calls slow or failed here although nothing queues here. Cutting the
///   limit would then reduce throughput, down to the minimum limit at an idle target. So a series of cuts that improves
///   neither service times nor failures is reverted, and the observed values become the new base.
/// - Under lasting congestion the base would expire and be replaced by a congested service time, so that the limit
///   would creep up with every `base_lifetime`. So one window per lifetime probes the base with a lower limit.
#[derive(Clone, Debug)]
pub(super) struct LimitControl {
    limit: f64,
    base: Option<Base>,
    normal: NormalFailures,
    cuts: Option<CutSeries>,
    /// Limit above which the target recently failed calls.
    ceiling: Option<Ceiling>,
    /// Whether the previous window was congested.
    congested: bool,
    /// Limit to restore after a probe, while one is running.
    limit_before_probe: Option<f64>,
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
            limit_before_probe: None,
        }
    }

    pub(super) fn get(&self) -> f64 {
        self.limit
    }

    /// Adjusts the limit after a window.
    pub(super) fn update(&mut self, cfg: &AdmissionConfig, summary: WindowSummary, now: Instant) {
        let overshoot = self.normal.overshoot(cfg, self.limit, &summary);
        let used = f64::from(summary.peak) >= self.limit.floor() * USED_SHARE;
        if let Some(overshoot) = overshoot {
            self.cut_to_accepted(cfg, &summary, overshoot, now);
            return;
        }
        self.evaluate_failure_series(cfg, &summary);
        let Some(times) = summary.times else {
            return;
        };
        if let Some(limit) = self.limit_before_probe.take() {
            self.base = Some(Base {
                seconds: times.mean,
                confirmed: now,
            });
            self.limit = limit;
            return;
        }
        let base = self.update_base(&times, now);
        if !used {
            self.end_series(now);
            self.replace_expired_base(cfg, times.mean, now);
            return;
        }
        let ratio = cfg.tolerance * base
            / (times.mean - SIGNIFICANT_ERRORS * times.error).max(f64::EPSILON);
        let congested_before = self.congested;
        self.congested = ratio < 1.0;
        if self.congested && !congested_before {
            // The load may have been rising during this window. As a reference for a series of cuts, it would make the
            // cuts look ineffective at the onset of every surge, and the limit would stay too high.
            return;
        }
        if self.congested {
            let current = CutSeries {
                limit: self.limit,
                used: self.limit,
                seconds: times.mean,
                failed: summary.failed,
                by_failures: false,
            };
            self.cut(cfg, self.limit * cut_factor(cfg, ratio), current);
            return;
        }
        self.end_series(now);
        if now.saturating_duration_since(self.base_confirmed(now)) >= cfg.base_lifetime {
            self.limit_before_probe = Some(self.limit);
            self.scale(cfg, PROBE_SHARE / cfg.tolerance);
            return;
        }
        self.grow(cfg, now);
    }

    /// Reverts a series of cuts because of failures if the failures persist but are within the normal share by now.
    fn evaluate_failure_series(&mut self, cfg: &AdmissionConfig, summary: &WindowSummary) {
        let Some(before) = self.cuts.filter(|cuts| cuts.by_failures) else {
            return;
        };
        let current = CutSeries {
            failed: summary.failed,
            ..before
        };
        if before.is_ineffective(&current) {
            self.revert(cfg, before, current);
        }
    }

    /// Ends a series of cuts after a window without congestion.
    ///
    /// A series because of failures lasts as long as its ceiling. Otherwise, a window with few failures by chance would
    /// start a new series from the lower limit, and failures of another cause would gradually and permanently reduce
    /// the limit.
    fn end_series(&mut self, now: Instant) {
        let by_failures = self.cuts.is_some_and(|cuts| cuts.by_failures);
        let held = self.ceiling.is_some_and(|ceiling| now < ceiling.until);
        if !(by_failures && held) {
            self.cuts = None;
        }
    }

    /// Cuts the limit to the number of calls that the target accepts.
    ///
    /// A target that sheds load by itself ignores classes: above its slots it fails calls of any class. It responds
    /// immediately, so the calls in flight never reach a limit far above its slots, nothing is queued here, and service
    /// times don't rise. Without further measures the limit would grow again in every second window. So the number of
    /// accepted calls is kept as a ceiling for `base_lifetime`.
    fn cut_to_accepted(
        &mut self,
        cfg: &AdmissionConfig,
        summary: &WindowSummary,
        overshoot: Overshoot,
        now: Instant,
    ) {
        // As with service times, the load may have been rising during the first window of a large overshoot.
        let large = summary.failed - self.normal.share > LARGE_OVERSHOOT;
        if !std::mem::replace(&mut self.congested, true) && large {
            return;
        }
        let seconds = summary.times.map_or(0.0, |times| times.mean);
        let current = CutSeries {
            limit: self.limit,
            used: overshoot.used,
            seconds,
            failed: summary.failed,
            by_failures: true,
        };
        let until = now + cfg.base_lifetime;
        self.ceiling = Some(Ceiling {
            limit: overshoot.accepted,
            until,
        });
        self.cut(
            cfg,
            overshoot
                .accepted
                .min(overshoot.used * MAX_FAILURE_CUT_FACTOR),
            current,
        );
    }

    /// Updates the base with the service times of a window and returns it.
    fn update_base(&mut self, times: &ServiceTimes, now: Instant) -> f64 {
        let base = self.base.get_or_insert(Base {
            seconds: times.mean,
            confirmed: now,
        });
        if times.mean <= base.seconds * BASE_CONFIRM_FACTOR {
            base.confirmed = now;
        }
        let upper_bound = times.mean + SIGNIFICANT_ERRORS * times.error;
        if upper_bound < base.seconds {
            base.seconds += (upper_bound - base.seconds) * BASE_WEIGHT;
        }
        base.seconds
    }

    fn base_confirmed(&self, now: Instant) -> Instant {
        self.base.map_or(now, |base| base.confirmed)
    }

    /// Replaces an expired base without a probe, as nothing queues at the target while the limit isn't reached.
    fn replace_expired_base(&mut self, cfg: &AdmissionConfig, seconds: f64, now: Instant) {
        if now.saturating_duration_since(self.base_confirmed(now)) >= cfg.base_lifetime {
            self.base = Some(Base {
                seconds,
                confirmed: now,
            });
        }
    }

    fn cut(&mut self, cfg: &AdmissionConfig, limit: f64, current: CutSeries) {
        let before = *self.cuts.get_or_insert(current);
        let evaluated = current.limit <= before.used * before.evaluation_share();
        if evaluated && before.is_ineffective(&current) {
            self.revert(cfg, before, current);
            return;
        }
        if evaluated {
            self.cuts = Some(current);
        }
        self.limit = limit;
        self.scale(cfg, 1.0);
        // At the minimum limit no further cut can be evaluated, and the limit would never recover.
        if self.limit >= current.limit {
            self.revert(cfg, before, current);
        }
    }

    /// Restores the limit before the cuts and makes the current failure share and service time the new normal.
    fn revert(&mut self, cfg: &AdmissionConfig, before: CutSeries, current: CutSeries) {
        self.limit = before.limit;
        self.cuts = None;
        self.normal.share = current.failed.min(before.failed);
        self.ceiling = None;
        if let Some(base) = &mut self.base {
            base.seconds = current
                .seconds
                .clamp(base.seconds, base.seconds * MAX_BASE_RISE);
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

/// Returns the factor of a cut because of long service times.
fn cut_factor(cfg: &AdmissionConfig, ratio: f64) -> f64 {
    match cfg.limit_rule {
        LimitRule::Aimd => AIMD_CUT_FACTOR,
        LimitRule::Gradient => ratio.clamp(MIN_GRADIENT_FACTOR, 1.0),
    }
}
