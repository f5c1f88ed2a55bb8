//! Response slots and the state shared by the two halves of a caller connection.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Instant;

use smol_str::SmolStr;
use tokio::sync::oneshot;

use super::open_response::{OpenResponse, OpenResponses, ResponseSeq};
use super::registry::Registration;
use crate::mesh::call::CallerAnswer;
use crate::mesh::open_request::OpenRequestGuard;

/// A pending response, queued for writing in the order of the requests.
#[derive(Debug)]
pub struct ResponseSlot {
    /// Receives the response when the request's task has finished.
    pub answer: oneshot::Receiver<CallerAnswer>,
    /// Whether the connection may stay open after this response.
    pub keep_alive: bool,
    /// Whether the caller accepts chunked transfer coding.
    pub takes_chunks: bool,
    /// Whether the response has no body because it answers a `HEAD` request.
    pub head_only: bool,
    /// Keeps the request counted as open until its response is written.
    pub open: OpenRequestGuard,
}

/// State shared by the reading and writing halves of a connection.
#[derive(Debug)]
pub struct ConnectionState {
    open: Mutex<OpenResponses>,
    closing: AtomicBool,
    registration: Registration,
}

impl ConnectionState {
    /// Creates the state of a new connection.
    pub fn new(registration: Registration) -> Self {
        Self {
            open: Mutex::default(),
            closing: AtomicBool::new(false),
            registration,
        }
    }

    /// Records that a request was read. Returns `None` if the connection is closing; the request must not run then.
    pub fn record_request(&self, id: SmolStr, now: Instant) -> Option<ResponseSeq> {
        if self.closing.load(Ordering::SeqCst) {
            return None;
        }
        let mut open = self.open();
        if open.is_empty() {
            self.registration.set_busy();
        }
        Some(open.push(id, now))
    }

    /// Records that a response may be written as soon as those before it have been.
    pub fn record_ready(&self, seq: ResponseSeq, now: Instant) {
        self.open().set_ready(seq, now);
    }

    /// Records that a response was written, and returns it.
    pub fn record_response(&self) -> Option<OpenResponse> {
        let mut open = self.open();
        let written = open.pop()?;
        if open.is_empty() {
            self.registration.set_idle();
        }
        Some(written)
    }

    /// Returns the requests that were read and have no complete response yet, oldest first.
    pub fn unanswered(&self) -> Vec<OpenResponse> {
        self.open().to_vec()
    }

    /// Whether the connection should be closed after its next response to make room for others.
    pub fn is_crowded(&self) -> bool {
        self.registration.is_crowded()
    }

    /// Resolves when the connection should be closed because it has been idle for longer than others.
    pub async fn evicted(&self) {
        self.registration.evicted().await;
    }

    /// Number of requests that were read and have no complete response yet.
    pub fn pending(&self) -> usize {
        self.open().len()
    }

    /// When the oldest request without a complete response was read.
    pub fn oldest(&self) -> Option<Instant> {
        self.open().front().map(|oldest| oldest.read_at)
    }

    /// Marks the connection as closing after the next response, unless further requests have been read. Callers resend
    /// requests pipelined behind a closing response, so the result of one that already runs would be discarded.
    pub fn try_close_after_next(&self) -> bool {
        if self.pending() > 1 {
            return false;
        }
        self.closing.store(true, Ordering::SeqCst);
        true
    }

    /// Marks the connection as closing, regardless of pending requests.
    pub fn close(&self) {
        self.closing.store(true, Ordering::SeqCst);
    }

    /// Whether no further request may be started.
    pub fn is_closing(&self) -> bool {
        self.closing.load(Ordering::SeqCst)
    }

    fn open(&self) -> MutexGuard<'_, OpenResponses> {
        self.open.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
