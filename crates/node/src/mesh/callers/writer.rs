//! Writing half of a caller connection.

use std::io;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::time::{Duration, Instant};

use bytes::Bytes;
use coltsfootport_core::mesh::CallerLimits;
use http::header::{CONNECTION, HeaderValue};
use socket2::SockRef;
use tokio::io::AsyncWriteExt;
use tokio::net::tcp::OwnedWriteHalf;
use tokio::sync::oneshot::error::RecvError;
use tokio::sync::{mpsc, oneshot, watch};
use tokio::time::timeout;

use super::chunk_deadline::ChunkDeadline;
use super::connection_end::ConnectionEnd;
use super::sent::wait_until_sent;
use super::slot::{ConnectionState, ResponseSlot};
use crate::clock::SharedClock;
use crate::h1::{Framing, LAST_CHUNK, encode_chunk, encode_response_head};
use crate::mesh::body_channel::{BodyReceiver, BodyTruncated};
use crate::mesh::call::{Body, CallerAnswer};
use crate::mesh::journal::Journal;
use crate::mesh::open_request::OpenRequestGuard;
use crate::mesh::shutdown::ShutdownWatch;

/// Writes responses in request order.
pub struct Writer {
    /// Writing half of the connection.
    pub write: OwnedWriteHalf,
    /// State shared with the reading half.
    pub shared: Arc<ConnectionState>,
    /// Limits on what callers may send and how long they may take.
    pub limits: watch::Receiver<CallerLimits>,
    /// Idle timeout when the latest request was read.
    pub idle_timeout: Duration,
    /// Progress of the node's shutdown.
    pub shutdown: ShutdownWatch,
    /// Number of open requests; see [`OpenRequestGuard`].
    pub open_requests: Arc<AtomicUsize>,
    /// Clock.
    pub clock: SharedClock,
    /// Journal in which stalled responses are logged.
    pub journal: Journal,
}

/// Why a response could not be written completely.
enum WriteError {
    Io,
    BodyTruncated,
}

impl From<io::Error> for WriteError {
    fn from(_: io::Error) -> Self {
        Self::Io
    }
}

impl From<BodyTruncated> for WriteError {
    fn from(_: BodyTruncated) -> Self {
        Self::BodyTruncated
    }
}

impl Writer {
    /// Writes responses until the connection's last one, or until one can't be written completely.
    pub async fn run(mut self, mut slots: mpsc::Receiver<ResponseSlot>) -> ConnectionEnd {
        while let Some(slot) = self.next_slot(&mut slots).await {
            let ResponseSlot {
                answer,
                form,
                idle_timeout,
                open,
            } = slot;
            self.idle_timeout = idle_timeout;
            // A request task ends without a response only when the whole connection is being torn down.
            let Ok(answer) = self.wait_for(answer).await else {
                return ConnectionEnd::TaskFailed;
            };
            let framing = framing(&answer.body, form.takes_chunks);
            let must_close = !form.keep_alive || framing == Framing::UntilClose;
            let may_close = self.shutdown.is_stopping() || self.shared.is_crowded();
            let last = self.shared.begin_response(must_close, may_close);
            match self
                .write_answer(answer, framing, last, form.head_only)
                .await
            {
                Ok(()) => {
                    let now = self.clock.now();
                    if let Some(written) = self.shared.record_response(now) {
                        self.journal.response_written(&written, now);
                    }
                    if last {
                        self.finish_sending().await;
                    }
                    drop(open);
                }
                Err(WriteError::BodyTruncated) if framing == Framing::UntilClose => {
                    self.reset();
                    return ConnectionEnd::ResponseTruncated;
                }
                Err(WriteError::BodyTruncated) => return ConnectionEnd::ResponseTruncated,
                Err(WriteError::Io) => return ConnectionEnd::WriteFailed,
            }
            if last {
                // The reading half stays open for a while; see Reader::linger.
                let _ = self.write.shutdown().await;
                return ConnectionEnd::Complete;
            }
        }
        // No further request is read, and all those that were have been answered.
        self.finish_sending().await;
        let _ = self.write.shutdown().await;
        ConnectionEnd::Complete
    }

    /// Waits for a response. Logs the responses that are ready behind it when the grace period is nearly over.
    async fn wait_for(
        &self,
        mut answer: oneshot::Receiver<CallerAnswer>,
    ) -> Result<CallerAnswer, RecvError> {
        tokio::select! {
            biased;
            answer = &mut answer => return answer,
            () = self.shutdown.grace_over() => {}
        }
        for open in self.shared.unanswered() {
            if open.ready_at.is_some() {
                self.journal.held_back(&open, self.clock.now());
            }
        }
        answer.await
    }

    /// Waits for the next response that is due. A stopping node counts the connection as open until what was written on
    /// it before has been sent.
    async fn next_slot(&self, slots: &mut mpsc::Receiver<ResponseSlot>) -> Option<ResponseSlot> {
        tokio::select! {
            biased;
            slot = slots.recv() => return slot,
            () = self.shutdown.stopping() => {}
        }
        let open = OpenRequestGuard::new(&self.open_requests);
        tokio::select! {
            biased;
            slot = slots.recv() => return slot,
            () = self.finish_sending() => drop(open),
        }
        slots.recv().await
    }

    /// Waits until all responses have been sent, for at most the longer one of the idle timeouts that the caller may know.
    async fn finish_sending(&self) {
        let limit = self.idle_timeout.max(self.limits.borrow().idle_timeout);
        // The connection may be closed in either case.
        let _ = timeout(limit, wait_until_sent(self.write.as_ref())).await;
    }

    /// Aborts the connection with a TCP reset. Without chunked coding a close marks the end of the body, so that after
    /// an orderly close a truncated response would look complete.
    fn reset(self) {
        let socket = SockRef::from(self.write.as_ref());
        // If this fails, the connection is already broken.
        let _ = socket.set_linger(Some(Duration::ZERO));
        // Dropping this half would shut the connection down in order; closing the other half sends the reset.
        self.write.forget();
    }

    async fn write_answer(
        &mut self,
        answer: CallerAnswer,
        framing: Framing,
        last: bool,
        head_only: bool,
    ) -> Result<(), WriteError> {
        let CallerAnswer {
            id,
            deadline,
            status,
            mut headers,
            body,
            held: _held,
            ..
        } = answer;
        if last && framing != Framing::UntilClose {
            headers.insert(CONNECTION, HeaderValue::from_static("close"));
        }
        let mut buf = encode_response_head(status, &headers, framing);
        match body {
            Body::Whole(bytes) => {
                if !head_only {
                    buf.extend_from_slice(&bytes);
                }
                drop(bytes);
                self.write.write_all(&buf).await?;
            }
            Body::Stream { rx, .. } => {
                self.write.write_all(&buf).await?;
                self.write_stream(rx, framing, &id, deadline).await?;
            }
        }
        Ok(())
    }

    /// Writes a streamed body. A truncated one closes the connection before its end, so that the caller detects it.
    async fn write_stream(
        &mut self,
        mut rx: BodyReceiver,
        framing: Framing,
        id: &str,
        deadline: Option<Instant>,
    ) -> Result<(), WriteError> {
        let mut limit = deadline.map(|deadline| ChunkDeadline::new(deadline, self.clock.now()));
        while let Some(chunk) = self.next_chunk(&mut rx, id, limit).await? {
            let received_at = self.clock.now();
            self.write_chunk(chunk, framing).await?;
            if let Some(limit) = &mut limit {
                limit.extend(self.clock.now().saturating_duration_since(received_at));
            }
        }
        if framing == Framing::Chunked {
            self.write.write_all(LAST_CHUNK).await?;
        }
        Ok(())
    }

    async fn next_chunk(
        &self,
        rx: &mut BodyReceiver,
        id: &str,
        limit: Option<ChunkDeadline>,
    ) -> Result<Option<Bytes>, BodyTruncated> {
        let Some(limit) = limit else {
            return rx.recv().await;
        };
        match timeout(limit.wait(self.clock.now()), rx.recv()).await {
            Ok(received) => received,
            Err(_) => {
                self.journal.response_stalled(id);
                Err(BodyTruncated)
            }
        }
    }

    async fn write_chunk(&mut self, bytes: Bytes, framing: Framing) -> Result<(), WriteError> {
        match framing {
            Framing::Chunked if bytes.is_empty() => {}
            Framing::Chunked => self.write.write_all(&encode_chunk(&bytes)).await?,
            _ => self.write.write_all(&bytes).await?,
        }
        Ok(())
    }
}

fn framing(body: &Body, takes_chunks: bool) -> Framing {
    match body {
        Body::Whole(bytes) => Framing::Length(bytes.len() as u64),
        Body::Stream {
            length: Some(length),
            ..
        } => Framing::Length(*length),
        Body::Stream { length: None, .. } if takes_chunks => Framing::Chunked,
        Body::Stream { length: None, .. } => Framing::UntilClose,
    }
}
