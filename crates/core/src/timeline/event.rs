//! The closed list of events.

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::class::Class;
use crate::error_kind::ErrorKind;
use crate::id::{NodeName, ServiceName};
use crate::invariant::Invariant;

use super::event_kind::EventKind;
use super::label;

/// Something that happened at a node, with the few fields that explain it.
///
/// `attempt` counts the sendings of a request by one hop from 1, `allowance` is the number of retries left, and
/// `elapsed_us` is the time in microseconds since the node received the request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
#[allow(missing_docs)] // The fields' names are explained above and their variants below.
pub enum Event {
    /// A request arrived from a caller, from the own target or from a peer; `depth` is 0 at the entry.
    Received {
        service: ServiceName,
        class: Class,
        depth: u8,
        allowance: u16,
    },
    /// A target's node was chosen for an attempt.
    Routed {
        service: ServiceName,
        peer: NodeName,
        attempt: u16,
    },
    /// An attempt was handed to the connection to a peer.
    Sent { peer: NodeName, attempt: u16 },
    /// Admission let the request through.
    Admitted { class: Class, elapsed_us: u64 },
    /// The request waits for a slot behind `ahead` others.
    Queued { class: Class, ahead: u32 },
    /// Admission refused the request under overload, at this admission level.
    Shed {
        service: ServiceName,
        class: Class,
        level: u16,
    },
    /// The request's first byte goes to the target.
    Dispatched { attempt: u16, elapsed_us: u64 },
    /// A whole answer went back to whoever sent the request.
    Answered {
        status: u16,
        elapsed_us: u64,
        allowance: u16,
    },
    /// The request is sent again after this error.
    Retried {
        #[serde(with = "label::error_kind")]
        error: ErrorKind,
        attempt: u16,
        allowance: u16,
    },
    /// Whoever sent the request went away or cancelled it.
    Cancelled { elapsed_us: u64 },
    /// Contact to the peer was lost before the answer was whole.
    Lost {
        peer: NodeName,
        attempt: u16,
        elapsed_us: u64,
    },
    /// The node itself answered with an error.
    Refused {
        #[serde(with = "label::error_kind")]
        error: ErrorKind,
        elapsed_us: u64,
    },
    /// Tokens were handed to a caller.
    TokenMinted { service: ServiceName, count: u32 },
    /// A stored answer was given again to a repeated token.
    TokenReplayed { attempt: u16 },
    /// A repeated token waits for the running call of the same token.
    TokenJoined { attempt: u16 },
    /// All sendings of a token up to `attempt` were refused for good.
    TokenBurned { attempt: u16 },
    /// A document came into force.
    DocumentInForce { service: ServiceName, revision: u64 },
    /// A document was rejected and the former one stays in force.
    DocumentRejected {
        service: ServiceName,
        revision: u64,
        fault: SmolStr,
    },
    /// The node entered a phase of its lifecycle.
    Phase { phase: SmolStr },
    /// A peer can be reached.
    PeerUp { peer: NodeName },
    /// A peer can't be reached any more.
    PeerDown { peer: NodeName },
    /// A peer is leaving and takes no new work.
    PeerLeaving { peer: NodeName },
    /// This node reads the platform for its failure domain from now on.
    ReaderBecame,
    /// This node no longer reads the platform for its failure domain.
    ReaderCeased,
    /// An invariant does not hold: a defect of coltsfootport.
    InvariantBreached {
        #[serde(with = "label::invariant")]
        invariant: Invariant,
    },
    /// A setting is questionable, though the node runs with it.
    SettingsWarning { text: SmolStr },
}

impl Event {
    /// The kind of this event.
    pub const fn kind(&self) -> EventKind {
        match self {
            Self::Received { .. } => EventKind::Received,
            Self::Routed { .. } => EventKind::Routed,
            Self::Sent { .. } => EventKind::Sent,
            Self::Admitted { .. } => EventKind::Admitted,
            Self::Queued { .. } => EventKind::Queued,
            Self::Shed { .. } => EventKind::Shed,
            Self::Dispatched { .. } => EventKind::Dispatched,
            Self::Answered { .. } => EventKind::Answered,
            Self::Retried { .. } => EventKind::Retried,
            Self::Cancelled { .. } => EventKind::Cancelled,
            Self::Lost { .. } => EventKind::Lost,
            Self::Refused { .. } => EventKind::Refused,
            Self::TokenMinted { .. } => EventKind::TokenMinted,
            Self::TokenReplayed { .. } => EventKind::TokenReplayed,
            Self::TokenJoined { .. } => EventKind::TokenJoined,
            Self::TokenBurned { .. } => EventKind::TokenBurned,
            Self::DocumentInForce { .. } => EventKind::DocumentInForce,
            Self::DocumentRejected { .. } => EventKind::DocumentRejected,
            Self::Phase { .. } => EventKind::Phase,
            Self::PeerUp { .. } => EventKind::PeerUp,
            Self::PeerDown { .. } => EventKind::PeerDown,
            Self::PeerLeaving { .. } => EventKind::PeerLeaving,
            Self::ReaderBecame => EventKind::ReaderBecame,
            Self::ReaderCeased => EventKind::ReaderCeased,
            Self::InvariantBreached { .. } => EventKind::InvariantBreached,
            Self::SettingsWarning { .. } => EventKind::SettingsWarning,
        }
    }
}
