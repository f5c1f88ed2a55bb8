//! Response slots and the state shared by the two halves of a caller connection.

use std::pin::pin;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use http::Method;
use smol_str::SmolStr;
use tokio::sync::{Notify, oneshot};

use super::open_response::{OpenResponse, OpenResponses, ResponseSeq};
use crate::h1::RequestHead;
use crate::mesh::call::CallerAnswer;
use crate::mesh::connection_registry::Registration;
use crate::mesh::open_request::OpenRequestGuard;

/// A pending response, queued for writing in the order of the requests.
#[derive(Debug)]
pub struct ResponseSlot {
    /// Receives the response when the request's task has finished.
    pub answer: oneshot::Receiver<CallerAnswer>,
    /// How the response is written.
    pub form: ResponseForm,
    /// Idle timeout that its caller knows.
    pub idle_timeout: Duration,
    /// Keeps the request counted as open until its response is written.
    pub open: OpenRequestGuard,
}

/// How a response is written; depends on the head of its request.
#[derive(Clone, Copy, Debug)]
pub struct ResponseForm {
    /// Whether the connection may stay open after this response.
    pub keep_alive: bool,
    /// Whether the caller accepts chunked transfer coding.
    pub takes_chunks: bool,
    /// Whether the response has no body because it answers a `HEAD` request.
    pub head_only: bool,
}

impl ResponseForm {
    /// Form of the response to a request without a usable head.
    pub const WITHOUT_HEAD: Self = Self {
        keep_alive: false,
        takes_chunks: true,
        head_only: false,
    };
}

impl From<&RequestHead> for ResponseForm {
    fn from(head: &RequestHead) -> Self {
        Self {
            keep_alive: head.keep_alive,
            takes_chunks: head.takes_chunks,
            head_only: head.method == Method::HEAD,
        }
    }
}

/// State shared by the reading and writing halves of a connection.
#[derive(Debug)]
pub struct ConnectionState {
    progress: Mutex<Progress>,
    /// Notified when a response is ready.
    ready: Notify,
    /// Notified when the last response that was due has been written.
    all_written: Notify,
    registration: Registration,
}

#[derive(Debug, Default)]
struct Progress {
    open: OpenResponses,
    /// Whether no further request may be started.
    closing: bool,
    /// Whether the response being written has announced that the connection stays open after it.
    stays_open: bool,
    /// When the latest response was written.
    written_at: Option<Instant>,
}

impl ConnectionState {
    /// Creates the state of a new connection.
    pub fn new(registration: Registration) -> Self {
        Self {
            progress: Mutex::default(),
            ready: Notify::new(),
            all_written: Notify::new(),
            registration,
        }
    }

    /// Records that a request was read. Returns `None` if the connection is closing; the request must not run then.
    ///
    /// On a stopping node, the connection closes after the last response that is due. Callers resend requests behind a
    /// closing response, while the response to a request that is started now may come too late behind others.
    pub fn record_request(&self, id: SmolStr, now: Instant, stopping: bool) -> Option<ResponseSeq> {
        let mut progress = self.progress();
        progress.closing |= stopping && progress.can_still_close();
        if progress.closing {
            return None;
        }
        if !progress.open.has_started() {
            // Requests that have not been started don't keep the connection from being evicted.
            self.registration.set_idle();
        }
        Some(progress.open.push(id, now))
    }

    /// Records that a request was started.
    pub fn record_started(&self, seq: ResponseSeq) {
        let mut progress = self.progress();
        if !progress.open.has_started() {
            self.registration.set_busy();
        }
        progress.open.set_started(seq);
    }

    /// Records that a response may be written as soon as those before it have been, and whether its request
    /// was passed on to a target.
    pub fn record_ready(&self, seq: ResponseSeq, passed_on: bool, now: Instant) {
        self.progress().open.set_ready(seq, passed_on, now);
        self.ready.notify_waiters();
    }

    /// Resolves when the response to a request that was passed on is ready behind the one with this number.
    pub async fn ready_behind(&self, seq: ResponseSeq) {
        let is_ready = || self.progress().open.is_ready_behind(seq);
        wait_until(&self.ready, is_ready).await;
    }

    /// Decides whether the connection closes after the response that is about to be written, which is the oldest one.
    /// It closes regardless of other requests if it `must_close`, and after the last response that is due if it
    /// `may_close` or is closing already.
    pub fn begin_response(&self, must_close: bool, may_close: bool) -> bool {
        let mut progress = self.progress();
        let is_last_due = progress.open.len() <= 1;
        progress.closing |= must_close || (may_close && is_last_due);
        let is_last = must_close || (progress.closing && is_last_due);
        progress.stays_open = !is_last;
        is_last
    }

    /// Records that a response was written, and returns it.
    pub fn record_response(&self, now: Instant) -> Option<OpenResponse> {
        let mut progress = self.progress();
        progress.stays_open = false;
        progress.written_at = Some(now);
        let written = progress.open.pop()?;
        if !progress.open.has_started() {
            self.registration.set_idle();
        }
        if progress.open.is_empty() {
            self.all_written.notify_waiters();
        }
        Some(written)
    }

    /// Resolves when no response is due.
    pub async fn all_written(&self) {
        wait_until(&self.all_written, || self.pending() == 0).await;
    }

    /// Returns the requests that were read and have no complete response yet, oldest first.
    pub fn unanswered(&self) -> Vec<OpenResponse> {
        self.progress().open.to_vec()
    }

    /// Whether the connection should be closed after its next response to make room for others.
    pub fn is_crowded(&self) -> bool {
        self.registration.is_crowded()
    }

    /// Resolves when the connection should be closed because it has been idle for longer than others.
    pub async fn evicted(&self) {
        self.registration.evicted().await;
    }

    /// Keeps the connection from being closed to make room for others, until it has been idle for longer than they have.
    /// Returns `false` if it has to be closed.
    pub fn defer_eviction(&self) -> bool {
        self.registration.defer_eviction()
    }

    /// When the latest response was written, if there was one.
    pub fn written_at(&self) -> Option<Instant> {
        self.progress().written_at
    }

    /// Number of requests that were read and have no complete response yet.
    pub fn pending(&self) -> usize {
        self.progress().open.len()
    }

    /// When the oldest request without a complete response was read.
    pub fn oldest(&self) -> Option<Instant> {
        self.progress().open.front().map(|oldest| oldest.read_at)
    }

    /// Closes the connection after the last response that is due. No further request is started.
    pub fn close(&self) {
        self.progress().closing = true;
    }

    /// Whether no further request may be started.
    pub fn is_closing(&self) -> bool {
        self.progress().closing
    }

    fn progress(&self) -> MutexGuard<'_, Progress> {
        self.progress.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Progress {
    /// Whether a response is due that can still announce the end of the connection.
    fn can_still_close(&self) -> bool {
        self.open.len() > usize::from(self.stays_open)
    }
}

/// Resolves when `is_reached` holds, which is checked again with each notification.
async fn wait_until<F>(notify: &Notify, is_reached: F)
where
    F: Fn() -> bool,
{
    loop {
        let mut notified = pin!(notify.notified());
        // Registers for notifications before the check, so that none is missed.
        notified.as_mut().enable();
        if is_reached() {
            return;
        }
        notified.await;
    }
}
