//! Where an entry takes retries from.

use coltsfootport_core::admission::Level;
use coltsfootport_core::allowance::Allowance;
use coltsfootport_core::invariant::Invariant;

use crate::gate::{FlightKey, GateHandle};

/// The retry allowance that pays for a call.
///
/// A request from outside brings its own. A call of this node's target draws on the call in flight that it serves, whose
/// allowance stays at the gate, so that many calls of one target share it.
#[derive(Debug)]
pub enum RetryBudget {
    /// The allowance of a new request.
    Own(Allowance),
    /// The allowance of a call in flight at this node.
    InFlight(GateHandle, FlightKey),
}

impl RetryBudget {
    /// Takes out the part for one attempt.
    pub async fn grant(&mut self) -> u16 {
        match self {
            Self::Own(allowance) => allowance.grant(),
            Self::InFlight(gate, flight) => gate.grant(*flight).await,
        }
    }

    /// Takes back what an attempt left of its part.
    pub fn reclaim(&mut self, granted: u16, left: u16) -> Result<(), Invariant> {
        match self {
            Self::Own(allowance) => allowance.reclaim(granted, left),
            Self::InFlight(gate, flight) => {
                gate.give_back(*flight, granted, left);
                Ok(())
            }
        }
    }

    /// Notes the admission level below the call, for callers of the operation that it serves.
    pub fn record_downstream_level(&self, level: Level) {
        if let Self::InFlight(gate, flight) = self {
            gate.level_below(*flight, level);
        }
    }

    /// Takes out one retry; false where none is left.
    pub async fn spend(&mut self) -> bool {
        match self {
            Self::Own(allowance) => allowance.spend(),
            Self::InFlight(gate, flight) => gate.spend(*flight).await,
        }
    }
}
