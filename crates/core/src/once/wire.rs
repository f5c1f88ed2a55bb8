//! Serialised form of a token.

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::id::{Incarnation, NodeName, ServiceName};
use crate::once::{Tick, Token};

/// Fields of a [`Token`] in serialisation order.
#[derive(Serialize, Deserialize)]
pub(super) struct WireToken {
    id: u128,
    incarnation: u128,
    tick: u64,
    service: SmolStr,
    home: SmolStr,
}

impl From<&Token> for WireToken {
    fn from(token: &Token) -> Self {
        Self {
            id: token.id,
            incarnation: token.incarnation.0,
            tick: token.tick.0,
            service: token.service.0.clone(),
            home: token.home.0.clone(),
        }
    }
}

impl From<WireToken> for Token {
    fn from(wire: WireToken) -> Self {
        Self {
            id: wire.id,
            service: ServiceName(wire.service),
            home: NodeName(wire.home),
            incarnation: Incarnation(wire.incarnation),
            tick: Tick(wire.tick),
        }
    }
}
