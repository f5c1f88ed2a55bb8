//! Creation of tokens without a request to their home.

use std::time::Instant;

use uuid::Uuid;

use crate::collections::Map;
use crate::id::{Incarnation, NodeName, ServiceName};
use crate::once::{Tick, Token};

/// Divisor of the time since the last report of a home; yields the time by which its clock may lag behind this node's.
///
/// Allows for a drift of 1,000 parts per million, twice the 500 at which operating systems slew a clock.
const DRIFT_DIVISOR: u32 = 1_000;

/// Mints tokens from the last reported incarnation and time of each home.
#[derive(Clone, Debug, Default)]
pub struct Minter {
    homes: Map<NodeName, HomeClock>,
}

/// Last report of a home.
#[derive(Clone, Copy, Debug)]
struct HomeClock {
    incarnation: Incarnation,
    tick: Tick,
    /// Local time at which the report arrived.
    at: Instant,
}

impl Minter {
    /// Creates a minter that knows no home.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records the incarnation and time reported by `home`.
    ///
    /// The last received incarnation wins, because incarnations are random and have no order. If a delayed message
    /// restores an older incarnation, tokens are refused until the next report of the home, but no call runs twice.
    pub fn update_home(
        &mut self,
        home: NodeName,
        incarnation: Incarnation,
        tick: Tick,
        now: Instant,
    ) {
        let reported = HomeClock {
            incarnation,
            tick,
            at: now,
        };
        let clock = self.homes.entry(home).or_insert(reported);
        if clock.incarnation != incarnation || clock.tick < tick {
            *clock = reported;
        }
    }

    /// Removes a home that has left.
    pub fn forget(&mut self, home: &NodeName) {
        self.homes.remove(home);
    }

    /// Returns the incarnation of `home` that tokens are minted for, if it is known.
    pub fn incarnation(&self, home: &NodeName) -> Option<Incarnation> {
        self.homes.get(home).map(|clock| clock.incarnation)
    }

    /// Creates a token for one call of `service` at `home`, or returns `None` if that home is unknown.
    pub fn mint(&self, home: &NodeName, service: &ServiceName, now: Instant) -> Option<Token> {
        let clock = self.homes.get(home)?;
        Some(Token {
            id: Uuid::new_v4().as_u128(),
            service: service.clone(),
            home: home.clone(),
            incarnation: clock.incarnation,
            tick: clock.tick_at(now),
        })
    }
}

impl HomeClock {
    /// Estimates a lower bound of the home's time at `now`.
    ///
    /// If tokens carried the reported time itself, those for a home that has been silent for its retention would be
    /// refused as expired at first use. A wrong estimate can't make a call run twice: the tick of a token never
    /// changes, and the home checks the age of both the token and its record by it.
    fn tick_at(&self, now: Instant) -> Tick {
        let silence = now.saturating_duration_since(self.at);
        self.tick.after(silence - silence / DRIFT_DIVISOR)
    }
}
