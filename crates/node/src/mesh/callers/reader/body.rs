//! Bodies of callers' requests.

use std::future::pending;
use std::pin::pin;
use std::sync::Arc;
use std::time::Instant;

use bytes::BytesMut;
use coltsfootport_core::mesh::{CallerLimits, Refusal};
use coltsfootport_core::quarantine::BodyDigest;
use tokio::sync::oneshot;
use tokio::task::JoinSet;
use tokio::time::timeout;

use super::{ReadEnd, Reader, ResponseSender};
use crate::h1::{BodyDecoder, Decoded, Framing, RequestHead};
use crate::mesh::body_channel::{BodySender, body_channel};
use crate::mesh::call::{Body, CallerRequest, MAX_BODY_CHUNK, MAX_BUFFERED_BODY};
use crate::mesh::callers::connection_end::ConnectionEnd;
use crate::mesh::held_bytes::Held;

impl Reader {
    /// Reads the body and starts the request. A short body is buffered first, so that the request can be retried; a
    /// long one is streamed to the running request.
    pub(super) async fn read_body(
        &mut self,
        head: RequestHead,
        framing: Framing,
        arrived: Instant,
        limits: &CallerLimits,
        tx: ResponseSender,
        tasks: &mut JoinSet<()>,
    ) -> Result<(), ReadEnd> {
        let mut decoder = BodyDecoder::new(framing);
        let mut buffered = BytesMut::new();
        let Some(mut held) = self.account.try_hold_request(&head) else {
            return Err(self.refuse(Refusal::NoMemory, tx));
        };
        let buffering = self.buffer_body(&mut decoder, &mut buffered, &mut held, limits);
        let is_complete = match buffering.await {
            Err(ReadEnd::Refused(refusal)) => return Err(self.refuse(refusal, tx)),
            buffered => buffered?,
        };
        let digest = BodyDigest::of(&buffered);
        let id = tx.id.clone();
        let account = self.account.clone();
        let req = |body| CallerRequest {
            id,
            head,
            body,
            digest,
            arrived,
            account,
        };
        self.read_available()?;
        if is_complete {
            let req = req(Body::Whole(buffered.freeze()));
            self.spawn_request(req, held, tx, pending(), tasks);
            return Ok(());
        }
        let length = match framing {
            Framing::Length(length) => Some(length),
            _ => None,
        };
        let (tx_body, rx) = body_channel(&self.account);
        let mut total = buffered.len() as u64;
        // Never blocks: the channel is empty and has capacity for several chunks.
        let _ = tx_body.send(buffered.freeze()).await;
        let (refusal_tx, refusal) = oneshot::channel();
        let refused = async {
            match refusal.await {
                Ok(refusal) => refusal,
                Err(_) => pending().await,
            }
        };
        self.spawn_request(req(Body::Stream { length, rx }), held, tx, refused, tasks);
        // Boxed, since most connections carry short bodies only and would hold the memory for it all the same.
        let streaming = self.stream_body(&mut decoder, &mut total, limits, &tx_body);
        match Box::pin(streaming).await {
            Ok(()) => tx_body.finish(),
            Err(ReadEnd::Refused(refusal)) => {
                self.shared.close();
                // Fails if the request has been answered before the end of its body.
                let _ = refusal_tx.send(refusal);
                return Err(ReadEnd::Closing);
            }
            Err(end) => return Err(end),
        }
        Ok(())
    }

    async fn buffer_body(
        &mut self,
        decoder: &mut BodyDecoder,
        buffered: &mut BytesMut,
        held: &mut Held,
        limits: &CallerLimits,
    ) -> Result<bool, ReadEnd> {
        let head_bytes = held.bytes();
        loop {
            held.resize(head_bytes + buffered.capacity());
            let limit = MAX_BUFFERED_BODY.saturating_sub(buffered.len());
            let decoded = decoder.decode_up_to(&mut self.buf, limit);
            match decoded.map_err(|_| ReadEnd::Refused(Refusal::BadRequest))? {
                Decoded::End => return Ok(true),
                Decoded::Data(data) => {
                    buffered.extend_from_slice(&data);
                    if buffered.len() as u64 > limits.body_bytes {
                        return Err(ReadEnd::Refused(Refusal::BodyTooLarge));
                    }
                    if buffered.len() >= MAX_BUFFERED_BODY && !decoder.is_done() {
                        return Ok(false);
                    }
                }
                Decoded::More => self.fill_with_timeout(limits, Refusal::BodyTimeout).await?,
            }
        }
    }

    async fn stream_body(
        &mut self,
        decoder: &mut BodyDecoder,
        total: &mut u64,
        limits: &CallerLimits,
        tx_body: &BodySender,
    ) -> Result<(), ReadEnd> {
        loop {
            let decoded = decoder.decode_up_to(&mut self.buf, MAX_BODY_CHUNK);
            let decoded = decoded.map_err(|_| ReadEnd::Refused(Refusal::BadRequest))?;
            if decoder.is_done() {
                // The target must not receive the end if the caller's close lies behind it.
                self.read_available()?;
            }
            match decoded {
                Decoded::End => return Ok(()),
                Decoded::Data(data) => {
                    *total += data.len() as u64;
                    if *total > limits.body_bytes {
                        return Err(ReadEnd::Refused(Refusal::BodyTooLarge));
                    }
                    // The channel is closed if the response came before the end of the body. The rest is then
                    // discarded, so that the connection stays usable.
                    if let Ok(permit) = self.while_connected(pin!(tx_body.reserve())).await? {
                        permit.send(data);
                    }
                }
                // 408 would promise that the request has not run, but its target has received a part of it.
                Decoded::More => self.fill_with_timeout(limits, Refusal::CallerGone).await?,
            }
        }
    }

    /// Reads a part of a body. `refusal` is the response to a request whose body stops coming.
    async fn fill_with_timeout(
        &mut self,
        limits: &CallerLimits,
        refusal: Refusal,
    ) -> Result<(), ReadEnd> {
        let shared = Arc::clone(&self.shared);
        tokio::select! {
            biased;
            filled = timeout(limits.idle_timeout, self.fill_when_room()) => match filled {
                Ok(read) => read,
                Err(_) => Err(ReadEnd::Refused(refusal)),
            },
            () = shared.evicted() => Err(ReadEnd::Ended(ConnectionEnd::Evicted)),
        }
    }
}
