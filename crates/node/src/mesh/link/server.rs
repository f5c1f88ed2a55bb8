//! Takes requests from other nodes.

use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use coltsfootport_core::quarantine::Finding;
use coltsfootport_core::workspace::{QuotaNotice, QuotaUsage};
use slog::{Logger, debug, warn};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tokio::time::{sleep, timeout};

use super::conn::PeerConn;
use super::finding_frames::{FindingFrame, FindingsFrame};
use super::frames::{HelloFrame, MAX_HEAD, ReplyFrame, RequestFrame, StreamHead};
use super::hub::{KEPT, prepare};
use super::pieces;
use super::quota_frames::{VerdictFrame, VerdictsFrame};
use crate::mesh::call::{BODY_CHANNEL_CAPACITY, Body, HostReply, MAX_BUFFERED_BODY};
use crate::mesh::controller::ControllerEvent;
use crate::mesh::feed::{FeedServer, serve_feed};
use crate::mesh::host::Host;
use crate::wire::FrameError;

/// Time for which a connection is kept without a request. The one who sends gives it up sooner; this is for one that is
/// gone without a word.
const IDLE: Duration = Duration::from_secs(3 * KEPT.as_secs());

/// Pause after a failure to accept, such as a lack of descriptors, so that it does not take the whole processor.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// What a node does for others; cheap to clone.
#[derive(Clone)]
pub struct Serving {
    /// Runs their requests.
    pub host: Host,
    /// Passes the publisher's news on.
    pub sharing: FeedServer,
    /// Drawn at this start of the node.
    pub boot: u64,
    /// Log.
    pub log: Logger,
}

/// Accepts other nodes for as long as the process lives.
pub async fn serve(listener: TcpListener, serving: Serving) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                tokio::spawn(serve_conn(stream, serving.clone()));
            }
            Err(e) => {
                warn!(serving.log, "a node can't be accepted"; "reason" => e.to_string());
                sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

async fn serve_conn(stream: TcpStream, serving: Serving) {
    if let Err(e) = prepare(&stream) {
        return debug!(serving.log, "a node has left"; "reason" => e.to_string());
    }
    let mut conn = PeerConn::new(stream);
    let hello = HelloFrame { boot: serving.boot };
    if let Err(e) = conn.write(&hello, &[]).await {
        return debug!(serving.log, "a node has left"; "reason" => e.to_string());
    }
    loop {
        let Ok(head) = timeout(IDLE, conn.read_head(MAX_HEAD)).await else {
            return;
        };
        let goes_on = match head {
            Ok(head) => answer(&mut conn, head, &serving).await,
            // An end between two requests.
            Err(FrameError::Cut) => return,
            Err(e) => Err(e),
        };
        match goes_on {
            Ok(true) => conn.rest(),
            Ok(false) => return,
            Err(e) => {
                return debug!(serving.log, "exchange with a node failed"; "reason" => e.to_string());
            }
        }
    }
}

/// Does what a head asks for; `false` where the connection is of no more use.
async fn answer(
    conn: &mut PeerConn,
    head: StreamHead,
    serving: &Serving,
) -> Result<bool, FrameError> {
    match head {
        StreamHead::Request(head) => run(conn, *head, &serving.host).await,
        StreamHead::Follow(asked) => {
            serve_feed(serving.sharing.clone(), conn, asked).await?;
            Ok(false)
        }
        StreamHead::QuotaClaims(claims) => {
            let claims = claims.into_iter().map(QuotaUsage::from).collect();
            let verdicts = serving.host.controller.claim_quotas(claims).await;
            let verdicts = verdicts.into_iter().map(VerdictFrame::from).collect();
            conn.write(&VerdictsFrame(verdicts), &[]).await?;
            Ok(true)
        }
        StreamHead::Findings(findings) => {
            let findings = findings.into_iter().map(Finding::from).collect();
            let heard = ControllerEvent::FindingsReceived(findings);
            serving.host.controller.notify(heard);
            conn.write(&FindingsFrame(Vec::new()), &[]).await?;
            Ok(true)
        }
        StreamHead::FindingsPull(digest) => {
            let findings = serving.host.controller.findings(digest).await;
            let frames = findings.iter().map(FindingFrame::from).collect();
            conn.write(&FindingsFrame(frames), &[]).await?;
            Ok(true)
        }
        StreamHead::QuotaNotices(notices) => {
            let notices = notices.into_iter().map(QuotaNotice::from).collect();
            let heard = ControllerEvent::QuotaNoticesReceived(notices);
            serving.host.controller.notify(heard);
            conn.write(&VerdictsFrame(Vec::new()), &[]).await?;
            Ok(true)
        }
    }
}

/// Runs a request. One whose sender leaves meanwhile is broken off where it can be.
async fn run(conn: &mut PeerConn, head: RequestFrame, host: &Host) -> Result<bool, FrameError> {
    let ended = AtomicBool::new(true);
    let ran = match head.held() {
        Some(length) if length > MAX_BUFFERED_BODY => return Err(FrameError::TooLarge(length)),
        Some(length) => {
            let body = Body::Whole(conn.read_body(length).await?);
            let req = head.into_request(body, host.clock.now())?;
            // A node that stood still finds requests whose senders have left: it must see that before it runs them.
            tokio::select! {
                biased;
                () = conn.closed() => None,
                reply = host.run(req) => Some(reply),
            }
        }
        None => {
            ended.store(false, Ordering::Relaxed);
            let (tx, rx) = mpsc::channel(BODY_CHANNEL_CAPACITY);
            let length = head.length;
            let req = head.into_request(Body::Stream { length, rx }, host.clock.now())?;
            tokio::select! {
                reply = host.run(req) => Some(reply),
                () = pieces::feed(conn, tx, &ended) => None,
            }
        }
    };
    let Some(reply) = ran else {
        return Ok(false);
    };
    write_reply(conn, reply).await?;
    Ok(ended.load(Ordering::Relaxed) || pieces::drain(conn).await)
}

async fn write_reply(conn: &mut PeerConn, reply: HostReply) -> Result<(), FrameError> {
    let head = ReplyFrame::from(&reply);
    match reply.result.map(|answer| answer.body) {
        Ok(Body::Whole(bytes)) => Ok(conn.write(&head, &bytes).await?),
        Ok(Body::Stream { rx, .. }) => {
            conn.write(&head, &[]).await?;
            pieces::send_answer(conn, rx).await
        }
        Err(_) => Ok(conn.write(&head, &[]).await?),
    }
}
