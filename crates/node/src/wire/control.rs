//! Control traffic between nodes: greetings, refusals of tokens and published entries.

use std::sync::Arc;

use coltsfootport_core::dissemination::{Digest, Entry, Key, KeyVersion, Revision};
use coltsfootport_core::once::Token;
use coltsfootport_core::timeline::Stamp;
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use super::{HeaderFrame, ReportFrame};
use crate::data::HostReport;

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
    /// Compares published entries.
    Digest(Digest),
    /// Asks for every entry newer than what the sender holds.
    Pull(Vec<VersionFrame>),
    /// Hands over newer entries.
    Push(Vec<EntryFrame>),
}

/// The reply to a control request.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum ControlReply {
    /// Who the asked node is.
    Hello(HelloFrame),
    /// What the home says of the token.
    Refuse(RefusalFrame),
    /// The receiver's digest.
    Digest(Digest),
    /// Entries that the asker lacks.
    Entries(Vec<EntryFrame>),
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

/// A key and the revision held of it.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct VersionFrame {
    /// The key.
    pub key: SmolStr,
    /// Its revision.
    pub revision: u64,
    /// Revision in force where the newest was rejected.
    pub fallback: Option<u64>,
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
            fallback: version.fallback.map(|r| r.0),
        }
    }
}

impl From<VersionFrame> for KeyVersion {
    fn from(frame: VersionFrame) -> Self {
        Self {
            key: Key(frame.key),
            revision: Revision(frame.revision),
            fallback: frame.fallback.map(Revision),
        }
    }
}
