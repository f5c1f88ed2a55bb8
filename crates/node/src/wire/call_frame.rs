//! Call as sent from its entry to its host.

use std::time::{Duration, Instant};

use bytes::Bytes;
use coltsfootport_core::class::Class;
use coltsfootport_core::id::{RequestId, ServiceName};
use coltsfootport_core::once::{Token, Try};
use coltsfootport_core::timeline::Stamp;
use http::Method;
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use super::{FrameError, HeaderFrame, checksum};
use crate::data::{AttemptId, Call, OnceCall};

/// Head of a call; the body follows it on the stream.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct CallFrame {
    /// Hybrid logical clock of the sender.
    pub stamp: Stamp,
    /// Id of the request to which the call belongs.
    pub request: u128,
    /// Id of the attempt, repeated in the reply.
    pub attempt: u64,
    /// Number of this attempt by the entry, starting at 1.
    pub attempt_number: u16,
    /// Service that is called.
    pub service: SmolStr,
    /// HTTP method.
    pub method: SmolStr,
    /// Path and query to send to the target.
    pub path: String,
    /// End-to-end headers.
    pub headers: Vec<HeaderFrame>,
    /// Rank of the class for shedding.
    pub class: u8,
    /// Name of the class.
    pub class_name: SmolStr,
    /// Key of the operation, which selects the admission level of its subtree.
    pub operation: SmolStr,
    /// Time left until the deadline in microseconds, measured when the frame was created.
    pub remaining_us: u64,
    /// Number of retries that the host and its downstream calls may make.
    pub allowance: u16,
    /// Number of hops upstream of this one.
    pub depth: u8,
    /// Whether the call may run more than once.
    pub idempotent: bool,
    /// Revision of the document by which the entry classified the call.
    pub revision: u64,
    /// Token that limits the call to one run; `None` for a call without a token.
    pub once: Option<OnceFrame>,
    /// Length of the body in bytes.
    pub body_len: u32,
    /// CRC-32 of the body.
    pub body_crc: u32,
}

/// Token and try number of a call that runs at most once.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct OnceFrame {
    /// Decoded token; its seal was verified at the node where the call entered the fleet.
    pub token: Token,
    /// Number of the try.
    pub number: u32,
}

impl CallFrame {
    /// Creates the frame of a call, with the time left measured at `now`.
    pub fn new(call: &Call, stamp: Stamp, now: Instant) -> Self {
        Self {
            stamp,
            request: call.request.0,
            attempt: call.attempt.0,
            attempt_number: call.attempt_number,
            service: call.service.0.clone(),
            method: SmolStr::new(call.method.as_str()),
            path: call.path.to_string(),
            headers: HeaderFrame::from_map(&call.headers),
            class: call.class.0,
            class_name: call.class_name.clone(),
            operation: call.operation.clone(),
            remaining_us: micros(call.deadline.saturating_duration_since(now)),
            allowance: call.allowance,
            depth: call.depth,
            idempotent: call.idempotent,
            revision: call.revision,
            once: call.once.as_ref().map(OnceFrame::from),
            body_len: call.body.len() as u32,
            body_crc: checksum(&call.body),
        }
    }

    /// Converts the frame into a call whose deadline is counted from `arrived`.
    ///
    /// Fails if the body does not match its length and checksum, or if a field is invalid.
    pub fn into_call(self, body: Bytes, arrived: Instant) -> Result<Call, FrameError> {
        if usize::from(self.class) >= Class::COUNT {
            return Err(FrameError::Malformed);
        }
        if body.len() != self.body_len as usize || checksum(&body) != self.body_crc {
            return Err(FrameError::Checksum);
        }
        Ok(Call {
            request: RequestId(self.request),
            attempt: AttemptId(self.attempt),
            attempt_number: self.attempt_number,
            service: ServiceName(self.service),
            method: Method::try_from(self.method.as_str()).map_err(|_| FrameError::Malformed)?,
            path: self.path,
            headers: HeaderFrame::into_map(self.headers)?,
            class: Class(self.class),
            class_name: self.class_name,
            operation: self.operation,
            deadline: arrived + Duration::from_micros(self.remaining_us),
            allowance: self.allowance,
            depth: self.depth,
            idempotent: self.idempotent,
            revision: self.revision,
            once: self.once.map(OnceCall::from),
            body,
        })
    }
}

impl From<&OnceCall> for OnceFrame {
    fn from(once: &OnceCall) -> Self {
        Self {
            token: once.token.clone(),
            number: once.number.0,
        }
    }
}

impl From<OnceFrame> for OnceCall {
    fn from(frame: OnceFrame) -> Self {
        Self {
            token: frame.token,
            number: Try(frame.number),
        }
    }
}

fn micros(time: Duration) -> u64 {
    u64::try_from(time.as_micros()).unwrap_or(u64::MAX)
}
