//! Control messages between nodes: hello messages, refusals of tokens and exchange of published entries.

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

/// Control request; handled separately from calls, so that it is not shed under overload.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum ControlRequest {
    /// Identifies the sender and requests the same of the receiver; the first message of a connection.
    Greet(HelloFrame),
    /// Checks whether the receiver responds.
    Ping,
    /// Reports a changed state of the sender, for example that it begins to leave.
    Announce(HelloFrame),
    /// Requests that the home of a token permanently refuse all its tries up to a number.
    Refuse {
        /// Token to refuse.
        token: Token,
        /// Highest try number to refuse.
        up_to: u32,
    },
    /// Compares the copies of the published entries on both sides.
    Digest(DigestFrame),
    /// Requests every entry above a revision.
    PullSince(u64),
    /// Requests the entries of the given keys.
    PullKeys(Vec<SmolStr>),
    /// Lists the versions that the sender holds and requests those of the receiver.
    Versions(Vec<VersionFrame>),
    /// Requests the changes of the instance list after a revision.
    PullList(u64),
    /// Announces new entries.
    News(NewsFrame),
    /// Pushes entries that the receiver lacks according to its versions.
    Entries(Vec<EntryFrame>),
    /// Forwards state reports of nodes.
    StateReports(Vec<StateReportFrame>),
}

/// Reply to a control request.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum ControlReply {
    /// Identity and state of the receiver.
    Hello(HelloFrame),
    /// Outcome of the requested refusal of a token.
    Refuse(RefusalFrame),
    /// Digest of the receiver.
    Digest(DigestFrame),
    /// Requested entries.
    Entries {
        /// Entries that the receiver holds.
        entries: Vec<EntryFrame>,
        /// Revision up to which the entries are complete; set only if all entries after a revision were requested.
        complete: Option<u64>,
    },
    /// Versions that the receiver holds.
    Versions(Vec<VersionFrame>),
    /// Changes of the instance list.
    List(ListDelta),
    /// Acknowledgement without content.
    Done,
}

/// Identity and state of a node.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct HelloFrame {
    /// Hybrid logical clock of the sender.
    pub stamp: Stamp,
    /// State of the sender.
    pub report: ReportFrame,
}

/// Answer of a home to a request to refuse a token.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum RefusalFrame {
    /// The call was sent to the target; its answer is pending.
    Running,
    /// The call ran; contains its stored answer.
    Ran {
        /// HTTP status.
        status: u16,
        /// End-to-end headers.
        headers: Vec<HeaderFrame>,
        /// Complete body.
        body: Vec<u8>,
    },
    /// The call ran, but its answer was not stored.
    AnswerGone,
    /// The home can't determine the outcome.
    Unknown,
    /// No try up to the requested one has run or will ever run.
    RefusedForGood,
}

/// Summary of a node's copies of the published entries and of the instance list.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct DigestFrame {
    /// State of the sender. A starting node counts the digest for its startup only if the sender is serving.
    pub state_report: StateReportFrame,
    /// Digest of the sender's copy of the entries.
    pub digest: Digest,
    /// Revision of the sender's instance list.
    pub list_revision: u64,
    /// Milliseconds since the last read of the configuration service that the sender knows of.
    pub config_age_ms: Option<u64>,
    /// Milliseconds since the last read of the instance list that the sender knows of.
    pub list_age_ms: Option<u64>,
}

/// Announcement of new entries.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct NewsFrame {
    /// Sender, from which the entries can be requested.
    pub node: SmolStr,
    /// Versions of entries that are announced without their values.
    pub notices: Vec<VersionFrame>,
    /// Entries small enough to be sent in full.
    pub entries: Vec<EntryFrame>,
}

/// State report of a node, forwarded by other nodes.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct StateReportFrame {
    /// Node that made the report.
    pub node: SmolStr,
    /// Incarnation of the node.
    pub incarnation: u128,
    /// State of the node.
    pub state: NodeState,
    /// Monotonic tick of the node at the time of the report.
    pub tick: u64,
}

/// Key of an entry and the revisions of it that a node holds.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct VersionFrame {
    /// Key of the entry.
    pub key: SmolStr,
    /// Revision of the newest version held.
    pub revision: u64,
    /// Revision of the version in force: the newest one if found valid, otherwise an earlier one. `None` if there is
    /// none, and always in announcements of new entries.
    pub in_force: Option<u64>,
}

/// Published entry.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct EntryFrame {
    /// Key of the entry.
    pub key: SmolStr,
    /// Revision of the value.
    pub revision: u64,
    /// Serialized value.
    pub value: String,
}

impl ControlRequest {
    /// Returns the metrics label of the request and its reply.
    pub fn kind(&self) -> ControlKind {
        match self {
            Self::Greet(_) | Self::Announce(_) => ControlKind::Hello,
            Self::Ping | Self::StateReports(_) => ControlKind::Report,
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
    /// Returns the node name that the sender states in the message; `None` if the message has none.
    pub fn sender(&self) -> Option<&SmolStr> {
        match self {
            Self::Greet(hello) | Self::Announce(hello) => Some(&hello.report.node),
            Self::Digest(digest) => Some(&digest.state_report.node),
            Self::News(news) => Some(&news.node),
            Self::Ping
            | Self::Refuse { .. }
            | Self::PullSince(_)
            | Self::PullKeys(_)
            | Self::Versions(_)
            | Self::PullList(_)
            | Self::Entries(_)
            | Self::StateReports(_) => None,
        }
    }
}

impl HelloFrame {
    /// Creates a hello message with the state of this node.
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
