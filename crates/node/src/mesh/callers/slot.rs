//! The place of one answer in the order of a connection.

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};

use tokio::sync::oneshot;

use super::open_request::OpenRequestGuard;
use crate::mesh::call::CallerAnswer;

/// Where the answer to one request will come from.
#[derive(Debug)]
pub struct Slot {
    /// The answer.
    pub answer: oneshot::Receiver<CallerAnswer>,
    /// Whether the caller takes further answers on this connection.
    pub keep_alive: bool,
    /// Whether the caller understands chunks.
    pub takes_chunks: bool,
    /// Whether only a head is sent back.
    pub head_only: bool,
    /// Counts the request until its answer is written.
    pub open: OpenRequestGuard,
}

/// What the two halves of a connection know of each other.
#[derive(Debug, Default)]
pub struct Shared {
    read: AtomicU64,
    written: AtomicU64,
    closing: AtomicBool,
}

impl Shared {
    /// A request was read; `false` where the connection's last answer has been decided before, so that it must not run.
    pub fn begin(&self) -> bool {
        if self.closing.load(Ordering::SeqCst) {
            return false;
        }
        self.read.fetch_add(1, Ordering::SeqCst);
        true
    }

    /// An answer was written.
    pub fn written(&self) {
        self.written.fetch_add(1, Ordering::SeqCst);
    }

    /// Requests that were read and not answered yet.
    pub fn pending(&self) -> u64 {
        let written = self.written.load(Ordering::SeqCst);
        self.read.load(Ordering::SeqCst).saturating_sub(written)
    }

    /// Ends the connection with the next answer, if no further request has been read. A caller sends what stands behind a
    /// closing answer again; a request that runs already would run for nobody.
    pub fn close_after_next(&self) -> bool {
        if self.pending() > 1 {
            return false;
        }
        self.closing.store(true, Ordering::SeqCst);
        true
    }

    /// Ends the connection whatever has been read.
    pub fn close(&self) {
        self.closing.store(true, Ordering::SeqCst);
    }

    /// Whether nothing more is read.
    pub fn is_closing(&self) -> bool {
        self.closing.load(Ordering::SeqCst)
    }
}
