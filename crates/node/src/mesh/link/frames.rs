//! Requests and replies as they travel between nodes.

use std::time::{Duration, Instant};

use coltsfootport_core::id::ServiceName;
use coltsfootport_core::mesh::{Refusal, Repeat, RequestKind};
use coltsfootport_core::quarantine::{Finding, Fingerprint};
use http::{Method, StatusCode};
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use super::finding_frames::FindingFrame;
use super::quota_frames::{ClaimFrame, NoticeFrame};
use crate::h1::RequestHead;
use crate::mesh::call::{
    Body, DownstreamCalls, HostReply, HostedRequest, Refused, Report, TargetAnswer,
};
use crate::mesh::feed::FollowFrame;
use crate::wire::{FrameError, HeaderFrame};

/// Largest head of a request or reply between nodes, in bytes.
pub const MAX_HEAD: usize = 128 * 1024;

/// Head of what one node asks of another.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum StreamHead {
    /// A request for the target beside the node.
    Request(Box<RequestFrame>),
    /// Another node wants to hear the publisher's news.
    Follow(FollowFrame),
    /// Another node tells what its workspaces have used, and wants the verdicts of this one.
    QuotaClaims(Vec<ClaimFrame>),
    /// Another node, a home of these workspaces, tells its verdicts; nothing is answered but that they came.
    QuotaNotices(Vec<NoticeFrame>),
    /// Another node tells what it knows of requests that crash targets; nothing is answered but that it came.
    Findings(Vec<FindingFrame>),
    /// Another node wants to be told what this one knows, unless both know the same; this is its digest.
    FindingsPull(u64),
}

/// First frame of each connection, from the node that has accepted it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HelloFrame {
    /// Drawn at the node's start.
    pub boot: u64,
}

/// Head of a request; its body follows.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RequestFrame {
    instance: SmolStr,
    id: SmolStr,
    fingerprint: Fingerprint,
    rank: u8,
    workspace: Option<SmolStr>,
    inner: bool,
    at_most_once: bool,
    kind: u32,
    /// Thousandths of a share.
    admitted: u16,
    /// Time since the request from outside entered the mesh; hosts have clocks of their own.
    age_ms: u32,
    /// Time left when it was sent.
    left_ms: u32,
    queue_timeout_ms: u32,
    origin: ServiceName,
    cut_off: Option<SmolStr>,
    method: SmolStr,
    target: SmolStr,
    headers: Vec<HeaderFrame>,
    /// Length of the body, where it is known beforehand.
    pub length: Option<u64>,
    /// Whether the body follows piece by piece.
    in_pieces: bool,
}

/// Head of a reply.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ReplyFrame {
    busy: u32,
    /// Thousandths of a level.
    level: u16,
    stopping: bool,
    cut_off: bool,
    downstream: Vec<DownstreamCalls>,
    finding: Option<FindingFrame>,
    result: ResultFrame,
}

/// What a host has.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
enum ResultFrame {
    /// An answer; its body follows.
    Answer {
        status: u16,
        headers: Vec<HeaderFrame>,
        length: Option<u64>,
        /// Whether the body follows piece by piece.
        in_pieces: bool,
    },
    /// No answer.
    Refused {
        refusal: Refusal,
        retry_after_ms: Option<u32>,
    },
}

const THOUSANDTHS: f64 = 1000.0;

impl RequestFrame {
    /// The frame of a request that leaves now.
    pub fn new(req: &HostedRequest, now: Instant) -> Self {
        Self {
            instance: req.instance.clone(),
            id: req.id.clone(),
            fingerprint: req.fingerprint,
            rank: req.rank,
            workspace: req.workspace.clone(),
            inner: req.inner,
            at_most_once: req.repeat == Repeat::AtMostOnce,
            kind: req.kind.0,
            admitted: thousandths(req.admitted_share),
            age_ms: millis(now.saturating_duration_since(req.began)),
            left_ms: millis(req.deadline.saturating_duration_since(now)),
            queue_timeout_ms: millis(req.queue_timeout),
            origin: req.origin.clone(),
            cut_off: req.cut_off.clone(),
            method: SmolStr::new(req.head.method.as_str()),
            target: req.head.target.clone(),
            headers: HeaderFrame::from_map(&req.head.headers),
            length: length(&req.body),
            in_pieces: matches!(req.body, Body::Stream { .. }),
        }
    }

    /// Length of the body where it follows whole; `None` where it follows in pieces.
    pub fn held(&self) -> Option<usize> {
        held(self.in_pieces, self.length)
    }

    /// The request, as it has arrived now.
    ///
    /// # Errors
    ///
    /// A method or header can't stand in HTTP.
    pub fn into_request(self, body: Body, now: Instant) -> Result<HostedRequest, FrameError> {
        let method =
            Method::from_bytes(self.method.as_bytes()).map_err(|_| FrameError::Malformed)?;
        Ok(HostedRequest {
            head: RequestHead {
                method,
                target: self.target,
                headers: HeaderFrame::into_map(self.headers)?,
                keep_alive: true,
                takes_chunks: true,
            },
            body,
            id: self.id,
            fingerprint: self.fingerprint,
            instance: self.instance,
            rank: self.rank,
            workspace: self.workspace,
            inner: self.inner,
            began: before(now, self.age_ms),
            kind: RequestKind(self.kind),
            admitted_share: f64::from(self.admitted) / THOUSANDTHS,
            repeat: match self.at_most_once {
                true => Repeat::AtMostOnce,
                false => Repeat::Idempotent,
            },
            deadline: now + Duration::from_millis(u64::from(self.left_ms)),
            queue_timeout: Duration::from_millis(u64::from(self.queue_timeout_ms)),
            origin: self.origin,
            cut_off: self.cut_off,
        })
    }
}

impl From<&HostReply> for ReplyFrame {
    fn from(reply: &HostReply) -> Self {
        let result = match &reply.result {
            Ok(answer) => ResultFrame::Answer {
                status: answer.status.as_u16(),
                headers: HeaderFrame::from_map(&answer.headers),
                length: length(&answer.body),
                in_pieces: matches!(answer.body, Body::Stream { .. }),
            },
            Err(refused) => ResultFrame::Refused {
                refusal: refused.refusal,
                retry_after_ms: refused.retry_after.map(millis),
            },
        };
        Self {
            busy: reply.report.busy,
            level: thousandths(reply.report.level),
            stopping: reply.report.stopping,
            cut_off: reply.report.cut_off,
            downstream: reply.report.downstream.clone(),
            finding: reply.report.finding.as_ref().map(FindingFrame::from),
            result,
        }
    }
}

impl ReplyFrame {
    /// Length of the body where it follows whole; `None` where it follows in pieces.
    pub fn held(&self) -> Option<usize> {
        match &self.result {
            ResultFrame::Answer {
                length, in_pieces, ..
            } => held(*in_pieces, *length),
            ResultFrame::Refused { .. } => Some(0),
        }
    }

    /// Length of the answer's body, where it is known; zero where there is no answer.
    pub fn length(&self) -> Option<u64> {
        match &self.result {
            ResultFrame::Answer { length, .. } => *length,
            ResultFrame::Refused { .. } => Some(0),
        }
    }

    /// The reply with the body that followed.
    ///
    /// # Errors
    ///
    /// A status or header can't stand in HTTP.
    pub fn into_reply(self, body: Body) -> Result<HostReply, FrameError> {
        let result = match self.result {
            ResultFrame::Answer {
                status, headers, ..
            } => Ok(TargetAnswer {
                status: StatusCode::from_u16(status).map_err(|_| FrameError::Malformed)?,
                headers: HeaderFrame::into_map(headers)?,
                body,
            }),
            ResultFrame::Refused {
                refusal,
                retry_after_ms,
            } => Err(Refused {
                refusal,
                retry_after: retry_after_ms.map(|ms| Duration::from_millis(u64::from(ms))),
            }),
        };
        Ok(HostReply {
            result,
            report: Report {
                busy: self.busy,
                level: f64::from(self.level) / THOUSANDTHS,
                stopping: self.stopping,
                cut_off: self.cut_off,
                downstream: self.downstream,
                finding: self.finding.map(Finding::from),
            },
        })
    }
}

/// The moment so long before `now`; `now` itself where the clock has not run for so long.
fn before(now: Instant, age_ms: u32) -> Instant {
    let age = Duration::from_millis(u64::from(age_ms));
    now.checked_sub(age).unwrap_or(now)
}

fn length(body: &Body) -> Option<u64> {
    match body {
        Body::Whole(bytes) => Some(bytes.len() as u64),
        Body::Stream { length, .. } => *length,
    }
}

/// Length of a body that follows whole.
fn held(in_pieces: bool, length: Option<u64>) -> Option<usize> {
    let whole = length.filter(|_| !in_pieces)?;
    usize::try_from(whole).ok()
}

fn thousandths(value: f64) -> u16 {
    (value * THOUSANDTHS).clamp(0.0, f64::from(u16::MAX)) as u16
}

fn millis(duration: Duration) -> u32 {
    u32::try_from(duration.as_millis()).unwrap_or(u32::MAX)
}
