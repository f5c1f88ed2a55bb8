//! Call sent by an entry to a host.

use std::time::Instant;

use bytes::Bytes;
use coltsfootport_core::class::Class;
use coltsfootport_core::id::{RequestId, ServiceName};
use coltsfootport_core::once::{Token, Try};
use http::{HeaderMap, Method};
use smol_str::SmolStr;

/// Id of one attempt at a call, repeated in the reply to it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct AttemptId(pub u64);

/// Call as sent by its entry and run by its host.
#[derive(Clone, Debug)]
pub struct Call {
    /// Id of the request to which the call belongs.
    pub request: RequestId,
    /// Id of this attempt.
    pub attempt: AttemptId,
    /// Number of this attempt by the entry, starting at 1.
    pub attempt_number: u16,
    /// Service that is called.
    pub service: ServiceName,
    /// Method of the HTTP request.
    pub method: Method,
    /// Path and query to send to the target.
    pub path: String,
    /// End-to-end headers.
    pub headers: HeaderMap,
    /// Rank for shedding, assigned at the entry of the request and kept along the call chain.
    pub class: Class,
    /// Name of the class.
    pub class_name: SmolStr,
    /// Key of the operation: its position in the service's document, or `other`.
    pub operation: SmolStr,
    /// Time after which the answer is of no use.
    pub deadline: Instant,
    /// Number of retries that the host and its downstream calls may make.
    pub allowance: u16,
    /// Number of hops upstream of this one.
    pub depth: u8,
    /// Whether the call may run more than once.
    pub idempotent: bool,
    /// Revision of the document by which the entry classified the call.
    pub revision: u64,
    /// Token that limits the call to one run at its home; `None` for a call without a token.
    pub once: Option<OnceCall>,
    /// Complete body.
    pub body: Bytes,
}

/// Token and try number of a call that runs at most once.
#[derive(Clone, Debug)]
pub struct OnceCall {
    /// Token, which names the home of the call.
    pub token: Token,
    /// Number of the try.
    pub number: Try,
}

impl Call {
    /// Returns the bucket of the request within its class, which is the same at every hop.
    ///
    /// A request that is admitted at one hop is therefore also admitted at the others, so that no work is spent on
    /// chains that are shed halfway.
    pub fn bucket(&self) -> u8 {
        let folded = self.request.0 ^ (self.request.0 >> 64);
        (folded as u64)
            .wrapping_mul(BUCKET_MULTIPLIER)
            .to_be_bytes()[0]
    }
}

/// Odd multiplier of Fibonacci hashing, 2^64 divided by the golden ratio.
const BUCKET_MULTIPLIER: u64 = 0x9E37_79B9_7F4A_7C15;
