//! Reading half of a caller connection.

mod body;
mod head;
mod input;

use std::pin::pin;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::BytesMut;
use coltsfootport_core::mesh::{CallerLimits, Refusal};
use smol_str::SmolStr;
use tokio::net::tcp::OwnedReadHalf;
use tokio::sync::{mpsc, oneshot};
use tokio::task::JoinSet;
use tokio::time::timeout;

use self::input::SMALL_READ;
use super::connection_end::ConnectionEnd;
use super::listener::CallersConfig;
use super::open_response::ResponseSeq;
use super::slot::{ConnectionState, ResponseForm, ResponseSlot};
use crate::h1::{Framing, request_framing};
use crate::mesh::call::{CallerAnswer, CallerRequest};
use crate::mesh::entry::text_header;
use crate::mesh::held_bytes::{Account, Held};
use crate::mesh::open_request::OpenRequestGuard;

/// Longest time for which input is read and discarded after the last response. Closing a socket with unread input
/// resets the connection, and the caller may lose the response that it has not read yet.
const LINGER_TIMEOUT: Duration = Duration::from_millis(500);

/// Reads requests and spawns a task for each of them.
pub struct Reader {
    read: OwnedReadHalf,
    buf: BytesMut,
    /// Size of the next read in bytes.
    next_read: usize,
    /// What is held for the connection.
    account: Account,
    /// Bytes held for `buf`.
    input: Held,
    shared: Arc<ConnectionState>,
    cfg: CallersConfig,
}

/// Why no further request is read.
enum ReadEnd {
    /// The connection ends at once.
    Ended(ConnectionEnd),
    /// The connection closes after the last response that is due; a request read since must not run.
    Closing,
    /// The request is unusable. The refusal is its response and the last one of the connection.
    Refused(Refusal),
}

/// Passes the response to a request on to the writer.
struct ResponseSender {
    answer: oneshot::Sender<CallerAnswer>,
    seq: ResponseSeq,
    /// Id of the request; empty if the caller sent none.
    id: SmolStr,
}

const fn caller_left() -> ReadEnd {
    ReadEnd::Ended(ConnectionEnd::CallerLeft)
}

impl Reader {
    /// Creates the reader of a new connection.
    pub fn new(
        read: OwnedReadHalf,
        shared: Arc<ConnectionState>,
        account: Account,
        cfg: CallersConfig,
    ) -> Self {
        Self {
            read,
            buf: BytesMut::new(),
            next_read: SMALL_READ,
            input: account.hold(0),
            account,
            shared,
            cfg,
        }
    }

    /// Reads requests until the connection ends. After the last request it keeps reading and discards the input, to
    /// detect a caller that disconnects before its response.
    pub async fn run(
        &mut self,
        slots: mpsc::Sender<ResponseSlot>,
        tasks: &mut JoinSet<()>,
    ) -> ConnectionEnd {
        if let ReadEnd::Ended(end) = self.read_requests(&slots, tasks).await {
            return end;
        }
        // The writer closes the connection after the last response that is due.
        drop(slots);
        self.drain().await
    }

    async fn read_requests(
        &mut self,
        slots: &mpsc::Sender<ResponseSlot>,
        tasks: &mut JoinSet<()>,
    ) -> ReadEnd {
        loop {
            // Finished tasks hold memory until they are joined.
            while tasks.try_join_next().is_some() {}
            let limits = *self.cfg.limits.borrow();
            match self.read_request(&limits, slots, tasks).await {
                Ok(()) if self.shared.is_closing() => return ReadEnd::Closing,
                Ok(()) => {}
                Err(ReadEnd::Refused(refusal)) => {
                    let now = self.cfg.entry.clock.now();
                    let form = ResponseForm::WITHOUT_HEAD;
                    let queued = self.queue_slot(SmolStr::default(), form, now, &limits, slots);
                    return match queued.await {
                        Ok(tx) => self.refuse(refusal, tx),
                        Err(end) => end,
                    };
                }
                Err(end) => return end,
            }
        }
    }

    /// Discards input after the last response, for at most [`LINGER_TIMEOUT`], or until the connection is evicted.
    pub async fn linger(&mut self) {
        let _guard = OpenRequestGuard::new(&self.cfg.open_requests);
        let shared = Arc::clone(&self.shared);
        // The connection is closed in any case.
        tokio::select! {
            _ = timeout(LINGER_TIMEOUT, self.drain()) => {}
            () = shared.evicted() => {}
        }
    }

    /// Discards input until the caller closes the connection.
    async fn drain(&mut self) -> ConnectionEnd {
        loop {
            self.buf.clear();
            if self.fill().await.is_err() {
                return ConnectionEnd::CallerLeft;
            }
        }
    }

    async fn read_request(
        &mut self,
        limits: &CallerLimits,
        slots: &mpsc::Sender<ResponseSlot>,
        tasks: &mut JoinSet<()>,
    ) -> Result<(), ReadEnd> {
        self.wait_for_room().await?;
        let head = self.read_head(limits).await?;
        let arrived = self.cfg.entry.clock.now();
        let framing =
            request_framing(&head.headers).map_err(|_| ReadEnd::Refused(Refusal::BadRequest))?;
        if matches!(framing, Framing::Length(length) if length > limits.body_bytes) {
            return Err(ReadEnd::Refused(Refusal::BodyTooLarge));
        }
        let id = text_header(&head.headers, self.cfg.entry.dialect.request_id);
        let form = ResponseForm::from(&head);
        let tx = self.queue_slot(id, form, arrived, limits, slots).await?;
        if !form.keep_alive {
            self.shared.close();
        }
        self.read_body(head, framing, arrived, limits, tx, tasks)
            .await?;
        if form.keep_alive && !form.takes_chunks {
            // A response of unknown length ends with the connection. Callers resend what was not started behind it.
            let shared = Arc::clone(&self.shared);
            self.while_connected(pin!(shared.all_written())).await?;
        }
        Ok(())
    }

    /// Queues the place of a response. Blocks while the maximum number of pipelined requests is pending.
    async fn queue_slot(
        &mut self,
        id: SmolStr,
        form: ResponseForm,
        now: Instant,
        limits: &CallerLimits,
        slots: &mpsc::Sender<ResponseSlot>,
    ) -> Result<ResponseSender, ReadEnd> {
        let stopping = self.cfg.shutdown.is_stopping();
        let seq = self.shared.record_request(id.clone(), now, stopping);
        let seq = seq.ok_or(ReadEnd::Closing)?;
        let (answer, rx) = oneshot::channel();
        let slot = ResponseSlot {
            answer: rx,
            form,
            idle_timeout: limits.idle_timeout,
            open: OpenRequestGuard::new(&self.cfg.open_requests),
        };
        let permit = self.while_connected(pin!(slots.reserve())).await?;
        permit.map_err(|_| caller_left())?.send(slot);
        Ok(ResponseSender { answer, seq, id })
    }

    /// Starts a request. It is abandoned and refused when `refused` resolves, because its body is unusable.
    fn spawn_request<F>(
        &self,
        req: CallerRequest,
        held: Held,
        tx: ResponseSender,
        refused: F,
        tasks: &mut JoinSet<()>,
    ) where
        F: Future<Output = Refusal> + Send + 'static,
    {
        let entry = self.cfg.entry.clone();
        let shared = Arc::clone(&self.shared);
        shared.record_started(tx.seq);
        tasks.spawn(async move {
            let answer = tokio::select! {
                biased;
                refusal = refused => entry.refuse(refusal.into(), &tx.id, None),
                answer = entry.serve(req, shared.ready_behind(tx.seq)) => answer,
            };
            drop(held);
            shared.record_ready(tx.seq, answer.passed_on, entry.clock.now());
            // Fails if the caller has disconnected and the writer has stopped.
            let _ = tx.answer.send(answer);
        });
    }

    /// Refuses a request that has not been started; nothing is read behind it.
    fn refuse(&self, refusal: Refusal, tx: ResponseSender) -> ReadEnd {
        let answer = self.cfg.entry.refuse(refusal.into(), &tx.id, None);
        self.shared.close();
        let now = self.cfg.entry.clock.now();
        self.shared.record_ready(tx.seq, false, now);
        // Fails if the writer has stopped.
        let _ = tx.answer.send(answer);
        ReadEnd::Closing
    }
}
