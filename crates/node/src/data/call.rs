//! A call on its way to a host.

use std::time::Instant;

use bytes::Bytes;
use coltsfootport_core::class::Class;
use coltsfootport_core::id::{RequestId, ServiceName};
use coltsfootport_core::once::{Token, Try};
use http::{HeaderMap, Method};
use smol_str::SmolStr;

/// Identity of one sending of a call, echoed by its reply.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct AttemptId(pub u64);

/// A call as its entry sends it and its host runs it.
#[derive(Clone, Debug)]
pub struct Call {
    /// Request on whose behalf the call is made.
    pub request: RequestId,
    /// This sending of it.
    pub attempt: AttemptId,
    /// Number of this sending by its entry, from 1.
    pub attempt_number: u16,
    /// Service to run it.
    pub service: ServiceName,
    /// HTTP method.
    pub method: Method,
    /// Path and query for the target.
    pub path: String,
    /// End-to-end headers.
    pub headers: HeaderMap,
    /// Rank for shedding, given at the request's entry and kept along its chain.
    pub class: Class,
    /// Name of the class.
    pub class_name: SmolStr,
    /// Name of the operation in the service's document.
    pub operation: SmolStr,
    /// When the answer is of no more use.
    pub deadline: Instant,
    /// Retries that the host's subtree may make.
    pub allowance: u16,
    /// Hops above this one.
    pub depth: u8,
    /// Whether it may run more than once.
    pub idempotent: bool,
    /// Revision of the document that its entry acted on.
    pub revision: u64,
    /// Token that binds it to one run.
    pub once: Option<OnceCall>,
    /// The whole body.
    pub body: Bytes,
}

/// Token and try of a call that runs at most once.
#[derive(Clone, Debug)]
pub struct OnceCall {
    /// The token.
    pub token: Token,
    /// Number of the sending.
    pub number: Try,
}

impl Call {
    /// Position of the request among those of its class, the same at every hop.
    ///
    /// A request that is kept at one hop is then kept at all of them, so that no work is spent on half a chain.
    pub fn bucket(&self) -> u8 {
        let folded = self.request.0 ^ (self.request.0 >> 64);
        (folded as u64)
            .wrapping_mul(BUCKET_MULTIPLIER)
            .to_be_bytes()[0]
    }
}

/// Odd multiplier of Fibonacci hashing, 2^64 divided by the golden ratio.
const BUCKET_MULTIPLIER: u64 = 0x9E37_79B9_7F4A_7C15;
