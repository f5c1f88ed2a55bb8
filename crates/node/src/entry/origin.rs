//! Origin of a call.

use std::time::Instant;

use coltsfootport_core::class::Class;
use coltsfootport_core::id::RequestId;
use smol_str::SmolStr;

use crate::gate::Parent;

/// Origin of a call, which determines its request id, class and deadline.
#[derive(Clone, Debug)]
pub enum Origin {
    /// A caller outside the call graph; the call starts a new request.
    Caller,
    /// This node's target, without a context; the call starts a new request and is counted in the metrics.
    WithoutContext,
    /// This node's target on behalf of a call in flight.
    InFlight(Parent),
}

impl Origin {
    /// Returns the id of the request to which the call belongs.
    pub fn request(&self) -> RequestId {
        match self {
            Self::Caller | Self::WithoutContext => RequestId::random(),
            Self::InFlight(parent) => parent.request,
        }
    }

    /// Returns the class of the call. A call on behalf of another one keeps the class that the request received at its
    /// entry, whatever class the document of the called service assigns to the operation.
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

    /// Returns the earlier of the call's own deadline and that of the call on whose behalf it is made.
    pub fn deadline(&self, own: Instant) -> Instant {
        match self {
            Self::Caller | Self::WithoutContext => own,
            Self::InFlight(parent) => own.min(parent.deadline),
        }
    }

    /// Returns the number of hops upstream of the call.
    pub fn depth(&self) -> u8 {
        match self {
            Self::Caller | Self::WithoutContext => 0,
            Self::InFlight(parent) => parent.depth,
        }
    }
}

/// Class of a call and its configured name.
#[derive(Clone, Debug)]
pub struct NamedClass {
    /// Rank used for shedding.
    pub class: Class,
    /// Name of the class in the document that defines it.
    pub name: SmolStr,
}
