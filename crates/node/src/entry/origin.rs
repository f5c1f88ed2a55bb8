//! Whom a call comes from.

use std::time::Instant;

use coltsfootport_core::class::Class;
use coltsfootport_core::id::RequestId;
use smol_str::SmolStr;

use crate::gate::Parent;

/// Whom a call comes from, which decides its request, class and time.
#[derive(Clone, Debug)]
pub enum Origin {
    /// A caller outside the graph: a new request.
    Caller,
    /// This node's target without a context: a new request, counted.
    WithoutContext,
    /// This node's target on behalf of a call in flight.
    InFlight(Parent),
}

impl Origin {
    /// The request that the call belongs to.
    pub fn request(&self) -> RequestId {
        match self {
            Self::Caller | Self::WithoutContext => RequestId::random(),
            Self::InFlight(parent) => parent.request,
        }
    }

    /// The class: that of the request at its entry, whatever the service below says of the operation.
    pub fn class(&self, own: Class, own_name: SmolStr) -> NamedClass {
        match self {
            Self::Caller | Self::WithoutContext => NamedClass {
                class: own,
                name: own_name,
            },
            Self::InFlight(parent) => NamedClass {
                class: parent.class,
                name: parent.class_name.clone(),
            },
        }
    }

    /// The earlier of the call's own deadline and that of the call which it serves.
    pub fn deadline(&self, own: Instant) -> Instant {
        match self {
            Self::Caller | Self::WithoutContext => own,
            Self::InFlight(parent) => own.min(parent.deadline),
        }
    }

    /// Hops above the call.
    pub fn depth(&self) -> u8 {
        match self {
            Self::Caller | Self::WithoutContext => 0,
            Self::InFlight(parent) => parent.depth,
        }
    }
}

/// A class and its name.
#[derive(Clone, Debug)]
pub struct NamedClass {
    /// The class.
    pub class: Class,
    /// Its name in the document that gave it.
    pub name: SmolStr,
}
