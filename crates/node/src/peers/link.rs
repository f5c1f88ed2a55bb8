//! One connection to a peer.

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

/// Limits of what is read from a peer, in bytes.
#[derive(Clone, Copy, Debug)]
pub struct FrameLimits {
    /// Largest head.
    pub head: usize,
    /// Largest body.
    pub body: usize,
}

/// A connection to a peer; cheap to clone.
#[derive(Clone, Debug)]
pub struct Link {
    connection: Connection,
    /// The node that this one connected to; unknown where the other end connected.
    node: Option<NodeName>,
    limits: FrameLimits,
    metrics: Metrics,
}

/// Why an exchange with a peer failed.
#[derive(Debug, thiserror::Error)]
pub enum LinkError {
    /// Nothing was sent: the peer can't be reached.
    #[error("the peer can't be reached")]
    NotSent,
    /// Something may have been sent and no whole reply came.
    #[error("contact was lost: {0}")]
    Lost(#[from] FrameError),
}

impl Link {
    /// Wraps an open connection; `node` is whose certificate was asked for where this node opened it.
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

    /// Whether the connection has ended.
    pub fn is_closed(&self) -> bool {
        self.connection.close_reason().is_some()
    }

    /// Who the other end is; `None` where it showed no certificate.
    pub fn identity(&self) -> Option<PeerIdentity> {
        PeerIdentity::of(&self.connection)
    }

    /// Ends the connection.
    pub fn close(&self) {
        self.connection.close(VarInt::from_u32(0), b"closed");
    }

    /// Sends a call and waits for its whole reply; dropping the future cancels the call at the host.
    pub async fn call(&self, call: &Call, recorder: &Recorder) -> Result<Reply, LinkError> {
        let exchange = self.exchange_call(call, recorder);
        tokio::pin!(exchange);
        let mut heard = self.datagrams_heard();
        loop {
            tokio::select! {
                done = &mut exchange => return done.inspect_err(|e| self.count(e)),
                () = tokio::time::sleep(SILENCE) => {}
            }
            if !self.is_alive(heard).await {
                self.close();
                return Err(LinkError::Lost(FrameError::Cut));
            }
            heard = self.datagrams_heard();
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
        self.check(&frame, call)?;
        recorder.observe(frame.stamp);
        let body = read_body(&mut rx, frame.body_len, self.limits.body).await?;
        Ok(frame.into_reply(body)?)
    }

    /// Refuses a reply that can't be the one to this call.
    ///
    /// A defective or hostile host could otherwise have its answer taken for that of another call, give back more allowance
    /// than it got, or report another node as leaving, seen as an instance that gets no work.
    fn check(&self, frame: &ReplyFrame, call: &Call) -> Result<(), FrameError> {
        let named = |node: &NodeName| node.0 == frame.report.node;
        if !self.node.as_ref().is_none_or(named) {
            return Err(FrameError::Name);
        }
        if frame.attempt != call.attempt.0 || frame.allowance_left > call.allowance {
            return Err(FrameError::Reply);
        }
        Ok(())
    }

    fn count(&self, e: &LinkError) {
        if let LinkError::Lost(e) = e
            && let Some(what) = e.rejected()
        {
            self.metrics.faults.rejected(what);
        }
    }

    /// Whether the peer was heard since `heard` datagrams, or answers when asked.
    ///
    /// A peer that was killed, paused or cut off sends nothing, and the transport's own timeout is far longer than a call has
    /// time: callers would wait for their whole deadline although another host could have answered. A slow call on a quiet
    /// connection looks the same, so the peer is asked before it is given up.
    async fn is_alive(&self, heard: u64) -> bool {
        if self.datagrams_heard() != heard {
            return true;
        }
        let asked = self.control(ControlRequest::Ping, PING_PATIENCE).await;
        asked.is_ok() || self.datagrams_heard() != heard
    }

    fn datagrams_heard(&self) -> u64 {
        self.connection.stats().udp_rx.datagrams
    }

    /// Sends a control request and waits at most `patience` for its reply.
    pub async fn control(
        &self,
        request: ControlRequest,
        patience: Duration,
    ) -> Result<ControlReply, LinkError> {
        tokio::time::timeout(patience, self.exchange(request))
            .await
            .unwrap_or(Err(LinkError::Lost(FrameError::Cut)))
    }

    async fn exchange(&self, request: ControlRequest) -> Result<ControlReply, LinkError> {
        let (mut tx, mut rx) = self
            .connection
            .open_bi()
            .await
            .map_err(|_| LinkError::NotSent)?;
        let _ = tx.set_priority(CONTROL_PRIORITY);
        let kind = request.kind();
        let request = PeerRequest::Control(request);
        let written = write_frame(&mut tx, &request, Bytes::new()).await?;
        self.metrics.control.sent(kind, written);
        let head = read_head(&mut rx, self.limits.body).await?;
        self.metrics.control.received(kind, head.bytes);
        match head.value {
            PeerReply::Control(reply) => Ok(reply),
            PeerReply::Call(_) => Err(FrameError::Malformed.into()),
        }
    }
}

/// Control messages go before calls on a connection, so that load does not delay them.
const CONTROL_PRIORITY: i32 = 1;

/// Time without a reply after which it is looked whether the peer is alive.
const SILENCE: Duration = Duration::from_millis(150);

/// Time in which a living peer answers a ping, above what a busy instance is late.
const PING_PATIENCE: Duration = Duration::from_millis(350);
