//! Types for requests and responses on their way through a node.

use std::time::{Duration, Instant};

use bytes::Bytes;
use coltsfootport_core::id::ServiceName;
use coltsfootport_core::mesh::{Idempotency, Refusal, RequestKind};
use coltsfootport_core::quarantine::{BodyDigest, CrashId, Finding, Fingerprint};
use http::{HeaderMap, StatusCode};
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use super::body_channel::BodyReceiver;
use super::held_bytes::{Account, Held};
use crate::h1::RequestHead;

/// Largest body, in bytes, that is buffered as a whole. A buffered request can be retried, and a buffered response can
/// be checked before it is passed on.
pub const MAX_BUFFERED_BODY: usize = 64 * 1024;

/// Largest chunk of a streamed body, in bytes. What was buffered of the body is passed on as its first chunk.
///
/// Other nodes reject larger chunks. The buffered part must therefore be cut to exactly this size. If it extended to
/// the end of the read that reached the limit, bodies whose parts arrive in certain sizes would be lost on a link: the
/// caller would get a 502, or a response that ended in the middle.
pub const MAX_BODY_CHUNK: usize = MAX_BUFFERED_BODY;

/// The body of a request or response.
#[derive(Debug)]
pub enum Body {
    /// A buffered body.
    Whole(Bytes),
    /// A body received in chunks.
    Stream {
        /// Length in bytes, if known in advance.
        length: Option<u64>,
        /// Receives the chunks.
        rx: BodyReceiver,
    },
}

impl Body {
    /// Creates an empty body.
    pub const fn empty() -> Self {
        Self::Whole(Bytes::new())
    }

    /// Returns a copy of the body for a retry, if it is buffered.
    pub fn try_clone(&self) -> Option<Self> {
        match self {
            Self::Whole(bytes) => Some(Self::Whole(bytes.clone())),
            Self::Stream { .. } => None,
        }
    }
}

/// A request as received from a caller.
#[derive(Debug)]
pub struct CallerRequest {
    /// Request id; empty if the caller sent none.
    pub id: SmolStr,
    /// Head as sent by the caller.
    pub head: RequestHead,
    /// Body.
    pub body: Body,
    /// Digest of the buffered part of the body.
    pub digest: BodyDigest,
    /// When the complete head had arrived.
    pub arrived: Instant,
    /// Account of the caller's connection.
    pub account: Account,
}

/// Random number that tells an attempt to serve a request from the attempts of all other nodes; zero if it was sent by a
/// node of a version without these numbers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct AttemptToken(u64);

impl AttemptToken {
    /// Draws a new token.
    pub fn random() -> Self {
        Self(rand::random())
    }
}

/// A request to be run by the target of a particular host.
#[derive(Debug)]
pub struct HostedRequest {
    /// Head, with end-to-end headers only.
    pub head: RequestHead,
    /// Body.
    pub body: Body,
    /// Request id; empty if the caller sent none.
    pub id: SmolStr,
    /// Fingerprint of the request, the same for all its retries.
    pub fingerprint: Fingerprint,
    /// Identifies this attempt.
    pub attempt: AttemptToken,
    /// Id of the only instance that may run the request.
    pub instance: SmolStr,
    /// Rank of the originating external request.
    pub rank: u8,
    /// Workspace of the originating request.
    pub workspace: Option<SmolStr>,
    /// Whether it is a call made by a run.
    pub inner: bool,
    /// When the originating request entered the mesh.
    pub began: Instant,
    /// Share of the external requests like the originating one that its entry node admitted.
    pub admitted_share: f64,
    /// Identifies the route in reports and frames.
    pub kind: RequestKind,
    /// Whether the request may run more than once.
    pub repeat: Idempotency,
    /// Deadline, after which no one waits for the response.
    pub deadline: Instant,
    /// Longest acceptable queueing time. If the expected time is longer, the request is refused at once. Zero if it may
    /// not wait.
    pub queue_timeout: Duration,
    /// Service of the entry node that sent the request.
    pub origin: ServiceName,
    /// Id of the local instance of the sending node, if that node is cut off from the publisher.
    pub cut_off: Option<SmolStr>,
    /// Account of the connection on which it was received.
    pub account: Account,
}

impl HostedRequest {
    /// Whether the host may enqueue the request, instead of refusing it if it can't start at once.
    pub fn may_wait(&self) -> bool {
        !self.queue_timeout.is_zero()
    }
}

/// A target's response, verified to belong to the request.
#[derive(Debug)]
pub struct TargetAnswer {
    /// Status.
    pub status: StatusCode,
    /// End-to-end headers.
    pub headers: HeaderMap,
    /// Body.
    pub body: Body,
    /// Bytes held for the headers and a buffered body.
    pub held: Held,
}

impl TargetAnswer {
    /// Whether the target has run the request to completion and is unharmed by it.
    pub fn completed_normally(&self, not_run: &str) -> bool {
        matches!(self.body, Body::Whole(_)) && self.shows_normal_run(not_run)
    }

    /// Whether the target will have run the request to completion, unharmed by it, once the body is complete. A response
    /// at the deadline, or one sent instead of a run, does not show that.
    pub fn shows_normal_run(&self, not_run: &str) -> bool {
        !self.status.is_server_error() && !self.headers.contains_key(not_run)
    }
}

/// The reason why a request has no response from a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refused {
    /// Reason of the refusal.
    pub refusal: Refusal,
    /// When a retry may succeed.
    pub retry_after: Option<Duration>,
}

impl From<Refusal> for Refused {
    /// Converts a refusal without a retry delay.
    fn from(refusal: Refusal) -> Self {
        Self {
            refusal,
            retry_after: None,
        }
    }
}

/// Status report that a host attaches to each reply.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Report {
    /// Number of requests running and waiting at the host.
    pub busy: u32,
    /// Overload level of the host; 0 for no overload.
    pub level: f64,
    /// Whether the host is draining.
    pub stopping: bool,
    /// Whether the host is cut off from the publisher.
    pub cut_off: bool,
    /// Mean slot time that the host's target needs for the kind of the request, without waiting for calls of its own;
    /// zero if unknown.
    pub service_time: Duration,
    /// Slot time of the run, without the time during which it waited for calls of its own; zero if it did not run.
    pub held: Duration,
    /// Downstream calls caused by the run, by service.
    pub downstream: Vec<DownstreamCalls>,
    /// Quarantine finding about the request, if the target crashed while running it.
    pub finding: Option<Finding>,
}

/// How a run at the target ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunEnd {
    /// Nobody waits for a response any more, and the target has sent none.
    Unanswered,
    /// The target sent another response, or closed the connection.
    Other,
    /// The target sent a complete response.
    Answered,
    /// The target's process ended during the run.
    Crashed(CrashId),
}

impl Report {
    /// Highest overload level among the host and the services called downstream.
    pub fn max_level(&self) -> f64 {
        let below = self.downstream.iter().map(|below| below.level);
        below.fold(self.level, f64::max)
    }
}

/// Downstream calls that a run caused at one service, at any depth below it.
#[derive(Clone, Debug, PartialEq)]
pub struct DownstreamCalls {
    /// Called service.
    pub service: ServiceName,
    /// Number of calls that arrived.
    pub count: u32,
    /// Mean overload level that the calls encountered. The mean is used because requests can be moved to other
    /// instances of a service; the maximum over several calls would follow the fluctuations of single hosts.
    pub level: f64,
    /// Slot time of these calls in seconds, without the time during which they waited for calls of their own.
    pub work: f64,
}

impl DownstreamCalls {
    /// Adds further calls to the same service.
    pub fn add(&mut self, other: &Self) {
        let sum = self.level * f64::from(self.count) + other.level * f64::from(other.count);
        self.count = self.count.saturating_add(other.count);
        self.work += other.work;
        self.level = sum / f64::from(self.count.max(1));
    }
}

/// A host's reply to a request.
#[derive(Debug)]
pub struct HostReply {
    /// The target's response, or the reason why there is none.
    pub result: Result<TargetAnswer, Refused>,
    /// Status report of the host.
    pub report: Report,
}

/// The response that is sent to a caller.
#[derive(Debug)]
pub struct CallerAnswer {
    /// Id of the request; empty if the caller sent none.
    pub id: SmolStr,
    /// Deadline of the request; `None` if the node itself answers.
    pub deadline: Option<Instant>,
    /// Whether the request was passed on to a target.
    pub passed_on: bool,
    /// Status.
    pub status: StatusCode,
    /// End-to-end headers.
    pub headers: HeaderMap,
    /// Body.
    pub body: Body,
    /// Bytes held for the headers and a buffered body; `None` if the node itself answers.
    pub held: Option<Held>,
}
