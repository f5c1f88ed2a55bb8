//! Adjusts the admission level of this node.

use std::time::{Duration, Instant};

use super::Level;
use crate::class::Class;

/// Weight of the latest window in the demand of a class.
const DEMAND_WEIGHT: f64 = 0.5;

/// Weight of the latest window in the served rate. A low weight keeps noise from being mistaken for lost capacity.
const SERVED_WEIGHT: f64 = 0.25;

/// Lower bound of the admitted share as a weight when the demand of a class is extrapolated from its admitted part.
const MIN_ADMITTED_SHARE: f64 = 0.1;

/// Decay factor per window of the demand of a class that is shed completely.
const DEMAND_DECAY: f64 = 0.95;

/// Admitted demand after an overloaded window, relative to the previous one; 5 % less, as in DAGOR.
const OVERLOAD_SHARE: f64 = 0.95;

/// Upper bound of the admitted demand after an overloaded window, relative to the served rate; keeps the slots in use.
const MAX_SERVED_SHARE: f64 = 1.15;

/// Lower bound of the admitted demand after an overloaded window, relative to the served rate. The queue drains at this
/// load; lower values would accumulate over windows into idle slots and needless shedding.
const MIN_SERVED_SHARE: f64 = 0.95;

/// Growth of the admitted demand after the first window without overload.
const GROWTH: f64 = 0.05;

/// Maximum growth per window.
const MAX_GROWTH: f64 = 0.5;

/// Minimum rise of the level's position after the first window without overload.
const MIN_RISE: u16 = 4;

/// Maximum number of doublings of the growth and the minimum rise.
const MAX_DOUBLINGS: u32 = 6;

/// A window counts as overloaded if at least one in this many offered calls was refused.
const OVERLOAD_REFUSAL_DIVISOR: u32 = 20;

/// Number of windows without an arrival after which the level is opened.
const IDLE_WINDOWS: u32 = 20;

/// Counts arrivals per class and adjusts the level once per window.
///
/// As in DAGOR, the load to admit is derived from the previously admitted load and converted into a threshold with the
/// demand per class. There are three differences:
///
/// - Overload is detected by refusals and, as in CoDel, by a queue that was never empty during a window.
/// - The load to admit is bounded by the served rate, so that the level reaches the capacity within a few windows
///   regardless of the size of the surge.
/// - The rise doubles with every further window without overload.
#[derive(Clone, Debug)]
pub(super) struct LevelControl {
    level: Level,
    window_started: Instant,
    window: Duration,
    /// Calls offered in this window, per class.
    offered: [u32; Class::COUNT],
    /// Calls offered in this window that were within the level, per class.
    within_level: [u32; Class::COUNT],
    /// Estimated calls per second of each class, including calls shed upstream.
    demand: [f64; Class::COUNT],
    served: u32,
    /// Moving average of the calls served per second.
    served_rate: f64,
    refused: u32,
    /// Refused calls of the highest class.
    refused_highest: u32,
    queue_was_empty: bool,
    calm_windows: u32,
    queue_standing: bool,
}

impl LevelControl {
    pub(super) fn new(window: Duration, now: Instant) -> Self {
        Self {
            level: Level::OPEN,
            window_started: now,
            window: window.max(Duration::from_millis(1)),
            offered: [0; Class::COUNT],
            within_level: [0; Class::COUNT],
            demand: [0.0; Class::COUNT],
            served: 0,
            served_rate: 0.0,
            refused: 0,
            refused_highest: 0,
            queue_was_empty: true,
            calm_windows: 0,
            queue_standing: false,
        }
    }

    pub(super) fn level(&self) -> Level {
        self.level
    }

    /// Returns whether the queue was never empty during the last window.
    pub(super) fn queue_standing(&self) -> bool {
        self.queue_standing
    }

    /// Returns the end of the current window.
    pub(super) fn window_end(&self) -> Instant {
        self.window_started + self.window
    }

    pub(super) fn record_offer(&mut self, class: Class, bucket: u8) {
        let index = usize::from(class.min(Class::LOWEST).0);
        self.offered[index] += 1;
        self.within_level[index] += u32::from(self.level.admits(class, bucket));
    }

    pub(super) fn record_served(&mut self) {
        self.served += 1;
    }

    /// Records a call that was within the level but was refused for lack of queue space or time.
    pub(super) fn record_refusal(&mut self, class: Class) {
        self.refused += 1;
        self.refused_highest += u32::from(class == Class::HIGHEST);
    }

    pub(super) fn record_empty_queue(&mut self) {
        self.queue_was_empty = true;
    }

    /// Closes the window if it has elapsed. Returns whether the level was lowered.
    pub(super) fn advance(&mut self, queue_empty: bool, now: Instant) -> bool {
        let elapsed = now.saturating_duration_since(self.window_started);
        if elapsed < self.window {
            return false;
        }
        let before = self.level;
        let windows = (elapsed.as_secs_f64() / self.window.as_secs_f64()) as u32;
        self.update_demand(elapsed.as_secs_f64());
        self.queue_standing = !self.queue_was_empty;
        self.level = self.next_level(windows);
        self.reset(queue_empty, now);
        self.level < before
    }

    /// Updates the demand and the served rate with the counts of the window.
    fn update_demand(&mut self, seconds: f64) {
        for index in 0..Class::COUNT {
            let share = self.level.share_of(Class(index as u8));
            let offered = f64::from(self.offered[index]) / seconds;
            let within_level = f64::from(self.within_level[index]) / seconds;
            let demand = &mut self.demand[index];
            if share > 0.0 {
                let extrapolated = (within_level / share).max(offered);
                *demand += (extrapolated - *demand) * DEMAND_WEIGHT * share.max(MIN_ADMITTED_SHARE);
            } else {
                *demand *= DEMAND_DECAY;
            }
            *demand = demand.max(offered * DEMAND_WEIGHT);
        }
        let served = f64::from(self.served) / seconds;
        let before = if self.served_rate == 0.0 {
            served
        } else {
            self.served_rate
        };
        self.served_rate = before + (served - before) * SERVED_WEIGHT;
    }

    fn next_level(&mut self, windows: u32) -> Level {
        let offered = self.offered.iter().sum::<u32>();
        let refused = self.refused > 0 && self.refused * OVERLOAD_REFUSAL_DIVISOR >= offered;
        if self.queue_standing || refused {
            self.calm_windows = 0;
            return self.lowered();
        }
        if self.level == Level::OPEN || (offered == 0 && windows >= IDLE_WINDOWS) {
            return Level::OPEN;
        }
        let doublings = self.calm_windows.min(MAX_DOUBLINGS);
        self.calm_windows += 1;
        self.raised(doublings)
    }

    fn lowered(&self) -> Level {
        let admitted = self.admitted_demand() * OVERLOAD_SHARE;
        let least = self.served_rate * MIN_SERVED_SHARE;
        let most = self.served_rate * MAX_SERVED_SHARE;
        let level = self.level_for(admitted.clamp(least, most));
        level.max(self.lowest_next_level()).min(self.level)
    }

    /// Returns the lowest level that the next window may have.
    ///
    /// If the level fell below the highest class while lower classes were still running, that class could be shed at
    /// the same time as a lower one is served. So the whole highest class stays admitted for at least one window, and
    /// the level falls further only if calls of that class were refused in it.
    fn lowest_next_level(&self) -> Level {
        if self.level.class == Class::HIGHEST && self.refused_highest > 0 {
            return Level::FLOOR;
        }
        Level {
            class: Class::HIGHEST,
            bucket: u8::MAX,
        }
    }

    fn raised(&self, doublings: u32) -> Level {
        let factor = 1u16 << doublings;
        let growth = (GROWTH * f64::from(factor)).min(MAX_GROWTH);
        let level = self.level_for(self.admitted_demand() * (1.0 + growth));
        let above = Level::from_position(self.level.position().saturating_add(MIN_RISE * factor));
        level.max(above)
    }

    /// Returns the demand per second that the level admits.
    fn admitted_demand(&self) -> f64 {
        let admits =
            |(index, demand): (usize, &f64)| self.level.share_of(Class(index as u8)) * demand;
        self.demand.iter().enumerate().map(admits).sum()
    }

    /// Returns the level that admits this demand per second.
    fn level_for(&self, rate: f64) -> Level {
        let mut left = rate;
        for (index, &demand) in self.demand.iter().enumerate() {
            if demand > left {
                let buckets = (left / demand * 256.0) as u16;
                return Level::from_position(index as u16 * 256 + buckets);
            }
            left -= demand;
        }
        Level::OPEN
    }

    fn reset(&mut self, queue_empty: bool, now: Instant) {
        self.window_started = now;
        self.offered = [0; Class::COUNT];
        self.within_level = [0; Class::COUNT];
        self.served = 0;
        self.refused = 0;
        self.refused_highest = 0;
        self.queue_was_empty = queue_empty;
    }
}
