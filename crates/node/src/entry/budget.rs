//! Where an entry takes retries from.

use coltsfootport_core::admission::Level;
use coltsfootport_core::allowance::Allowance;
use coltsfootport_core::invariant::Invariant;

use crate::gate::{GateHandle, InFlightKey};

/// The retry allowance that pays for a call.
///
/// A request from outside brings its own. A call of this node's target draws on the call in flight that it serves, whose
/// allowance stays at the gate, so that many calls of one target share it.
#[derive(Debug)]
pub enum Budget {
    /// The allowance of a new request.
    Own(Allowance),
    /// The allowance of a call in flight at this node.
    Flight(GateHandle, InFlightKey),
}

impl Budget {
    /// Takes out the part for one attempt.
    pub async fn grant(&mut self) -> u16 {
        match self {
            Self::Own(allowance) => allowance.grant(),
            Self::Flight(gate, key) => gate.grant_allowance(*key).await,
        }
    }

    /// Takes back what an attempt left of its part.
    pub fn give_back(&mut self, granted: u16, left: u16) -> Result<(), Invariant> {
        match self {
            Self::Own(allowance) => allowance.reclaim(granted, left),
            Self::Flight(gate, key) => {
                gate.reclaim_allowance(*key, granted, left);
                Ok(())
            }
        }
    }

    /// Notes the admission level below the call, for callers of the operation that it serves.
    pub fn level_below(&self, level: Level) {
        if let Self::Flight(gate, key) = self {
            gate.record_downstream_level(*key, level);
        }
    }

    /// Takes out one retry; false where none is left.
    pub async fn spend(&mut self) -> bool {
        match self {
            Self::Own(allowance) => allowance.spend(),
            Self::Flight(gate, key) => gate.spend_retry(*key).await,
        }
    }
}
