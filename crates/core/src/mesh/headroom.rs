//! Detects targets whose service time rises near full concurrency.

use std::time::{Duration, Instant};

use crate::collections::Map;
use crate::mesh::RequestKind;

/// Learns whether service times rise near full concurrency, and keeps a few slots free then.
///
/// Some targets take a third longer for every request once nearly all slots are in use. A queue before them keeps them
/// there, so they do a quarter less than they could with two slots less, for as long as the overload lasts. Others don't
/// slow down, and a slot less is lost work.
#[derive(Clone, Debug, Default)]
pub struct Headroom {
    /// Mean time of requests that began with slots to spare, by kind, in seconds.
    roomy: Map<RequestKind, f64>,
    /// Time of requests that began with nearly all slots in use, as a multiple of the other, beyond 1.
    slowdown: f64,
    /// When the slowdown was last looked at.
    at: Option<Instant>,
}

/// Share of the slots from which a target counts as nearly full.
const NEARLY_FULL: f64 = 0.93;

/// Weight of the newest request. Times of single requests vary by more than half; the mean of fifty shows a tenth.
const NEWEST: f64 = 0.02;

/// Slowdown from which slots are left free: what a tenth of the slots brings must be more than they could do.
const WORTH_IT: f64 = 0.15;

/// Time in which a slowdown that is not seen any more, since slots are left free, counts for half. Then all slots are used
/// again for some requests, and show whether it is still so.
const HALF_LIFE: Duration = Duration::from_secs(10);

/// Kinds that are kept; bounds memory where routes come and go.
const MOST_KINDS: usize = 1024;

impl Headroom {
    /// True if `running` is at or above the near-full threshold.
    pub fn is_nearly_full(running: u32, slots: u32) -> bool {
        f64::from(running) >= NEARLY_FULL * f64::from(slots)
    }

    /// Takes in the service time of a request, in seconds; `full` if it was dispatched above the near-full threshold.
    pub fn learn(&mut self, kind: RequestKind, held: f64, full: bool, now: Instant) {
        if !full {
            if self.roomy.len() >= MOST_KINDS && !self.roomy.contains_key(&kind) {
                self.roomy.clear();
            }
            let mean = self.roomy.entry(kind).or_insert(held);
            *mean += NEWEST * (held - *mean);
            return;
        }
        let Some(roomy) = self.roomy.get(&kind).filter(|mean| **mean > 0.0) else {
            return;
        };
        let beyond = held / roomy - 1.0;
        self.forget(now);
        self.slowdown += NEWEST * (beyond - self.slowdown);
    }

    /// Slots that may be used at a time.
    pub fn limit(&mut self, slots: u32, now: Instant) -> u32 {
        self.forget(now);
        match self.slowdown >= WORTH_IT {
            true => ((NEARLY_FULL * f64::from(slots)) as u32).max(1),
            false => slots,
        }
    }

    /// Decays the slowdown estimate to `now`.
    fn forget(&mut self, now: Instant) {
        let age = self.at.map(|at| now.saturating_duration_since(at));
        let halves = age.unwrap_or_default().as_secs_f64() / HALF_LIFE.as_secs_f64();
        self.slowdown *= 0.5_f64.powf(halves);
        self.at = Some(now);
    }
}
