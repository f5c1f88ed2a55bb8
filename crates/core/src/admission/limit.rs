//! The learnt concurrency limit.

use std::time::{Duration, Instant};

use super::config::{AdmissionConfig, LimitRule};
use super::window::Seen;

/// Smallest factor of one cut by the gradient rule.
const GRADIENT_FLOOR: f64 = 0.7;

/// Factor of one cut by the AIMD rule, and of a cut for failures.
const CUT: f64 = 0.9;

/// Share of the limit that must have been in use for a window to say anything about the limit.
const USED_SHARE: f64 = 0.9;

/// A series of cuts down to this share of its first limit must shorten service times.
const JUDGED_SHARE: f64 = 0.8;

/// Service time after such a series, as a share of that before, from which the series counts as useless.
const NOT_SHORTENED: f64 = 0.92;

/// Weight of a shorter service time in the uncongested one.
const BASE_WEIGHT: f64 = 0.3;

/// A service time within this factor of the uncongested one confirms it.
const BASE_CONFIRMED: f64 = 1.05;

/// Limit of a window that measures the uncongested service time, as a share of the limit over the tolerance.
const PROBE_SHARE: f64 = 0.8;

/// Moves the limit at the end of each window.
///
/// Service times above `tolerance` times the uncongested one count as queueing inside the target. Two guards keep this
/// from misleading. A deep service that slows down lengthens service times here although nothing queues here, and cutting
/// the limit would cost throughput: one would see the limit at its minimum and an idle target. So a series of cuts that
/// doesn't shorten service times is taken back, and the longer time becomes the uncongested one. The other way round,
/// under lasting congestion the uncongested time would be forgotten and the limit creep upwards with every lifetime of the
/// base: so one window in each lifetime runs at a lower limit and measures it again.
#[derive(Clone, Debug)]
pub(super) struct LimitControl {
    limit: f64,
    base: Option<Base>,
    cuts: Option<Cuts>,
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
}

impl LimitControl {
    pub(super) fn new(cfg: &AdmissionConfig) -> Self {
        let limit = f64::from(cfg.initial_limit);
        Self {
            limit,
            base: None,
            cuts: None,
            probed_from: None,
        }
    }

    pub(super) fn get(&self) -> f64 {
        self.limit
    }

    /// Moves the limit by what a window has shown.
    pub(super) fn update(&mut self, cfg: &AdmissionConfig, seen: Seen, now: Instant) {
        let failing = seen.failed > cfg.failure_share;
        let used = f64::from(seen.peak) >= self.limit * USED_SHARE;
        let Some(seconds) = seen.median.as_ref().map(Duration::as_secs_f64) else {
            self.scale(cfg, if failing && used { CUT } else { 1.0 });
            return;
        };
        if let Some(limit) = self.probed_from.take() {
            self.base = Some(Base {
                seconds,
                confirmed: now,
            });
            self.limit = limit;
            return;
        }
        let base = self.confirm(seconds, now);
        if !used {
            self.cuts = None;
            self.forget_base(cfg, seconds, now);
            return;
        }
        let ratio = cfg.tolerance * base / seconds.max(f64::EPSILON);
        if ratio < 1.0 || failing {
            self.cut(cfg, ratio, failing, seconds, now);
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

    /// Takes a service time into the uncongested one, which is returned.
    fn confirm(&mut self, seconds: f64, now: Instant) -> f64 {
        let base = self.base.get_or_insert(Base {
            seconds,
            confirmed: now,
        });
        if seconds <= base.seconds * BASE_CONFIRMED {
            base.confirmed = now;
        }
        if seconds < base.seconds {
            base.seconds += (seconds - base.seconds) * BASE_WEIGHT;
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

    fn cut(
        &mut self,
        cfg: &AdmissionConfig,
        ratio: f64,
        failing: bool,
        seconds: f64,
        now: Instant,
    ) {
        let before = *self.cuts.get_or_insert(Cuts {
            limit: self.limit,
            seconds,
        });
        let judged = self.limit <= before.limit * JUDGED_SHARE;
        if judged && !failing && seconds > before.seconds * NOT_SHORTENED {
            self.limit = before.limit;
            self.cuts = None;
            self.base = Some(Base {
                seconds,
                confirmed: now,
            });
            return;
        }
        if judged {
            self.cuts = Some(Cuts {
                limit: self.limit,
                seconds,
            });
        }
        let factor = match cfg.limit_rule {
            LimitRule::Aimd => CUT,
            LimitRule::Gradient if failing => ratio.clamp(GRADIENT_FLOOR, CUT),
            LimitRule::Gradient => ratio.clamp(GRADIENT_FLOOR, 1.0),
        };
        self.scale(cfg, factor);
    }

    fn grow(&mut self, cfg: &AdmissionConfig) {
        let step = match cfg.limit_rule {
            LimitRule::Aimd => 1.0,
            LimitRule::Gradient => self.limit.sqrt(),
        };
        self.limit = (self.limit + step).min(f64::from(cfg.max_limit));
    }

    fn scale(&mut self, cfg: &AdmissionConfig, factor: f64) {
        self.limit = (self.limit * factor).max(f64::from(cfg.min_limit.max(1)));
    }
}
