//! Control traffic between nodes: greetings, refusals of tokens and published entries.

use std::sync::Arc;

use coltsfootport_core::dissemination::{Digest, Entry, Key, KeyVersion, Revision};
use coltsfootport_core::membership::{ListDelta, NodeState};
use coltsfootport_core::once::Token;
use coltsfootport_core::timeline::Stamp;
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use super::{HeaderFrame, ReportFrame};
use crate::data::HostReport;
use crate::metrics::ControlKind;

/// A control request; it has a lane of its own that overload does not shed.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum ControlRequest {
    /// Says who the sender is and asks the same; the first message of a connection.
    Greet(HelloFrame),
    /// Asks for any sign of life.
    Ping,
    /// Tells a changed state of the sender, as when it begins to leave.
    Announce(HelloFrame),
    /// Asks the home of a token to refuse all its tries up to a number for good.
    Refuse {
        /// The token.
        token: Token,
        /// Highest try to refuse.
        up_to: u32,
    },
    /// Compares what is published, as each side holds it.
    Digest(DigestFrame),
    /// Asks for every entry above a revision.
    PullSince(u64),
    /// Asks for single entries.
    PullKeys(Vec<SmolStr>),
    /// Says which versions the sender holds and asks for those of the receiver.
    Versions(Vec<VersionFrame>),
    /// Asks for the changes of the list of instances after a revision.
    PullList(u64),
    /// Tells of new entries.
    News(NewsFrame),
    /// Hands over entries that the receiver was seen to lack.
    Entries(Vec<EntryFrame>),
    /// Passes on what nodes told about themselves.
    Words(Vec<WordFrame>),
}

/// The reply to a control request.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum ControlReply {
    /// Who the asked node is.
    Hello(HelloFrame),
    /// What the home says of the token.
    Refuse(RefusalFrame),
    /// The receiver's digest.
    Digest(DigestFrame),
    /// The entries asked for.
    Entries {
        /// The entries.
        entries: Vec<EntryFrame>,
        /// Revision up to which they are whole, where all after a revision were asked for.
        complete: Option<u64>,
    },
    /// The versions that the receiver holds.
    Versions(Vec<VersionFrame>),
    /// The changes of the list of instances.
    List(ListDelta),
    /// Nothing to say.
    Done,
}

/// Who a node is and in what state.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct HelloFrame {
    /// Hybrid logical clock of the sender.
    pub stamp: Stamp,
    /// State of the sender.
    pub report: ReportFrame,
}

/// What a home says of a token that it was asked to refuse.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum RefusalFrame {
    /// It runs now.
    Running,
    /// It ran, with this answer.
    Ran {
        /// HTTP status.
        status: u16,
        /// End-to-end headers.
        headers: Vec<HeaderFrame>,
        /// Body.
        body: Vec<u8>,
    },
    /// It ran and its answer was not kept.
    AnswerGone,
    /// Nothing certain is known.
    Unknown,
    /// No try up to the number ran or will run.
    RefusedForGood,
}

/// What a node holds of everything published.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct DigestFrame {
    /// The sender's word about itself; its copies count at the start of others where it serves.
    pub word: WordFrame,
    /// Its copy of the entries.
    pub digest: Digest,
    /// Revision of its list of instances.
    pub list: u64,
    /// Milliseconds since the last read of the configuration service that it knows of.
    pub config_age_ms: Option<u64>,
    /// Milliseconds since the last read of the list that it knows of.
    pub list_age_ms: Option<u64>,
}

/// New entries at a node.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct NewsFrame {
    /// The sender, which can be asked for them.
    pub node: SmolStr,
    /// Entries that are announced only.
    pub notices: Vec<VersionFrame>,
    /// Entries that are small enough to go along.
    pub entries: Vec<EntryFrame>,
}

/// What a node told about itself, passed on by others.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct WordFrame {
    /// The node.
    pub node: SmolStr,
    /// Its run.
    pub incarnation: u128,
    /// Its state.
    pub state: NodeState,
    /// When it was told, by the node's own tick.
    pub tick: u64,
}

/// A key and the revision held of it.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct VersionFrame {
    /// The key.
    pub key: SmolStr,
    /// Its revision.
    pub revision: u64,
    /// Revision in force, where the newest is not.
    pub in_force: Option<u64>,
}

/// A published entry.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct EntryFrame {
    /// The key.
    pub key: SmolStr,
    /// Its revision.
    pub revision: u64,
    /// Its value.
    pub value: String,
}

impl ControlRequest {
    /// What the request and its reply are counted under.
    pub fn kind(&self) -> ControlKind {
        match self {
            Self::Greet(_) | Self::Announce(_) => ControlKind::Hello,
            Self::Ping | Self::Words(_) => ControlKind::Report,
            Self::Refuse { .. } => ControlKind::Burn,
            Self::Digest(_) | Self::Versions(_) => ControlKind::Digest,
            Self::PullSince(_)
            | Self::PullKeys(_)
            | Self::PullList(_)
            | Self::News(_)
            | Self::Entries(_) => ControlKind::Documents,
        }
    }
}

impl ControlRequest {
    /// The name under which the sender speaks of itself; `None` where the message names no sender.
    pub fn sender(&self) -> Option<&SmolStr> {
        match self {
            Self::Greet(hello) | Self::Announce(hello) => Some(&hello.report.node),
            Self::Digest(digest) => Some(&digest.word.node),
            Self::News(news) => Some(&news.node),
            Self::Ping
            | Self::Refuse { .. }
            | Self::PullSince(_)
            | Self::PullKeys(_)
            | Self::Versions(_)
            | Self::PullList(_)
            | Self::Entries(_)
            | Self::Words(_) => None,
        }
    }
}

impl HelloFrame {
    /// A greeting that tells the state of this node.
    pub fn new(report: &HostReport, stamp: Stamp) -> Self {
        Self {
            stamp,
            report: ReportFrame::from(report),
        }
    }
}

impl From<&Entry> for EntryFrame {
    fn from(entry: &Entry) -> Self {
        Self {
            key: entry.key.0.clone(),
            revision: entry.revision.0,
            value: entry.value.to_string(),
        }
    }
}

impl From<EntryFrame> for Entry {
    fn from(frame: EntryFrame) -> Self {
        Self {
            key: Key(frame.key),
            revision: Revision(frame.revision),
            value: Arc::from(frame.value),
        }
    }
}

impl From<&KeyVersion> for VersionFrame {
    fn from(version: &KeyVersion) -> Self {
        Self {
            key: version.key.0.clone(),
            revision: version.revision.0,
            in_force: version.in_force.map(|r| r.0),
        }
    }
}

impl From<VersionFrame> for KeyVersion {
    fn from(frame: VersionFrame) -> Self {
        Self {
            key: Key(frame.key),
            revision: Revision(frame.revision),
            in_force: frame.in_force.map(Revision),
        }
    }
}
