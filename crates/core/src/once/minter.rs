//! Minting of tokens without a message to their home.

use uuid::Uuid;

use crate::collections::Map;
use crate::id::{Incarnation, NodeName, ServiceName};
use crate::once::{Tick, Token};

/// What an entry last heard of each home, from which it mints tokens.
#[derive(Clone, Debug, Default)]
pub struct Minter {
    homes: Map<NodeName, Heard>,
}

#[derive(Clone, Copy, Debug)]
struct Heard {
    incarnation: Incarnation,
    tick: Tick,
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
    pub fn heard(&mut self, home: NodeName, incarnation: Incarnation, tick: Tick) {
        let heard = self
            .homes
            .entry(home)
            .or_insert(Heard { incarnation, tick });
        if heard.incarnation == incarnation {
            heard.tick = heard.tick.max(tick);
            return;
        }
        *heard = Heard { incarnation, tick };
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
    pub fn mint(&self, home: &NodeName, service: &ServiceName) -> Option<Token> {
        let heard = self.homes.get(home)?;
        Some(Token {
            id: Uuid::new_v4().as_u128(),
            service: service.clone(),
            home: home.clone(),
            incarnation: heard.incarnation,
            tick: heard.tick,
        })
    }
}
