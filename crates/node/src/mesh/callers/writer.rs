//! The writing half of a caller's connection.

use std::io;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::header::{CONNECTION, HeaderValue};
use socket2::SockRef;
use tokio::io::AsyncWriteExt;
use tokio::net::tcp::OwnedWriteHalf;
use tokio::sync::{mpsc, watch};

use super::slot::{ConnectionState, ResponseSlot};
use crate::h1::{Framing, LAST_CHUNK, answer_head, chunk};
use crate::mesh::call::{Body, BodyTruncated, CallerAnswer};

/// Writes answers in the order of their requests.
pub struct Writer {
    write: OwnedWriteHalf,
    shared: Arc<ConnectionState>,
    stopping: watch::Receiver<bool>,
}

/// Why the connection can't go on.
enum Fault {
    Io,
    CutShort,
}

impl From<io::Error> for Fault {
    fn from(_: io::Error) -> Self {
        Self::Io
    }
}

impl From<BodyTruncated> for Fault {
    fn from(_: BodyTruncated) -> Self {
        Self::CutShort
    }
}

impl Writer {
    /// A writer at the beginning of a connection.
    pub fn new(
        write: OwnedWriteHalf,
        shared: Arc<ConnectionState>,
        stopping: watch::Receiver<bool>,
    ) -> Self {
        Self {
            write,
            shared,
            stopping,
        }
    }

    /// Writes answers until the last one, or until one can't be written whole.
    pub async fn run(mut self, mut slots: mpsc::Receiver<ResponseSlot>) {
        while let Some(slot) = slots.recv().await {
            let ResponseSlot {
                answer,
                keep_alive,
                takes_chunks,
                head_only,
                open,
            } = slot;
            // The request's task has ended without an answer only if the whole connection is ending.
            let Ok(answer) = answer.await else {
                return;
            };
            let last = !keep_alive || answer.close || self.ends_here();
            if last && (answer.close || !keep_alive) {
                self.shared.close();
            }
            let framing = framing(&answer.body, takes_chunks);
            let last = last || framing == Framing::UntilClose;
            match self.answer(answer, framing, last, head_only).await {
                Ok(()) => {
                    self.shared.record_response();
                    drop(open);
                }
                Err(Fault::CutShort) if framing == Framing::UntilClose => return self.reset(),
                Err(Fault::Io | Fault::CutShort) => return,
            }
            if last {
                // The other half of the connection stays open a little: see Reader::linger.
                let _ = self.write.shutdown().await;
                return;
            }
        }
        // Everything that was read has its answer.
        let _ = self.write.shutdown().await;
    }

    /// Ends the connection by a reset. For a caller that knows no chunks the end of the connection is the end of the answer,
    /// so that a part would look whole.
    fn reset(self) {
        let socket = SockRef::from(self.write.as_ref());
        // Where it can't be set the connection is broken already.
        let _ = socket.set_linger(Some(Duration::ZERO));
        // Dropped, this half would end the connection in order; the other half closes it with the reset.
        self.write.forget();
    }

    /// A node that is about to stop ends each connection with an answer behind which nothing has been read.
    fn ends_here(&self) -> bool {
        *self.stopping.borrow() && self.shared.try_close_after_next()
    }

    async fn answer(
        &mut self,
        mut answer: CallerAnswer,
        framing: Framing,
        last: bool,
        head_only: bool,
    ) -> Result<(), Fault> {
        if last && framing != Framing::UntilClose {
            answer
                .headers
                .insert(CONNECTION, HeaderValue::from_static("close"));
        }
        let mut buf = answer_head(answer.status, &answer.headers, framing);
        match answer.body {
            Body::Whole(bytes) => {
                if !head_only {
                    buf.extend_from_slice(&bytes);
                }
                self.write.write_all(&buf).await?;
            }
            Body::Stream { mut rx, .. } => {
                self.write.write_all(&buf).await?;
                while let Some(piece) = rx.recv().await {
                    // Cut short, the connection is closed within the body, so that the part does not look whole.
                    self.piece(piece?, framing).await?;
                }
                if framing == Framing::Chunked {
                    self.write.write_all(LAST_CHUNK).await?;
                }
            }
        }
        Ok(())
    }

    async fn piece(&mut self, bytes: Bytes, framing: Framing) -> Result<(), Fault> {
        match framing {
            Framing::Chunked if bytes.is_empty() => {}
            Framing::Chunked => self.write.write_all(&chunk(&bytes)).await?,
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
