//! A connection to a peer.

use std::time::Duration;

use bytes::Bytes;
use coltsfootport_core::id::NodeName;
use quinn::{Connection, VarInt};

use super::PeerIdentity;
use crate::data::{Call, Reply};
use crate::metrics::Metrics;
use crate::recorder::Recorder;
use crate::wire::{
    CallFrame, ControlReply, ControlRequest, FrameError, PeerReply, PeerRequest, ReplyFrame,
    read_body, read_head, write_frame,
};

/// Size limits in bytes of frames read from a peer.
#[derive(Clone, Copy, Debug)]
pub struct FrameLimits {
    /// Largest accepted frame head.
    pub head: usize,
    /// Largest accepted body.
    pub body: usize,
}

/// A connection to a peer; cheap to clone.
#[derive(Clone, Debug)]
pub struct Link {
    connection: Connection,
    /// Node that this node connected to; `None` if the peer opened the connection.
    node: Option<NodeName>,
    limits: FrameLimits,
    metrics: Metrics,
}

/// Why a call or control request to a peer failed.
#[derive(Debug, thiserror::Error)]
pub enum LinkError {
    /// No stream could be opened, so nothing was sent.
    #[error("peer unreachable")]
    NotSent,
    /// The request may have been sent, but no complete valid reply was received.
    #[error("no valid reply from the peer: {0}")]
    Lost(#[from] FrameError),
}

impl Link {
    /// Wraps an open connection. `node` is the node whose certificate was required, if this node opened the connection.
    pub fn new(
        connection: Connection,
        node: Option<NodeName>,
        limits: FrameLimits,
        metrics: Metrics,
    ) -> Self {
        Self {
            connection,
            node,
            limits,
            metrics,
        }
    }

    /// Returns whether the connection has been closed by either end or has timed out.
    pub fn is_closed(&self) -> bool {
        self.connection.close_reason().is_some()
    }

    /// Returns the identity of the peer, or `None` if it presented no certificate.
    pub fn identity(&self) -> Option<PeerIdentity> {
        PeerIdentity::of(&self.connection)
    }

    /// Closes the connection.
    pub fn close(&self) {
        self.connection.close(VarInt::from_u32(0), b"closed");
    }

    /// Sends a call and waits for the complete reply. Dropping the future cancels the call at the host.
    pub async fn call(&self, call: &Call, recorder: &Recorder) -> Result<Reply, LinkError> {
        let exchange = self.exchange_call(call, recorder);
        tokio::pin!(exchange);
        let mut received = self.datagrams_received();
        loop {
            tokio::select! {
                done = &mut exchange => return done.inspect_err(|e| self.count_rejection(e)),
                () = tokio::time::sleep(PING_AFTER_SILENCE) => {}
            }
            if !self.is_alive(received).await {
                self.close();
                return Err(LinkError::Lost(FrameError::Truncated));
            }
            received = self.datagrams_received();
        }
    }

    async fn exchange_call(&self, call: &Call, recorder: &Recorder) -> Result<Reply, LinkError> {
        let (mut tx, mut rx) = self
            .connection
            .open_bi()
            .await
            .map_err(|_| LinkError::NotSent)?;
        let stamp = recorder.stamp();
        let frame = CallFrame::new(call, stamp, recorder.now());
        let head = PeerRequest::Call(Box::new(frame));
        write_frame(&mut tx, &head, call.body.clone()).await?;
        let head = read_head(&mut rx, self.limits.head).await?;
        let PeerReply::Call(frame) = head.value else {
            return Err(FrameError::Malformed.into());
        };
        self.validate_reply(&frame, call)?;
        recorder.observe(frame.stamp);
        let body = read_body(&mut rx, frame.body_len, self.limits.body).await?;
        Ok(frame.into_reply(body)?)
    }

    /// Rejects a reply that does not belong to this call or to the connected node.
    ///
    /// Without these checks a faulty or malicious host could have its answer accepted for another call, return more allowance
    /// than it was granted, or report another node as leaving, whose instance would then receive no calls.
    fn validate_reply(&self, frame: &ReplyFrame, call: &Call) -> Result<(), FrameError> {
        let sent_report = |node: &NodeName| node.0 == frame.report.node;
        if !self.node.as_ref().is_none_or(sent_report) {
            return Err(FrameError::SenderMismatch);
        }
        if frame.attempt != call.attempt.0 || frame.allowance_left > call.allowance {
            return Err(FrameError::ReplyMismatch);
        }
        Ok(())
    }

    /// Counts an invalid reply in the metrics of rejected input.
    fn count_rejection(&self, e: &LinkError) {
        if let LinkError::Lost(e) = e
            && let Some(what) = e.rejected()
        {
            self.metrics.faults.record_rejected(what);
        }
    }

    /// Returns whether datagrams have arrived since the count was `received`, or the peer answers a ping.
    ///
    /// A peer that was killed, paused or partitioned sends nothing, and the idle timeout of the transport is much longer than
    /// the deadline of a call: callers would wait until their deadline although another host could have answered. A slow call
    /// on an otherwise idle connection looks the same, so the peer is pinged before the connection is closed.
    async fn is_alive(&self, received: u64) -> bool {
        if self.datagrams_received() != received {
            return true;
        }
        let ping = self.control(ControlRequest::Ping, PING_TIMEOUT).await;
        ping.is_ok() || self.datagrams_received() != received
    }

    fn datagrams_received(&self) -> u64 {
        self.connection.stats().udp_rx.datagrams
    }

    /// Sends a control request and waits for the reply for at most `timeout`.
    pub async fn control(
        &self,
        request: ControlRequest,
        timeout: Duration,
    ) -> Result<ControlReply, LinkError> {
        tokio::time::timeout(timeout, self.exchange_control(request))
            .await
            .unwrap_or(Err(LinkError::Lost(FrameError::Truncated)))
    }

    async fn exchange_control(&self, request: ControlRequest) -> Result<ControlReply, LinkError> {
        let (mut tx, mut rx) = self
            .connection
            .open_bi()
            .await
            .map_err(|_| LinkError::NotSent)?;
        let _ = tx.set_priority(CONTROL_PRIORITY);
        let kind = request.kind();
        let request = PeerRequest::Control(request);
        let written = write_frame(&mut tx, &request, Bytes::new()).await?;
        self.metrics.control.record_sent(kind, written);
        let head = read_head(&mut rx, self.limits.body).await?;
        self.metrics.control.record_received(kind, head.bytes);
        match head.value {
            PeerReply::Control(reply) => Ok(reply),
            PeerReply::Call(_) => Err(FrameError::Malformed.into()),
        }
    }
}

/// Stream priority of control requests, above that of calls, so that load does not delay them.
const CONTROL_PRIORITY: i32 = 1;

/// Time without a reply after which the liveness of the peer is checked.
const PING_AFTER_SILENCE: Duration = Duration::from_millis(150);

/// Timeout of a ping, longer than the delay of replies from a busy instance.
const PING_TIMEOUT: Duration = Duration::from_millis(350);
