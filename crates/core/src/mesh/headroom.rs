//! Detects targets whose service time rises near full concurrency.

use std::time::{Duration, Instant};

use crate::collections::Map;
use crate::mesh::RequestKind;

/// Estimates whether service times rise near full concurrency, and leaves a few slots free if they do.
///
/// Some targets take a third longer for every request once nearly all slots are in use. A queue in front of such a
/// target keeps it there for the whole overload, and its throughput is a quarter lower than with two slots fewer. Other
/// targets don't slow down, and a slot left free there only loses throughput.
#[derive(Clone, Debug, Default)]
pub struct Headroom {
    /// Mean service time of requests dispatched below the near-full threshold, by kind, in seconds.
    baseline: Map<RequestKind, f64>,
    /// Mean relative increase of the service time above the near-full threshold; 0 means no increase.
    slowdown: f64,
    /// Time up to which the slowdown estimate has been decayed.
    decayed_at: Option<Instant>,
}

/// Share of the slots in use from which a target counts as nearly full.
const NEARLY_FULL: f64 = 0.93;

/// Weight of a new sample in the moving averages. Single service times vary by more than half; averaging fifty of them
/// resolves a difference of a tenth.
const SAMPLE_WEIGHT: f64 = 0.02;

/// Minimum slowdown at which slots are left free: the gain must exceed the throughput of the free slots, about a tenth.
const MIN_SLOWDOWN: f64 = 0.15;

/// Half-life of the slowdown estimate. No slowdown can be observed while slots are left free, so the estimate decays
/// until all slots are used again and new samples confirm or refute it.
const HALF_LIFE: Duration = Duration::from_secs(10);

/// Maximum number of kinds tracked; bounds memory when routes are added and removed.
const MAX_KINDS: usize = 1024;

impl Headroom {
    /// Returns `true` if `running` is at or above the near-full threshold.
    pub fn is_nearly_full(running: u32, slots: u32) -> bool {
        f64::from(running) >= NEARLY_FULL * f64::from(slots)
    }

    /// Records the service time of a request, in seconds; `nearly_full` if it was dispatched at or above the near-full
    /// threshold.
    pub fn record(&mut self, kind: RequestKind, held: f64, nearly_full: bool, now: Instant) {
        if !nearly_full {
            if self.baseline.len() >= MAX_KINDS && !self.baseline.contains_key(&kind) {
                self.baseline.clear();
            }
            let mean = self.baseline.entry(kind).or_insert(held);
            *mean += SAMPLE_WEIGHT * (held - *mean);
            return;
        }
        let Some(baseline) = self.baseline.get(&kind).filter(|mean| **mean > 0.0) else {
            return;
        };
        let increase = held / baseline - 1.0;
        self.decay(now);
        self.slowdown += SAMPLE_WEIGHT * (increase - self.slowdown);
    }

    /// Number of slots that may be used at a time.
    pub fn limit(&mut self, slots: u32, now: Instant) -> u32 {
        self.decay(now);
        match self.slowdown >= MIN_SLOWDOWN {
            true => ((NEARLY_FULL * f64::from(slots)) as u32).max(1),
            false => slots,
        }
    }

    /// Decays the slowdown estimate to `now`.
    fn decay(&mut self, now: Instant) {
        let age = self.decayed_at.map(|at| now.saturating_duration_since(at));
        let half_lives = age.unwrap_or_default().as_secs_f64() / HALF_LIFE.as_secs_f64();
        self.slowdown *= 0.5_f64.powf(half_lives);
        self.decayed_at = Some(now);
    }
}
