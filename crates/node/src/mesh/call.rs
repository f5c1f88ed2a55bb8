//! Requests and answers as they pass through a node.

use std::time::{Duration, Instant};

use bytes::Bytes;
use coltsfootport_core::id::ServiceName;
use coltsfootport_core::mesh::{Refusal, Repeat};
use http::{HeaderMap, StatusCode};
use smol_str::SmolStr;
use tokio::sync::mpsc;

use crate::h1::RequestHead;

/// Body bytes that are held whole, so that the request can be sent again and the answer be checked before it is passed on.
pub const HELD_BODY: usize = 64 * 1024;

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

    /// The body again, where it is held.
    pub fn again(&self) -> Option<Self> {
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
    /// The only instance that may run it.
    pub instance: SmolStr,
    /// Urgency of the request from outside that it serves.
    pub rank: u8,
    /// Whether a run waits for it.
    pub inner: bool,
    /// When the request from outside that it serves entered the mesh.
    pub began: Instant,
    /// How often it may run.
    pub repeat: Repeat,
    /// When nobody waits for it any more.
    pub deadline: Instant,
    /// Longest wait for its target that it should take; expected to wait longer, it is refused at once.
    pub patience: Duration,
    /// Service of the machine where it began.
    pub origin: ServiceName,
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
    /// Highest level of overload met by this request, from 0.
    pub level: f64,
    /// Whether the host is about to stop.
    pub stopping: bool,
    /// Arrivals that this run caused, by service.
    pub below: Vec<(ServiceName, u32)>,
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
