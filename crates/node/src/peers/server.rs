//! Serves the streams that peers open.

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
use crate::metrics::{Metrics, Rejected};
use crate::recorder::Recorder;
use crate::routes::RoutesHandle;
use crate::spread::SpreadHandle;
use crate::wire::{
    CallFrame, ControlReply, ControlRequest, FrameError, Head, HeaderFrame, HelloFrame, PeerReply,
    PeerRequest, RefusalFrame, ReplyFrame, read_body, read_head, write_frame,
};

/// What the streams of peers are served with.
#[derive(Clone)]
pub struct PeerServices {
    /// Places for streams at a time; all are free again when the last answer has been taken in by its peer.
    pub streams: Arc<Semaphore>,
    /// Runs calls.
    pub host: Host,
    /// Refuses tokens.
    pub gate: GateHandle,
    /// Takes note of what peers tell about themselves.
    pub routes: RoutesHandle,
    /// Exchanges what is published.
    pub spread: SpreadHandle,
    /// The process's clock.
    pub clock: SharedClock,
    /// Where events are recorded.
    pub recorder: Recorder,
    /// Metrics of the process.
    pub metrics: Metrics,
    /// Limits of what is read.
    pub limits: FrameLimits,
    /// Time in which a handshake, or a whole frame, must arrive.
    pub frame_time: Duration,
}

/// Accepts connections of peers.
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

    fn hear(&self, hello: HelloFrame) {
        self.recorder.observe(hello.stamp);
        self.routes.record_report(HostReport::from(hello.report));
    }
}

impl PeerServer {
    /// A server on the peers' endpoint.
    pub fn new(endpoint: Endpoint, services: PeerServices, hub: HubHandle) -> Self {
        Self {
            endpoint,
            services,
            hub,
        }
    }

    /// Runs until the endpoint is closed.
    pub async fn run(self) {
        let handshakes = Arc::new(Semaphore::new(MOST_HANDSHAKES));
        while let Some(incoming) = self.endpoint.accept().await {
            // Anybody can begin handshakes, under any sender's address, and each takes memory until it ends.
            let Ok(place) = Arc::clone(&handshakes).try_acquire_owned() else {
                incoming.refuse();
                continue;
            };
            let (services, hub) = (self.services.clone(), self.hub.clone());
            tokio::spawn(async move {
                let handshake = timeout(services.frame_time, incoming.into_future()).await;
                drop(place);
                match handshake {
                    Ok(Ok(connection)) => {
                        hub.accepted(services.link(connection.clone(), None));
                        serve_connection(connection, services).await;
                    }
                    // A peer without a certificate of the fleet ends here, before any stream.
                    Ok(Err(_)) | Err(_) => services.metrics.faults.rejected(Rejected::Certificate),
                }
            });
        }
    }
}

/// Serves the streams that the peer opens on a connection, whoever opened the connection itself.
pub(super) async fn serve_connection(connection: Connection, services: PeerServices) {
    let identity = PeerIdentity::of(&connection);
    while let Ok((tx, rx)) = connection.accept_bi().await {
        let Ok(place) = Arc::clone(&services.streams).acquire_owned().await else {
            return;
        };
        let (services, identity) = (services.clone(), identity.clone());
        tokio::spawn(async move {
            let _place = place;
            let metrics = services.metrics.clone();
            let served = serve_stream(tx, rx, identity, services).await;
            if let Some(what) = served.err().and_then(|e| e.rejected()) {
                metrics.faults.rejected(what);
            }
        });
    }
}

/// What a peer asks for, whole.
enum Asked {
    Call(Box<CallFrame>, Bytes),
    Control(ControlRequest),
}

async fn serve_stream(
    tx: SendStream,
    mut rx: RecvStream,
    identity: Option<PeerIdentity>,
    services: PeerServices,
) -> Result<(), FrameError> {
    // A peer that stops halfway would keep its place and its buffer for ever, and with enough streams everybody's.
    let reading = timeout(services.frame_time, read(&mut rx, &services)).await;
    match reading.unwrap_or(Err(FrameError::Slow))? {
        // Boxed, so that a stream whose frame has not arrived takes little memory.
        Asked::Call(frame, body) => Box::pin(serve_call(*frame, body, tx, services)).await,
        Asked::Control(request) => {
            let sender = request.sender().cloned().map(NodeName);
            if sender.is_some_and(|sender| !identity.is_some_and(|own| own.is(&sender))) {
                return Err(FrameError::Name);
            }
            Box::pin(serve_control(request, tx, services)).await
        }
    }
}

async fn read(rx: &mut RecvStream, services: &PeerServices) -> Result<Asked, FrameError> {
    let limits = services.limits;
    let Head { value, bytes } = read_head(rx, limits.head.max(limits.body)).await?;
    match value {
        PeerRequest::Call(frame) => {
            let body = read_body(rx, frame.body_len, limits.body).await?;
            Ok(Asked::Call(frame, body))
        }
        PeerRequest::Control(request) => {
            services.metrics.control.received(request.kind(), bytes);
            Ok(Asked::Control(request))
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
        return Err(FrameError::Cut);
    };
    let body = reply.body();
    let head = PeerReply::Call(Box::new(ReplyFrame::new(&reply, services.recorder.stamp())));
    // Until the peer has taken in the whole answer, this node must not end: closing the endpoint would cut it off. But a
    // peer that never reads would keep the answer in memory for ever.
    let answering = async {
        write_frame(&mut tx, &head, body).await?;
        let _ = tx.stopped().await;
        Ok(())
    };
    timeout(TAKE_IN, answering).await.unwrap_or(Ok(()))
}

async fn serve_control(
    request: ControlRequest,
    mut tx: SendStream,
    services: PeerServices,
) -> Result<(), FrameError> {
    let kind = request.kind();
    let reply = match request {
        ControlRequest::Greet(hello) => {
            services.hear(hello);
            let report = services.host.report().await.ok_or(FrameError::Cut)?;
            ControlReply::Hello(HelloFrame::new(&report, services.recorder.stamp()))
        }
        ControlRequest::Ping => ControlReply::Done,
        ControlRequest::Announce(hello) => {
            services.hear(hello);
            ControlReply::Done
        }
        ControlRequest::Refuse { token, up_to } => {
            let refusal = services.gate.refuse(token, Try(up_to)).await;
            ControlReply::Refuse(refusal_frame(refusal))
        }
        published => services.spread.answer(published).await,
    };
    let reply = PeerReply::Control(reply);
    let writing = write_frame(&mut tx, &reply, Bytes::new());
    let written = timeout(TAKE_IN, writing)
        .await
        .unwrap_or(Err(FrameError::Slow))?;
    services.metrics.control.sent(kind, written);
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

/// Handshakes at a time that are not finished.
const MOST_HANDSHAKES: usize = 512;

/// How long a peer may take to read and acknowledge an answer.
const TAKE_IN: Duration = Duration::from_secs(5);
