//! Serves the streams that peers open.

use bytes::Bytes;
use coltsfootport_core::once::{Refusal, Try};
use quinn::{Connection, Endpoint, RecvStream, SendStream};

use super::link::FrameLimits;
use super::{HubHandle, Link, Replies};
use crate::clock::SharedClock;
use crate::data::HostReport;
use crate::gate::GateHandle;
use crate::host::Host;
use crate::metrics::{Metrics, Rejected};
use crate::recorder::Recorder;
use crate::routes::RoutesHandle;
use crate::wire::{
    CallFrame, ControlReply, ControlRequest, FrameError, HeaderFrame, HelloFrame, PeerReply,
    PeerRequest, RefusalFrame, ReplyFrame, ReportFrame, read_body, read_head, write_frame,
};

/// What the streams of peers are served with.
#[derive(Clone)]
pub struct PeerServices {
    /// Runs calls.
    pub host: Host,
    /// Refuses tokens.
    pub gate: GateHandle,
    /// Takes note of what peers tell about themselves.
    pub routes: RoutesHandle,
    /// The process's clock.
    pub clock: SharedClock,
    /// Where events are recorded.
    pub recorder: Recorder,
    /// Metrics of the process.
    pub metrics: Metrics,
    /// Limits of what is read.
    pub limits: FrameLimits,
    /// Counts the replies that are owed.
    pub replies: Replies,
}

/// Accepts connections of peers.
#[derive(Clone)]
pub struct PeerServer {
    endpoint: Endpoint,
    services: PeerServices,
    hub: HubHandle,
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
        while let Some(incoming) = self.endpoint.accept().await {
            let (services, hub) = (self.services.clone(), self.hub.clone());
            tokio::spawn(async move {
                match incoming.await {
                    Ok(connection) => {
                        hub.accepted(Link::new(connection.clone(), services.limits));
                        serve_connection(connection, services).await;
                    }
                    // A peer without a certificate of the fleet ends here, before any stream.
                    Err(_) => services.metrics.faults.rejected(Rejected::Certificate),
                }
            });
        }
    }
}

/// Serves the streams that the peer opens on a connection, whoever opened the connection itself.
pub(super) async fn serve_connection(connection: Connection, services: PeerServices) {
    while let Ok((tx, rx)) = connection.accept_bi().await {
        let services = services.clone();
        tokio::spawn(async move {
            let metrics = services.metrics.clone();
            match serve_stream(tx, rx, services).await {
                Ok(()) | Err(FrameError::Cut) => {}
                Err(_) => metrics.faults.rejected(Rejected::Frame),
            }
        });
    }
}

async fn serve_stream(
    tx: SendStream,
    mut rx: RecvStream,
    services: PeerServices,
) -> Result<(), FrameError> {
    match read_head(&mut rx, services.limits.head).await? {
        PeerRequest::Call(frame) => serve_call(*frame, tx, rx, services).await,
        PeerRequest::Control(request) => serve_control(request, tx, services).await,
    }
}

async fn serve_call(
    frame: CallFrame,
    mut tx: SendStream,
    mut rx: RecvStream,
    services: PeerServices,
) -> Result<(), FrameError> {
    services.recorder.observe(frame.stamp);
    let body = read_body(&mut rx, frame.body_len, services.limits.body).await?;
    let call = frame.into_call(body, services.clock.now())?;
    let _owed = services.replies.owe().await;
    let reply = tokio::select! {
        reply = services.host.run(call) => reply,
        _ = tx.stopped() => None,
    };
    let Some(reply) = reply else {
        return Err(FrameError::Cut);
    };
    let body = reply.body();
    let head = ReplyFrame::new(&reply, services.recorder.stamp());
    write_frame(&mut tx, &PeerReply::Call(Box::new(head)), body).await?;
    // Ends when the peer has acknowledged the whole reply, or is gone.
    let _ = tx.stopped().await;
    Ok(())
}

async fn serve_control(
    request: ControlRequest,
    mut tx: SendStream,
    services: PeerServices,
) -> Result<(), FrameError> {
    let reply = match request {
        ControlRequest::Greet => match services.host.report().await {
            Some(report) => ControlReply::Hello(HelloFrame {
                stamp: services.recorder.stamp(),
                report: ReportFrame::from(&report),
            }),
            None => return Err(FrameError::Cut),
        },
        ControlRequest::Announce(hello) => {
            services.recorder.observe(hello.stamp);
            services.routes.heard(HostReport::from(hello.report));
            ControlReply::Done
        }
        ControlRequest::Refuse { token, up_to } => {
            let refusal = services.gate.refuse(token, Try(up_to)).await;
            ControlReply::Refuse(refusal_frame(refusal))
        }
        ControlRequest::Digest(_) | ControlRequest::Pull(_) | ControlRequest::Push(_) => {
            ControlReply::Done
        }
    };
    write_frame(&mut tx, &PeerReply::Control(reply), Bytes::new()).await?;
    Ok(())
}

fn refusal_frame(refusal: Refusal<std::sync::Arc<crate::data::Answer>>) -> RefusalFrame {
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
