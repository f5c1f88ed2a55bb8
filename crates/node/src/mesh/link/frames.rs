//! Wire format of requests and replies between nodes.

use std::time::{Duration, Instant};

use coltsfootport_core::id::ServiceName;
use coltsfootport_core::mesh::{Idempotency, Refusal, RequestKind};
use coltsfootport_core::quarantine::{Finding, Fingerprint};
use http::Method;
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use super::finding_frames::{FindingFrame, FindingsFrame};
use super::quota_frames::{ClaimFrame, NoticeFrame};
use super::reply_extension::ReplyExtension;
use super::trailing::Trailing;
use crate::h1::{RequestHead, valid_status};
use crate::mesh::call::{
    AttemptToken, Body, DownstreamCalls, HostReply, HostedRequest, Refused, Report, TargetAnswer,
};
use crate::mesh::feed::FollowFrame;
use crate::mesh::held_bytes::{Account, answer_bytes};
use crate::wire::{FrameError, HeaderFrame};

/// Maximum size of a request or reply head between nodes, in bytes.
pub const MAX_HEAD: usize = 128 * 1024;

/// First frame of an exchange, sent by the node that initiates it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum StreamHead {
    /// A request for the receiving node's target.
    Request(Box<RequestFrame>),
    /// Subscribes the sender to the publisher's change feed.
    Follow(FollowFrame),
    /// Reports the sender's usage per workspace; answered with the receiver's quota verdicts.
    QuotaClaims(Vec<ClaimFrame>),
    /// Quota verdicts of the sender, which is a home of these workspaces; answered with an empty acknowledgement.
    QuotaNotices(Vec<NoticeFrame>),
    /// The sender's findings about requests that crash targets; answered with an empty acknowledgement.
    Findings(FindingsFrame),
    /// Asks for the receiver's findings, unless they match this digest of the sender's findings.
    FindingsPull(u64),
    /// Takes back a request that the sender has sent on another connection; acknowledged.
    Withdraw(AttemptToken),
}

/// First frame of each connection, sent by the accepting node.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HelloFrame {
    /// Random number drawn when the node's process starts.
    pub boot: u64,
}

/// Head of a request, followed by its body.
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
    /// Admitted share in thousandths.
    admitted_permille: u16,
    /// Time since the external request entered the mesh. Relative, because the clocks of machines differ.
    age_ms: u32,
    /// Time left until the deadline when the frame was sent.
    left_ms: u32,
    queue_timeout_ms: u32,
    origin: ServiceName,
    cut_off: Option<SmolStr>,
    method: SmolStr,
    target: SmolStr,
    headers: Vec<HeaderFrame>,
    /// Length of the body, if known in advance.
    pub length: Option<u64>,
    /// Whether the body follows in chunks.
    is_streamed: bool,
    attempt: Trailing<AttemptToken>,
}

/// Head of a reply.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ReplyFrame {
    busy: u32,
    /// Overload level in thousandths.
    level_permille: u16,
    stopping: bool,
    cut_off: bool,
    downstream: Vec<DownstreamFrame>,
    finding: Option<FindingFrame>,
    result: ResultFrame,
    extension: Trailing<ReplyExtension>,
}

/// Downstream calls of a run at one service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
struct DownstreamFrame {
    service: ServiceName,
    count: u32,
    level: f64,
}

impl From<&DownstreamCalls> for DownstreamFrame {
    fn from(calls: &DownstreamCalls) -> Self {
        Self {
            service: calls.service.clone(),
            count: calls.count,
            level: calls.level,
        }
    }
}

impl From<DownstreamFrame> for DownstreamCalls {
    /// Converts the frame of calls whose slot time is not known yet.
    fn from(frame: DownstreamFrame) -> Self {
        Self {
            service: frame.service,
            count: frame.count,
            level: frame.level,
            work: 0.0,
        }
    }
}

/// Outcome of a request at its host.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
enum ResultFrame {
    /// A response, followed by its body.
    Answer {
        status: u16,
        headers: Vec<HeaderFrame>,
        length: Option<u64>,
        /// Whether the body follows in chunks.
        is_streamed: bool,
    },
    /// The host refused the request.
    Refused {
        refusal: Refusal,
        retry_after_ms: Option<u32>,
    },
}

const PERMILLE: f64 = 1000.0;

impl RequestFrame {
    /// Builds the frame of a request that is sent at `now`.
    pub fn new(req: &HostedRequest, now: Instant) -> Self {
        Self {
            instance: req.instance.clone(),
            id: req.id.clone(),
            fingerprint: req.fingerprint,
            rank: req.rank,
            workspace: req.workspace.clone(),
            inner: req.inner,
            at_most_once: req.repeat == Idempotency::AtMostOnce,
            kind: req.kind.0,
            admitted_permille: to_permille(req.admitted_share),
            age_ms: millis(now.saturating_duration_since(req.began)),
            left_ms: millis(req.deadline.saturating_duration_since(now)),
            queue_timeout_ms: millis(req.queue_timeout),
            origin: req.origin.clone(),
            cut_off: req.cut_off.clone(),
            method: SmolStr::new(req.head.method.as_str()),
            target: req.head.target.clone(),
            headers: HeaderFrame::from_map(&req.head.headers),
            length: length(&req.body),
            is_streamed: matches!(req.body, Body::Stream { .. }),
            attempt: Trailing(req.attempt),
        }
    }

    /// Length of a body that follows in one piece; `None` if it follows in chunks.
    pub fn buffered_length(&self) -> Option<usize> {
        buffered_length(self.is_streamed, self.length)
    }

    /// Converts the frame into a request that was received at `now` on a connection with this account.
    ///
    /// # Errors
    ///
    /// A method or header is invalid in HTTP.
    pub fn into_request(
        self,
        body: Body,
        now: Instant,
        account: Account,
    ) -> Result<HostedRequest, FrameError> {
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
            attempt: self.attempt.0,
            instance: self.instance,
            rank: self.rank,
            workspace: self.workspace,
            inner: self.inner,
            began: instant_before(now, self.age_ms),
            kind: RequestKind(self.kind),
            admitted_share: f64::from(self.admitted_permille) / PERMILLE,
            repeat: match self.at_most_once {
                true => Idempotency::AtMostOnce,
                false => Idempotency::Idempotent,
            },
            deadline: now + Duration::from_millis(u64::from(self.left_ms)),
            queue_timeout: Duration::from_millis(u64::from(self.queue_timeout_ms)),
            origin: self.origin,
            cut_off: self.cut_off,
            account,
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
                is_streamed: matches!(answer.body, Body::Stream { .. }),
            },
            Err(refused) => ResultFrame::Refused {
                refusal: refused.refusal,
                retry_after_ms: refused.retry_after.map(millis),
            },
        };
        Self {
            busy: reply.report.busy,
            level_permille: to_permille(reply.report.level),
            stopping: reply.report.stopping,
            cut_off: reply.report.cut_off,
            downstream: reply
                .report
                .downstream
                .iter()
                .map(DownstreamFrame::from)
                .collect(),
            finding: reply.report.finding.as_ref().map(FindingFrame::from),
            result,
            extension: Trailing(ReplyExtension::from(&reply.report)),
        }
    }
}

impl ReplyFrame {
    /// Length of a body that follows in one piece; `None` if it follows in chunks.
    pub fn buffered_length(&self) -> Option<usize> {
        match &self.result {
            ResultFrame::Answer {
                length,
                is_streamed,
                ..
            } => buffered_length(*is_streamed, *length),
            ResultFrame::Refused { .. } => Some(0),
        }
    }

    /// Whether the host is stopping.
    pub fn is_stopping(&self) -> bool {
        self.stopping
    }

    /// Length of the response body, if known; zero for a refusal.
    pub fn length(&self) -> Option<u64> {
        match &self.result {
            ResultFrame::Answer { length, .. } => *length,
            ResultFrame::Refused { .. } => Some(0),
        }
    }

    /// Converts the frame and the body that followed it into a reply, which is held for `account`.
    ///
    /// # Errors
    ///
    /// A status or header is invalid in HTTP.
    pub fn into_reply(self, body: Body, account: &Account) -> Result<HostReply, FrameError> {
        let result = match self.result {
            ResultFrame::Answer {
                status, headers, ..
            } => {
                let headers = HeaderFrame::into_map(headers)?;
                Ok(TargetAnswer {
                    status: valid_status(status).ok_or(FrameError::Malformed)?,
                    held: account.hold(answer_bytes(&headers, &body)),
                    headers,
                    body,
                })
            }
            ResultFrame::Refused {
                refusal,
                retry_after_ms,
            } => Err(Refused {
                refusal,
                retry_after: retry_after_ms.map(|ms| Duration::from_millis(u64::from(ms))),
            }),
        };
        let downstream = self.downstream.into_iter();
        let mut report = Report {
            busy: self.busy,
            level: f64::from(self.level_permille) / PERMILLE,
            stopping: self.stopping,
            cut_off: self.cut_off,
            downstream: downstream.map(DownstreamCalls::from).collect(),
            finding: self.finding.map(Finding::from),
            ..Report::default()
        };
        self.extension.0.add_to(&mut report);
        Ok(HostReply { result, report })
    }
}

/// Subtracts `age_ms` from `now`; returns `now` itself if the result can't be represented.
fn instant_before(now: Instant, age_ms: u32) -> Instant {
    let age = Duration::from_millis(u64::from(age_ms));
    now.checked_sub(age).unwrap_or(now)
}

fn length(body: &Body) -> Option<u64> {
    match body {
        Body::Whole(bytes) => Some(bytes.len() as u64),
        Body::Stream { length, .. } => *length,
    }
}

/// Length of a body unless it is streamed.
fn buffered_length(is_streamed: bool, length: Option<u64>) -> Option<usize> {
    let buffered = length.filter(|_| !is_streamed)?;
    usize::try_from(buffered).ok()
}

fn to_permille(value: f64) -> u16 {
    (value * PERMILLE).clamp(0.0, f64::from(u16::MAX)) as u16
}

fn millis(duration: Duration) -> u32 {
    u32::try_from(duration.as_millis()).unwrap_or(u32::MAX)
}
