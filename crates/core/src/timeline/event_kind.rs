//! Kinds of timeline events.

use std::fmt;
use std::str::FromStr;

/// Kind of an [`Event`](super::Event), without its fields.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
#[allow(missing_docs)] // Each kind is documented at the event of the same name.
pub enum EventKind {
    Received,
    Routed,
    Sent,
    Admitted,
    Queued,
    Shed,
    Dispatched,
    Answered,
    Retried,
    Cancelled,
    Lost,
    Refused,
    TokenMinted,
    TokenReplayed,
    TokenJoined,
    TokenBurned,
    DocumentInForce,
    DocumentRejected,
    Phase,
    PeerUp,
    PeerDown,
    PeerLeaving,
    ReaderBecame,
    ReaderCeased,
    InvariantBreached,
    SettingsWarning,
}

/// Error of parsing an unknown event kind.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("unknown event kind")]
pub struct ParseEventKindError;

impl EventKind {
    /// All kinds.
    pub const ALL: [Self; 26] = [
        Self::Received,
        Self::Routed,
        Self::Sent,
        Self::Admitted,
        Self::Queued,
        Self::Shed,
        Self::Dispatched,
        Self::Answered,
        Self::Retried,
        Self::Cancelled,
        Self::Lost,
        Self::Refused,
        Self::TokenMinted,
        Self::TokenReplayed,
        Self::TokenJoined,
        Self::TokenBurned,
        Self::DocumentInForce,
        Self::DocumentRejected,
        Self::Phase,
        Self::PeerUp,
        Self::PeerDown,
        Self::PeerLeaving,
        Self::ReaderBecame,
        Self::ReaderCeased,
        Self::InvariantBreached,
        Self::SettingsWarning,
    ];

    /// Returns the name used in JSON, filters and rendered records.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Received => "received",
            Self::Routed => "routed",
            Self::Sent => "sent",
            Self::Admitted => "admitted",
            Self::Queued => "queued",
            Self::Shed => "shed",
            Self::Dispatched => "dispatched",
            Self::Answered => "answered",
            Self::Retried => "retried",
            Self::Cancelled => "cancelled",
            Self::Lost => "lost",
            Self::Refused => "refused",
            Self::TokenMinted => "token_minted",
            Self::TokenReplayed => "token_replayed",
            Self::TokenJoined => "token_joined",
            Self::TokenBurned => "token_burned",
            Self::DocumentInForce => "document_in_force",
            Self::DocumentRejected => "document_rejected",
            Self::Phase => "phase",
            Self::PeerUp => "peer_up",
            Self::PeerDown => "peer_down",
            Self::PeerLeaving => "peer_leaving",
            Self::ReaderBecame => "reader_became",
            Self::ReaderCeased => "reader_ceased",
            Self::InvariantBreached => "invariant_breached",
            Self::SettingsWarning => "settings_warning",
        }
    }
}

impl fmt::Display for EventKind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

impl FromStr for EventKind {
    type Err = ParseEventKindError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        Self::ALL
            .into_iter()
            .find(|kind| kind.as_str() == text)
            .ok_or(ParseEventKindError)
    }
}
