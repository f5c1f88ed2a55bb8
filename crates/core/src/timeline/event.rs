//! Timeline events.

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::class::Class;
use crate::error_kind::ErrorKind;
use crate::id::{NodeName, ServiceName};
use crate::invariant::Invariant;

use super::event_kind::EventKind;
use super::serde_labels;

/// Event at a node, with the fields needed to understand it.
///
/// `attempt` is the number of times that the current hop has sent the request, starting at 1. `allowance` is the number
/// of retries left. `elapsed_us` is the time in microseconds since the node received the request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
#[allow(missing_docs)] // Common fields are documented above, variants below.
pub enum Event {
    /// A request arrived from a caller, the node's own target or a peer. `depth` is 0 at the entry.
    Received {
        service: ServiceName,
        class: Class,
        depth: u8,
        allowance: u16,
    },
    /// The node of a target was selected for an attempt.
    Routed {
        service: ServiceName,
        peer: NodeName,
        attempt: u16,
    },
    /// An attempt was passed to the connection to a peer.
    Sent { peer: NodeName, attempt: u16 },
    /// Admission control accepted the request.
    Admitted { class: Class, elapsed_us: u64 },
    /// The request was queued for a slot behind `ahead` other requests.
    Queued { class: Class, ahead: u32 },
    /// Admission control rejected the request due to overload. `level` is the admission level.
    Shed {
        service: ServiceName,
        class: Class,
        level: u16,
    },
    /// The node starts sending the request to the target.
    Dispatched { attempt: u16, elapsed_us: u64 },
    /// The complete answer was returned to the sender of the request.
    Answered {
        status: u16,
        elapsed_us: u64,
        allowance: u16,
    },
    /// The request is retried after `error`.
    Retried {
        #[serde(with = "serde_labels::error_kind")]
        error: ErrorKind,
        attempt: u16,
        allowance: u16,
    },
    /// The sender of the request disconnected or cancelled it.
    Cancelled { elapsed_us: u64 },
    /// The connection to the peer was lost before the answer was complete.
    Lost {
        peer: NodeName,
        attempt: u16,
        elapsed_us: u64,
    },
    /// The node answered the request with an error of its own.
    Refused {
        #[serde(with = "serde_labels::error_kind")]
        error: ErrorKind,
        elapsed_us: u64,
    },
    /// Tokens were issued to a caller.
    TokenMinted { service: ServiceName, count: u32 },
    /// A repeated token was answered with the stored answer.
    TokenReplayed { attempt: u16 },
    /// A repeated token waits for the call with the same token that is already running.
    TokenJoined { attempt: u16 },
    /// All attempts of a token up to `attempt` were permanently refused.
    TokenBurned { attempt: u16 },
    /// A document became active.
    DocumentInForce { service: ServiceName, revision: u64 },
    /// A document was rejected, and the previous one stays active.
    DocumentRejected {
        service: ServiceName,
        revision: u64,
        fault: SmolStr,
    },
    /// The node entered a lifecycle phase.
    Phase { phase: SmolStr },
    /// A peer became reachable.
    PeerUp { peer: NodeName },
    /// A peer became unreachable.
    PeerDown { peer: NodeName },
    /// A peer is shutting down and accepts no new work.
    PeerLeaving { peer: NodeName },
    /// This node started to read from the platform on behalf of its failure domain.
    ReaderBecame,
    /// This node stopped reading from the platform on behalf of its failure domain.
    ReaderCeased,
    /// An invariant was violated, which is a bug in coltsfootport.
    InvariantBreached {
        #[serde(with = "serde_labels::invariant")]
        invariant: Invariant,
    },
    /// A setting is questionable but accepted.
    SettingsWarning { text: SmolStr },
}

impl Event {
    /// Returns the kind of this event.
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
