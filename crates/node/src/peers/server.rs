//! Server for the streams that peers open.

use std::future::IntoFuture;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use coltsfootport_core::id::NodeName;
use coltsfootport_core::once::{Refusal, Try};
use quinn::{Connection, Endpoint, RecvStream, SendStream};
use tokio::sync::Semaphore;
use tokio::time::timeout;

use super::link::FrameLimits;
use super::{HubHandle, Link, PeerIdentity};
use crate::clock::SharedClock;
use crate::data::{Answer, HostReport};
use crate::gate::GateHandle;
use crate::host::Host;
use crate::metrics::{Metrics, RejectedInput};
use crate::recorder::Recorder;
use crate::routes::RoutesHandle;
use crate::spread::SpreadHandle;
use crate::wire::{
    CallFrame, ControlReply, ControlRequest, FrameError, Head, HeaderFrame, HelloFrame, PeerReply,
    PeerRequest, RefusalFrame, ReplyFrame, read_body, read_head, write_frame,
};

/// Dependencies and limits for serving the streams of peers.
#[derive(Clone)]
pub struct PeerServices {
    /// Limits concurrent streams. All permits are available again once peers have acknowledged all answers.
    pub streams: Arc<Semaphore>,
    /// Runs calls at this node's target.
    pub host: Host,
    /// Handles requests to refuse a token.
    pub gate: GateHandle,
    /// Receives the state reports in greetings and announcements.
    pub routes: RoutesHandle,
    /// Handles control requests about published entries, the instance list and node states.
    pub spread: SpreadHandle,
    /// Clock shared by the whole process.
    pub clock: SharedClock,
    /// Records timeline events and keeps the hybrid logical clock.
    pub recorder: Recorder,
    /// Metrics of the process.
    pub metrics: Metrics,
    /// Size limits of frames.
    pub limits: FrameLimits,
    /// Time within which a handshake must complete or a whole frame must arrive.
    pub frame_timeout: Duration,
}

/// Accepts connections from peers.
#[derive(Clone)]
pub struct PeerServer {
    endpoint: Endpoint,
    services: PeerServices,
    hub: HubHandle,
}

impl PeerServices {
    pub(super) fn link(&self, connection: Connection, node: Option<NodeName>) -> Link {
        Link::new(connection, node, self.limits, self.metrics.clone())
    }

    fn record_hello(&self, hello: HelloFrame) {
        self.recorder.observe(hello.stamp);
        self.routes.record_report(HostReport::from(hello.report));
    }
}

impl PeerServer {
    /// Creates a server that accepts connections on `endpoint`.
    pub fn new(endpoint: Endpoint, services: PeerServices, hub: HubHandle) -> Self {
        Self {
            endpoint,
            services,
            hub,
        }
    }

    /// Runs until the endpoint is closed.
    pub async fn run(self) {
        let handshakes = Arc::new(Semaphore::new(MAX_PENDING_HANDSHAKES));
        while let Some(incoming) = self.endpoint.accept().await {
            // Handshakes need no authentication, can come from spoofed source addresses and occupy memory until they end.
            let Ok(permit) = Arc::clone(&handshakes).try_acquire_owned() else {
                incoming.refuse();
                continue;
            };
            let (services, hub) = (self.services.clone(), self.hub.clone());
            tokio::spawn(async move {
                let handshake = timeout(services.frame_timeout, incoming.into_future()).await;
                drop(permit);
                match handshake {
                    Ok(Ok(connection)) => {
                        hub.accepted(services.link(connection.clone(), None));
                        serve_connection(connection, services).await;
                    }
                    // A peer without a certificate of the fleet fails the handshake before it can open a stream.
                    Ok(Err(_)) | Err(_) => services
                        .metrics
                        .faults
                        .record_rejected(RejectedInput::Certificate),
                }
            });
        }
    }
}

/// Serves the streams that the peer opens on a connection, whichever side opened the connection.
pub(super) async fn serve_connection(connection: Connection, services: PeerServices) {
    let identity = PeerIdentity::of(&connection);
    while let Ok((tx, rx)) = connection.accept_bi().await {
        let Ok(permit) = Arc::clone(&services.streams).acquire_owned().await else {
            return;
        };
        let (services, identity) = (services.clone(), identity.clone());
        tokio::spawn(async move {
            let _permit = permit;
            let metrics = services.metrics.clone();
            let result = serve_stream(tx, rx, identity, services).await;
            if let Some(rejected) = result.err().and_then(|e| e.rejected()) {
                metrics.faults.record_rejected(rejected);
            }
        });
    }
}

/// A completely received request of a peer.
enum IncomingRequest {
    Call(Box<CallFrame>, Bytes),
    Control(ControlRequest),
}

async fn serve_stream(
    tx: SendStream,
    mut rx: RecvStream,
    identity: Option<PeerIdentity>,
    services: PeerServices,
) -> Result<(), FrameError> {
    // Without the timeout a peer that stops halfway would hold its permit and buffer forever, and enough such streams would
    // exhaust the permits of all peers.
    let reading = timeout(services.frame_timeout, read_request(&mut rx, &services)).await;
    match reading.unwrap_or(Err(FrameError::Timeout))? {
        // Boxed so that the task of a stream whose frame has not arrived yet stays small.
        IncomingRequest::Call(frame, body) => {
            Box::pin(serve_call(*frame, body, tx, services)).await
        }
        IncomingRequest::Control(request) => {
            let sender = request.sender().cloned().map(NodeName);
            if sender
                .is_some_and(|sender| !identity.is_some_and(|identity| identity.is_node(&sender)))
            {
                return Err(FrameError::SenderMismatch);
            }
            Box::pin(serve_control(request, tx, services)).await
        }
    }
}

async fn read_request(
    rx: &mut RecvStream,
    services: &PeerServices,
) -> Result<IncomingRequest, FrameError> {
    let limits = services.limits;
    let Head { value, bytes } = read_head(rx, limits.head.max(limits.body)).await?;
    match value {
        PeerRequest::Call(frame) => {
            let body = read_body(rx, frame.body_len, limits.body).await?;
            Ok(IncomingRequest::Call(frame, body))
        }
        PeerRequest::Control(request) => {
            services
                .metrics
                .control
                .record_received(request.kind(), bytes);
            Ok(IncomingRequest::Control(request))
        }
    }
}

async fn serve_call(
    frame: CallFrame,
    body: Bytes,
    mut tx: SendStream,
    services: PeerServices,
) -> Result<(), FrameError> {
    services.recorder.observe(frame.stamp);
    let call = frame.into_call(body, services.clock.now())?;
    let reply = tokio::select! {
        reply = services.host.run(call) => reply,
        _ = tx.stopped() => None,
    };
    let Some(reply) = reply else {
        return Err(FrameError::Truncated);
    };
    let body = reply.body();
    let head = PeerReply::Call(Box::new(ReplyFrame::new(&reply, services.recorder.stamp())));
    // The stream counts as in use until the peer has acknowledged the whole answer, because closing the endpoint at shutdown
    // would truncate it. The timeout keeps a peer that never reads from holding the answer in memory forever.
    let delivery = async {
        write_frame(&mut tx, &head, body).await?;
        let _ = tx.stopped().await;
        Ok(())
    };
    timeout(REPLY_DELIVERY_TIMEOUT, delivery)
        .await
        .unwrap_or(Ok(()))
}

async fn serve_control(
    request: ControlRequest,
    mut tx: SendStream,
    services: PeerServices,
) -> Result<(), FrameError> {
    let kind = request.kind();
    let reply = match request {
        ControlRequest::Greet(hello) => {
            services.record_hello(hello);
            let report = services.host.report().await.ok_or(FrameError::Truncated)?;
            ControlReply::Hello(HelloFrame::new(&report, services.recorder.stamp()))
        }
        ControlRequest::Ping => ControlReply::Done,
        ControlRequest::Announce(hello) => {
            services.record_hello(hello);
            ControlReply::Done
        }
        ControlRequest::Refuse { token, up_to } => {
            let refusal = services.gate.refuse(token, Try(up_to)).await;
            ControlReply::Refuse(refusal_frame(refusal))
        }
        request => services.spread.handle_request(request).await,
    };
    let reply = PeerReply::Control(reply);
    let writing = write_frame(&mut tx, &reply, Bytes::new());
    let bytes_sent = timeout(REPLY_DELIVERY_TIMEOUT, writing)
        .await
        .unwrap_or(Err(FrameError::Timeout))?;
    services.metrics.control.record_sent(kind, bytes_sent);
    Ok(())
}

fn refusal_frame(refusal: Refusal<Arc<Answer>>) -> RefusalFrame {
    match refusal {
        Refusal::Running => RefusalFrame::Running,
        Refusal::Ran(answer) => RefusalFrame::Ran {
            status: answer.status.as_u16(),
            headers: HeaderFrame::from_map(&answer.headers),
            body: answer.body.to_vec(),
        },
        Refusal::AnswerGone => RefusalFrame::AnswerGone,
        Refusal::Unknown => RefusalFrame::Unknown,
        Refusal::RefusedForGood => RefusalFrame::RefusedForGood,
    }
}

/// Maximum number of concurrent unfinished handshakes.
const MAX_PENDING_HANDSHAKES: usize = 512;

/// Time within which a peer must read and acknowledge a reply.
const REPLY_DELIVERY_TIMEOUT: Duration = Duration::from_secs(5);
