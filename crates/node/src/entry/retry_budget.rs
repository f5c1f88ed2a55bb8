//! Retry allowance that an entry spends for a call.

use coltsfootport_core::admission::Level;
use coltsfootport_core::allowance::Allowance;
use coltsfootport_core::invariant::Invariant;

use crate::gate::{GateHandle, InFlightKey};

/// Retry allowance from which the retries of a call are taken.
///
/// A new request has an allowance of its own. A call of this node's target uses that of the call in flight on whose
/// behalf it is made. The gate holds that allowance, so that all calls made on behalf of one call share it.
#[derive(Debug)]
pub enum RetryBudget {
    /// Allowance of a new request.
    Own(Allowance),
    /// Allowance of a call in flight at this node, held by the gate.
    InFlight(GateHandle, InFlightKey),
}

impl RetryBudget {
    /// Withdraws the share granted to one attempt and returns it.
    pub async fn grant(&mut self) -> u16 {
        match self {
            Self::Own(allowance) => allowance.grant(),
            Self::InFlight(gate, key) => gate.grant_allowance(*key).await,
        }
    }

    /// Returns the unused rest of an attempt's share to the allowance.
    pub fn reclaim(&mut self, granted: u16, left: u16) -> Result<(), Invariant> {
        match self {
            Self::Own(allowance) => allowance.reclaim(granted, left),
            Self::InFlight(gate, key) => {
                gate.reclaim_allowance(*key, granted, left);
                Ok(())
            }
        }
    }

    /// Records the admission level reported from downstream, to be reported to callers of the operation being served.
    pub fn record_downstream_level(&self, level: Level) {
        if let Self::InFlight(gate, key) = self {
            gate.record_downstream_level(*key, level);
        }
    }

    /// Takes one retry from the allowance; returns false if none is left.
    pub async fn spend(&mut self) -> bool {
        match self {
            Self::Own(allowance) => allowance.spend(),
            Self::InFlight(gate, key) => gate.spend_retry(*key).await,
        }
    }
}
