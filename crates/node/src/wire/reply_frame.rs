//! Reply of a host to a call.

use std::time::Duration;

use bytes::Bytes;
use coltsfootport_core::error_kind::ErrorKind;
use coltsfootport_core::membership::NodeState;
use coltsfootport_core::timeline::Stamp;
use http::StatusCode;
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use super::{FrameError, HeaderFrame, checksum};
use crate::data::{Answer, AttemptId, HostReport, Refused, Reply, Verdict};

/// Head of a reply; the body of an answer follows it on the stream.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ReplyFrame {
    /// Hybrid logical clock of the host.
    pub stamp: Stamp,
    /// Id of the attempt to which this reply belongs.
    pub attempt: u64,
    /// Rest of the retry allowance that the host and its downstream calls did not use.
    pub allowance_left: u16,
    /// Verdict on the call.
    pub verdict: VerdictFrame,
    /// Report of the host's state, for routing and shedding.
    pub report: ReportFrame,
    /// Length of the body in bytes.
    pub body_len: u32,
    /// CRC-32 of the body.
    pub body_crc: u32,
}

/// Verdict on a call; the body of an answer is sent after the head.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum VerdictFrame {
    /// The target answered.
    Answered {
        /// HTTP status.
        status: u16,
        /// End-to-end headers.
        headers: Vec<HeaderFrame>,
        /// Whether the answer was stored at an earlier try of the same token.
        replayed: bool,
    },
    /// The host refused the call or gave it up.
    Refused {
        /// Reason of the refusal.
        kind: ErrorKind,
        /// Delay in milliseconds after which the caller may retry.
        retry_after_ms: u32,
    },
}

/// State of a host, sent with every reply and hello message.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ReportFrame {
    /// Name of the node.
    pub node: SmolStr,
    /// Incarnation of the node.
    pub incarnation: u128,
    /// Monotonic tick of the node in milliseconds at the time of the report.
    pub tick: u64,
    /// State of the node, which tells whether it accepts calls.
    pub state: NodeState,
    /// Number of calls that its target is running.
    pub in_flight: u32,
    /// Number of queued calls.
    pub queued: u32,
    /// Concurrency limit of the target.
    pub limit: u32,
    /// Admission level of the operation's subtree: class.
    pub level_class: u8,
    /// Admission level of the operation's subtree: bucket.
    pub level_bucket: u8,
    /// Revision of the newest published entry that the node holds.
    pub revision: u64,
}

impl ReplyFrame {
    /// Creates the frame of a reply.
    pub fn new(reply: &Reply, stamp: Stamp) -> Self {
        let body = reply.body();
        Self {
            stamp,
            attempt: reply.attempt.0,
            allowance_left: reply.allowance_left,
            verdict: VerdictFrame::from(&reply.verdict),
            report: ReportFrame::from(&reply.report),
            body_len: body.len() as u32,
            body_crc: checksum(&body),
        }
    }

    /// Converts the frame into a reply; fails if the body does not match its length and checksum.
    pub fn into_reply(self, body: Bytes) -> Result<Reply, FrameError> {
        if body.len() != self.body_len as usize || checksum(&body) != self.body_crc {
            return Err(FrameError::Checksum);
        }
        Ok(Reply {
            attempt: AttemptId(self.attempt),
            allowance_left: self.allowance_left,
            verdict: self.verdict.into_verdict(body)?,
            report: HostReport::from(self.report),
        })
    }
}

impl VerdictFrame {
    fn into_verdict(self, body: Bytes) -> Result<Verdict, FrameError> {
        match self {
            Self::Answered {
                status,
                headers,
                replayed,
            } => Ok(Verdict::Answered(Answer {
                status: StatusCode::from_u16(status).map_err(|_| FrameError::Malformed)?,
                headers: HeaderFrame::into_map(headers)?,
                body,
                replayed,
            })),
            Self::Refused {
                kind,
                retry_after_ms,
            } => Ok(Verdict::Refused(Refused::new(
                kind,
                Duration::from_millis(retry_after_ms.into()),
            ))),
        }
    }
}

impl From<&Verdict> for VerdictFrame {
    fn from(verdict: &Verdict) -> Self {
        match verdict {
            Verdict::Answered(answer) => Self::Answered {
                status: answer.status.as_u16(),
                headers: HeaderFrame::from_map(&answer.headers),
                replayed: answer.replayed,
            },
            Verdict::Refused(refused) => Self::Refused {
                kind: refused.kind,
                retry_after_ms: refused.retry_after.as_millis() as u32,
            },
        }
    }
}
