//! Requests and answers as they pass through a node.

use std::time::{Duration, Instant};

use bytes::Bytes;
use coltsfootport_core::id::ServiceName;
use coltsfootport_core::mesh::{Idempotency, Refusal, RequestKind};
use coltsfootport_core::quarantine::{BodyDigest, CrashId, Finding, Fingerprint};
use http::{HeaderMap, StatusCode};
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;
use tokio::sync::mpsc;

use crate::h1::RequestHead;

/// Body bytes that are held whole, so that the request can be sent again and the answer be checked before it is passed on.
pub const HELD_BODY: usize = 64 * 1024;

/// Most bytes of one piece of a body; what has been held goes on as its first piece.
///
/// Other nodes take no larger one. Held to the end of the read that reached the bound, and not cut to it, a body whose parts
/// came in unlucky sizes was lost on a link: its caller got a 502, or an answer that ended in the middle.
pub const LARGEST_PIECE: usize = HELD_BODY;

/// Pieces of a larger body that wait between two tasks; with pieces of 16 KiB a body holds 64 KiB at most.
pub const WAITING_PIECES: usize = 4;

/// A body ended early or was reset.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the body was cut short")]
pub struct CutShort;

/// A body on its way.
#[derive(Debug)]
pub enum Body {
    /// All of it.
    Whole(Bytes),
    /// Piece by piece; an end of the channel without an error is the end of the body.
    Stream {
        /// Its length, where it is known beforehand.
        length: Option<u64>,
        /// The pieces.
        rx: mpsc::Receiver<Result<Bytes, CutShort>>,
    },
}

impl Body {
    /// A body without bytes.
    pub const fn empty() -> Self {
        Self::Whole(Bytes::new())
    }

    /// A copy of the body for a retry, where it is held.
    pub fn copy(&self) -> Option<Self> {
        match self {
            Self::Whole(bytes) => Some(Self::Whole(bytes.clone())),
            Self::Stream { .. } => None,
        }
    }
}

/// A request as it came from a caller.
#[derive(Debug)]
pub struct CallerRequest {
    /// Its head as sent.
    pub head: RequestHead,
    /// Its body.
    pub body: Body,
    /// Digest of what of its body is held.
    pub digest: BodyDigest,
    /// When its head had arrived.
    pub arrived: Instant,
}

/// A request for the target of one host.
#[derive(Debug)]
pub struct HostedRequest {
    /// Head with end-to-end headers only.
    pub head: RequestHead,
    /// Body.
    pub body: Body,
    /// Id of the request; empty where the caller gave none.
    pub id: SmolStr,
    /// What stays the same when it is sent again.
    pub fingerprint: Fingerprint,
    /// The only instance that may run it.
    pub instance: SmolStr,
    /// Urgency of the request from outside that it serves.
    pub rank: u8,
    /// Workspace of that request.
    pub workspace: Option<SmolStr>,
    /// Whether a run waits for it.
    pub inner: bool,
    /// When the request from outside that it serves entered the mesh.
    pub began: Instant,
    /// Share of the requests from outside like that which it serves that its entry admitted.
    pub admitted: f64,
    /// Its route.
    pub kind: RequestKind,
    /// How often it may run.
    pub repeat: Idempotency,
    /// When nobody waits for it any more.
    pub deadline: Instant,
    /// Longest wait for its target that it should take; expected to wait longer, it is refused at once.
    pub queue_timeout: Duration,
    /// Service of the machine where it began.
    pub origin: ServiceName,
    /// The instance beside the sending node, where that node is cut off from the publisher.
    pub cut_off: Option<SmolStr>,
}

/// A target's answer, checked to be the one to this request.
#[derive(Debug)]
pub struct TargetAnswer {
    /// Status.
    pub status: StatusCode,
    /// End-to-end headers.
    pub headers: HeaderMap,
    /// Body.
    pub body: Body,
}

impl TargetAnswer {
    /// Whether the target has run the request to its end and is none the worse for it; an answer at the time limit, or one in
    /// place of a run, does not show that.
    pub fn ended_well(&self, not_run: &str) -> bool {
        let is_whole = matches!(self.body, Body::Whole(_));
        is_whole && !self.status.is_server_error() && !self.headers.contains_key(not_run)
    }
}

/// Why a host has no answer of its target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refused {
    /// The reason.
    pub refusal: Refusal,
    /// When it may be worth to come back.
    pub retry_after: Option<Duration>,
}

impl From<Refusal> for Refused {
    /// Refused without a time to come back.
    fn from(refusal: Refusal) -> Self {
        Self {
            refusal,
            retry_after: None,
        }
    }
}

/// What a host tells with each reply.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Report {
    /// Requests running and waiting at the host.
    pub busy: u32,
    /// Level of overload of the host, from 0.
    pub level: f64,
    /// Whether the host is about to stop.
    pub stopping: bool,
    /// Whether the host is cut off from the publisher.
    pub cut_off: bool,
    /// What this run has caused, by service.
    pub downstream: Vec<Caused>,
    /// What is held against the request, where the target crashed under it.
    pub finding: Option<Finding>,
}

/// How a run at the target has ended, as far as the request's standing is concerned.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum RunEnd {
    /// Neither of the others.
    #[default]
    Other,
    /// The target has answered whole.
    Answered,
    /// The target's process has ended.
    Crashed(CrashId),
}

impl Report {
    /// Highest level of a service on the way of the request.
    pub fn highest(&self) -> f64 {
        let below = self.downstream.iter().map(|below| below.level);
        below.fold(self.level, f64::max)
    }
}

/// What a run has caused at one service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Caused {
    /// The service.
    pub service: ServiceName,
    /// Arrivals.
    pub count: u32,
    /// Mean level of overload that they met. Requests can be placed elsewhere within a service, so its mean counts; the
    /// highest of several calls would follow the fluctuations of single hosts.
    pub level: f64,
}

impl Caused {
    /// Adds what was caused at the same service.
    pub fn add(&mut self, count: u32, level: f64) {
        let sum = self.level * f64::from(self.count) + level * f64::from(count);
        self.count = self.count.saturating_add(count);
        self.level = sum / f64::from(self.count.max(1));
    }
}

/// A host's reply.
#[derive(Debug)]
pub struct HostReply {
    /// The answer, or why there is none.
    pub result: Result<TargetAnswer, Refused>,
    /// What the host tells besides.
    pub report: Report,
}

/// What a caller gets.
#[derive(Debug)]
pub struct CallerAnswer {
    /// Status.
    pub status: StatusCode,
    /// End-to-end headers.
    pub headers: HeaderMap,
    /// Body.
    pub body: Body,
    /// Whether the connection ends with this answer, since what follows on it can't be told apart.
    pub close: bool,
}
