//! Channel that carries a streamed body from the task that receives it to the task that sends it on.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use bytes::Bytes;
use tokio::sync::mpsc;
use tokio::sync::mpsc::error::SendError;

use super::controller::AnswerGuard;
use super::held_bytes::{Account, Held, STREAM_BYTES};

/// Number of chunks of a streamed body that are queued between two tasks. With chunks of 16 KiB, a body occupies at
/// most 64 KiB.
const CAPACITY: usize = 4;

/// Error for a body that ended early or was reset.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the body was truncated")]
pub struct BodyTruncated;

/// Creates the two ends of a channel for one body, which is held for `account`.
pub fn body_channel(account: &Account) -> (BodySender, BodyReceiver) {
    let (tx, rx) = mpsc::channel(CAPACITY);
    let is_complete = Arc::new(AtomicBool::new(false));
    let sender = BodySender {
        tx,
        is_complete: Arc::clone(&is_complete),
    };
    let receiver = BodyReceiver {
        rx,
        is_complete,
        guards: Vec::new(),
        left: None,
        _held: account.hold(STREAM_BYTES),
    };
    (sender, receiver)
}

/// Sending end. Unless [`BodySender::finish`] is called, the receiver sees a truncated body, however the sender is
/// dropped. A target must not run the first part of a body as if it were all of it.
#[derive(Debug)]
pub struct BodySender {
    tx: mpsc::Sender<Bytes>,
    is_complete: Arc<AtomicBool>,
}

impl BodySender {
    /// Sends a chunk.
    ///
    /// # Errors
    ///
    /// The receiver has been dropped.
    pub async fn send(&self, chunk: Bytes) -> Result<(), SendError<Bytes>> {
        self.tx.send(chunk).await
    }

    /// Waits for room for one chunk.
    ///
    /// # Errors
    ///
    /// The receiver has been dropped.
    pub async fn reserve(&self) -> Result<mpsc::Permit<'_, Bytes>, SendError<()>> {
        self.tx.reserve().await
    }

    /// Resolves when the receiver has been dropped.
    pub async fn closed(&self) {
        self.tx.closed().await;
    }

    /// Marks the body as complete.
    pub fn finish(self) {
        self.is_complete.store(true, Ordering::Release);
    }
}

/// Receiving end.
#[derive(Debug)]
pub struct BodyReceiver {
    rx: mpsc::Receiver<Bytes>,
    is_complete: Arc<AtomicBool>,
    guards: Vec<AnswerGuard>,
    /// Bytes still to be received; `None` if the length was not announced.
    left: Option<u64>,
    _held: Held,
}

impl BodyReceiver {
    /// Adds a guard to a body of this length. It is finished at the end of the body, and dropped if the body ends early.
    ///
    /// The last byte is the end if the length is known: a caller that has received it may close its connection, and so
    /// drop this receiver, before the sender finishes.
    pub fn guard(&mut self, guard: AnswerGuard, length: Option<u64>) {
        self.guards.push(guard);
        self.left = length;
    }

    /// Receives the next chunk; `None` at the end of the body.
    ///
    /// # Errors
    ///
    /// The sender was dropped before the end of the body.
    pub async fn recv(&mut self) -> Result<Option<Bytes>, BodyTruncated> {
        match self.rx.recv().await {
            Some(chunk) => {
                self.left = self
                    .left
                    .map(|left| left.saturating_sub(chunk.len() as u64));
                if self.left == Some(0) {
                    self.finish_guards();
                }
                Ok(Some(chunk))
            }
            None if self.is_complete.load(Ordering::Acquire) => {
                self.finish_guards();
                Ok(None)
            }
            None => Err(BodyTruncated),
        }
    }

    fn finish_guards(&mut self) {
        self.guards.drain(..).for_each(AnswerGuard::finish);
    }
}
