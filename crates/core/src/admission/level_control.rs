//! Moves the admission level of this node.

use std::time::{Duration, Instant};

use super::Level;
use crate::class::Class;

/// Weight of a window's arrivals in the demand of a class.
const DEMAND_WEIGHT: f64 = 0.5;

/// Weight of a window's served calls in their rate; their noise would else be taken for a loss of capacity.
const SERVED_WEIGHT: f64 = 0.25;

/// Least share of a class that counts when its demand is reckoned from its admitted part.
const MIN_SHARE: f64 = 0.1;

/// Factor per window by which the demand of a class that is shed as a whole is forgotten.
const DEMAND_FADE: f64 = 0.95;

/// Admitted demand after a window of overload, as a share of that before; DAGOR's 5 %.
const OVERLOAD_SHARE: f64 = 0.95;

/// Admitted demand after a window of overload, as a share of what was served: keeps the slots in use.
const SERVED_SHARE: f64 = 1.15;

/// Least admitted demand after a window of overload, as a share of what was served: the queue drains at this load, and
/// lower steps only add up to idle slots and calls shed in vain.
const DRAIN_SHARE: f64 = 0.95;

/// Growth of the admitted demand after the first calm window.
const GROWTH: f64 = 0.05;

/// Most growth per window.
const MAX_GROWTH: f64 = 0.5;

/// Least rise of the level's position after the first calm window.
const STEP: u16 = 4;

/// Most doublings of growth and step.
const MAX_DOUBLINGS: u32 = 6;

/// Share of refused calls (one in this many) from which a window counts as overloaded.
const REFUSED_ONE_IN: u32 = 20;

/// Windows without an arrival after which the level is open again.
const IDLE_WINDOWS: u32 = 20;

/// Counts arrivals by class and moves the level once a window.
///
/// As in DAGOR, the load to admit is computed from what was admitted and then turned into a threshold by the arrivals
/// per class. Three things differ. Overload is seen by a queue that did not empty within a window, as in CoDel, and by
/// refusals. The load to admit is capped by what the target served in the window, so that the level reaches the
/// capacity in a few windows at any surge. And the rise doubles from window to window while calm lasts.
#[derive(Clone, Debug)]
pub(super) struct LevelControl {
    level: Level,
    begun: Instant,
    window: Duration,
    offered: [u32; Class::COUNT],
    within: [u32; Class::COUNT],
    /// Calls per second of each class, wherever they were shed.
    demand: [f64; Class::COUNT],
    served: u32,
    /// Calls served per second, smoothed.
    served_rate: f64,
    refused: u32,
    /// Those of the highest class among them.
    refused_highest: u32,
    queue_was_empty: bool,
    calm_windows: u32,
    standing: bool,
}

impl LevelControl {
    pub(super) fn new(window: Duration, now: Instant) -> Self {
        Self {
            level: Level::OPEN,
            begun: now,
            window: window.max(Duration::from_millis(1)),
            offered: [0; Class::COUNT],
            within: [0; Class::COUNT],
            demand: [0.0; Class::COUNT],
            served: 0,
            served_rate: 0.0,
            refused: 0,
            refused_highest: 0,
            queue_was_empty: true,
            calm_windows: 0,
            standing: false,
        }
    }

    pub(super) fn level(&self) -> Level {
        self.level
    }

    /// Whether the queue stood over the whole last window.
    pub(super) fn standing(&self) -> bool {
        self.standing
    }

    /// When the current window ends.
    pub(super) fn window_end(&self) -> Instant {
        self.begun + self.window
    }

    pub(super) fn offered(&mut self, class: Class, bucket: u8) {
        let index = usize::from(class.min(Class::LOWEST).0);
        self.offered[index] += 1;
        self.within[index] += u32::from(self.level.admits(class, bucket));
    }

    pub(super) fn served(&mut self) {
        self.served += 1;
    }

    /// Counts a call that found no place although it was within the level.
    pub(super) fn refused(&mut self, class: Class) {
        self.refused += 1;
        self.refused_highest += u32::from(class == Class::HIGHEST);
    }

    pub(super) fn queue_empty(&mut self) {
        self.queue_was_empty = true;
    }

    /// Ends the window if it is over; true where the level fell.
    pub(super) fn advance(&mut self, queue_empty: bool, now: Instant) -> bool {
        let elapsed = now.saturating_duration_since(self.begun);
        if elapsed < self.window {
            return false;
        }
        let before = self.level;
        let windows = (elapsed.as_secs_f64() / self.window.as_secs_f64()) as u32;
        self.learn(elapsed.as_secs_f64());
        self.standing = !self.queue_was_empty;
        self.level = self.next_level(windows);
        self.reset(queue_empty, now);
        self.level < before
    }

    /// Takes the window's arrivals into the demand.
    fn learn(&mut self, seconds: f64) {
        for index in 0..Class::COUNT {
            let share = self.level.share_of(Class(index as u8));
            let offered = f64::from(self.offered[index]) / seconds;
            let within = f64::from(self.within[index]) / seconds;
            let demand = &mut self.demand[index];
            if share > 0.0 {
                let seen = (within / share).max(offered);
                *demand += (seen - *demand) * DEMAND_WEIGHT * share.max(MIN_SHARE);
            } else {
                *demand *= DEMAND_FADE;
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
        let refused = self.refused > 0 && self.refused * REFUSED_ONE_IN >= offered;
        if self.standing || refused {
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
        let admitted = self.admitted() * OVERLOAD_SHARE;
        let least = self.served_rate * DRAIN_SHARE;
        let most = self.served_rate * SERVED_SHARE;
        let level = self.level_for(admitted.clamp(least, most));
        level.max(self.lowest_next()).min(self.level)
    }

    /// The lowest level that may follow.
    ///
    /// Were the highest class shed in the window in which lower ones still start, calls of both would be judged by an
    /// estimate from before: one would see a bid refused and a lookup served at the same time. So the level stops above
    /// the highest class for one window, and goes on only if the queue has not sufficed for that class.
    fn lowest_next(&self) -> Level {
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
        let level = self.level_for(self.admitted() * (1.0 + growth));
        let above = Level::from_position(self.level.position().saturating_add(STEP * factor));
        level.max(above)
    }

    /// Demand per second that the level admits.
    fn admitted(&self) -> f64 {
        let admits =
            |(index, demand): (usize, &f64)| self.level.share_of(Class(index as u8)) * demand;
        self.demand.iter().enumerate().map(admits).sum()
    }

    /// The level that admits this much demand per second.
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
        self.begun = now;
        self.offered = [0; Class::COUNT];
        self.within = [0; Class::COUNT];
        self.served = 0;
        self.refused = 0;
        self.refused_highest = 0;
        self.queue_was_empty = queue_empty;
    }
}
