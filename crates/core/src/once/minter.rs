//! Minting of tokens without a message to their home.

use std::time::Instant;

use uuid::Uuid;

use crate::collections::Map;
use crate::id::{Incarnation, NodeName, ServiceName};
use crate::once::{Tick, Token};

/// Share of the time since a home was heard by which its clock may run slower than this node's.
///
/// Twice the rate at which operating systems adjust a clock, 500 parts in a million.
const DRIFT_DIVISOR: u32 = 1_000;

/// What an entry last heard of each home, from which it mints tokens.
#[derive(Clone, Debug, Default)]
pub struct Minter {
    homes: Map<NodeName, Heard>,
}

#[derive(Clone, Copy, Debug)]
struct Heard {
    incarnation: Incarnation,
    tick: Tick,
    at: Instant,
}

impl Minter {
    /// A minter that has heard of no home.
    pub fn new() -> Self {
        Self::default()
    }

    /// Takes in the incarnation and time that `home` told itself.
    ///
    /// The last heard incarnation wins, as random identities have no order: one that is replaced by an older one that
    /// was under way for long costs refused tokens until the home is heard again, never a second run.
    pub fn heard(&mut self, home: NodeName, incarnation: Incarnation, tick: Tick, now: Instant) {
        let told = Heard {
            incarnation,
            tick,
            at: now,
        };
        let heard = self.homes.entry(home).or_insert(told);
        if heard.incarnation != incarnation || heard.tick < tick {
            *heard = told;
        }
    }

    /// Forgets a home that has left.
    pub fn forget(&mut self, home: &NodeName) {
        self.homes.remove(home);
    }

    /// The incarnation of `home` that tokens are minted for, if it was ever heard.
    pub fn incarnation(&self, home: &NodeName) -> Option<Incarnation> {
        self.homes.get(home).map(|heard| heard.incarnation)
    }

    /// A fresh token for one call of `service` at `home`, or none if that home was never heard.
    pub fn mint(&self, home: &NodeName, service: &ServiceName, now: Instant) -> Option<Token> {
        let heard = self.homes.get(home)?;
        Some(Token {
            id: Uuid::new_v4().as_u128(),
            service: service.clone(),
            home: home.clone(),
            incarnation: heard.incarnation,
            tick: heard.tick_at(now),
        })
    }
}

impl Heard {
    /// The home's time at `now`, as far as it has surely come.
    ///
    /// With the time that was heard alone, the tokens of a home that has been silent for its retention would be refused
    /// as expired at their first use. A wrong estimate can't make a call run twice: a token's tick never changes, and
    /// the home judges both the token and its record by it.
    fn tick_at(&self, now: Instant) -> Tick {
        let silence = now.saturating_duration_since(self.at);
        self.tick.after(silence - silence / DRIFT_DIVISOR)
    }
}
