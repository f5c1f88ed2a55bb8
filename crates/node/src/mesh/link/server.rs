//! Serves requests from other nodes.

mod replies;

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::Duration;

use coltsfootport_core::workspace::{QuotaNotice, QuotaUsage};
use slog::{Logger, debug};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{sleep, timeout};

use self::replies::{busy_reply, stopping_reply};
use super::body_stream;
use super::conn::PeerConn;
use super::finding_frames::{FindingsAck, FindingsFrame};
use super::frames::{HelloFrame, MAX_HEAD, ReplyFrame, RequestFrame, StreamHead};
use super::pool::{self, configure_socket};
use super::quota_frames::{VerdictFrame, VerdictsFrame};
use super::withdrawal::WithdrawalAck;
use crate::mesh::body_channel::body_channel;
use crate::mesh::call::{Body, HostReply, MAX_BUFFERED_BODY, TargetAnswer};
use crate::mesh::connection_registry::{ACCEPT_RETRY_DELAY, ConnectionRegistry};
use crate::mesh::controller::ControllerEvent;
use crate::mesh::feed::{FeedServer, serve_feed};
use crate::mesh::held_bytes::{Account, ByteLimiter};
use crate::mesh::host::Host;
use crate::mesh::open_request::OpenRequestGuard;
use crate::mesh::shutdown::ShutdownWatch;
use crate::wire::FrameError;

/// How long an idle connection is kept. Senders close theirs sooner; this limit applies to peers that failed without
/// closing their connections.
const IDLE_TIMEOUT: Duration = Duration::from_secs(3 * pool::IDLE_TIMEOUT.as_secs());

/// Time for which a stopping node discards input on a connection that it has closed. A reset would overtake what it has
/// written last.
pub const CLOSE_LINGER: Duration = Duration::from_millis(200);

/// Shared state of the server for peers; cheap to clone.
#[derive(Clone)]
pub struct ServerContext {
    /// Runs the requests.
    pub host: Host,
    /// Relays the publisher's change feed.
    pub sharing: FeedServer,
    /// All open connections.
    pub connections: ConnectionRegistry,
    /// Bytes held for them.
    pub bytes: ByteLimiter,
    /// Number of open requests, for the shutdown; see [`OpenRequestGuard`].
    pub open_requests: Arc<AtomicUsize>,
    /// Progress of the node's shutdown.
    pub shutdown: ShutdownWatch,
    /// Random number drawn when the node's process starts.
    pub boot: u64,
    /// Logger for connection failures.
    pub log: Logger,
}

/// Accepts connections from peers for the lifetime of the process. Peers detect by them that it is alive.
pub async fn serve(listener: TcpListener, ctx: ServerContext) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                tokio::spawn(serve_conn(stream, ctx.clone()));
            }
            Err(e) => {
                ctx.host.journal.accept_failed("peers", &e);
                ctx.connections.make_room();
                sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

async fn serve_conn(stream: TcpStream, ctx: ServerContext) {
    let account = ctx.bytes.open();
    tokio::select! {
        biased;
        () = account.evicted() => ctx.host.journal.evicted("peers", 1),
        () = serve_requests(stream, &ctx, &account) => {}
    }
}

async fn serve_requests(stream: TcpStream, ctx: &ServerContext, account: &Account) {
    if let Err(e) = configure_socket(&stream) {
        return debug!(ctx.log, "peer disconnected before hello"; "reason" => e.to_string());
    }
    let registration = ctx.connections.register();
    let mut conn = PeerConn::new(stream);
    let hello = HelloFrame { boot: ctx.boot };
    let is_closing = ctx.shutdown.is_closing();
    let greeted = match is_closing {
        // In one write, since the process may exit between two.
        true => conn.write_pair(&hello, &stopping_reply()).await,
        false => conn.write(&hello, &[]).await,
    };
    if let Err(e) = greeted {
        return debug!(ctx.log, "peer disconnected before hello"; "reason" => e.to_string());
    }
    if is_closing {
        return close(conn, ctx).await;
    }
    let mut is_used = false;
    loop {
        let head = tokio::select! {
            biased;
            head = timeout(IDLE_TIMEOUT, conn.read_head(MAX_HEAD)) => head,
            () = ctx.shutdown.closing() => return refuse_next(conn, &stopping_reply(), ctx).await,
            () = registration.evicted() => {
                ctx.host.journal.evicted("peers", 0);
                if is_used {
                    let reply = ReplyFrame::from(&busy_reply(&ctx.host).await);
                    refuse_next(conn, &reply, ctx).await;
                }
                return;
            }
        };
        let Ok(head) = head else {
            return;
        };
        registration.set_busy();
        is_used = true;
        let can_reuse = match head {
            // Boxed, since most connections are idle and would hold the memory for a request all the same.
            Ok(head) => Box::pin(handle(&mut conn, head, ctx, account)).await,
            // The peer closed the connection between two requests.
            Err(FrameError::Truncated) => return,
            Err(e) => Err(e),
        };
        match can_reuse {
            Ok(true) => {
                conn.release_buffer();
                registration.set_idle();
            }
            Ok(false) => return,
            Err(e) => {
                return debug!(ctx.log, "exchange with peer failed"; "reason" => e.to_string());
            }
        }
    }
}

/// Closes a connection on which no request has been read, and answers the one that may be on its way: it does not run.
/// Without this answer its sender could not tell, and would not send a request elsewhere that may run at most once.
async fn refuse_next(mut conn: PeerConn, reply: &ReplyFrame, ctx: &ServerContext) {
    // The peer may have closed the connection as well.
    if conn.write(reply, &[]).await.is_ok() {
        close(conn, ctx).await;
    }
}

/// Closes a connection after what was written. Requests that wait here may still be taken back on it; all other input
/// is discarded.
async fn close(mut conn: PeerConn, ctx: &ServerContext) {
    if conn.finish_writing().await.is_err() {
        return;
    }
    let rest = async {
        if let Ok(StreamHead::Withdraw(attempt)) = conn.read_head(MAX_HEAD).await {
            ctx.host.controller.withdraw(attempt).await;
        }
        conn.discard_input().await;
    };
    // The connection is closed in either case.
    let _ = timeout(CLOSE_LINGER, rest).await;
}

/// Handles one exchange. Returns `false` if the connection can't be reused.
async fn handle(
    conn: &mut PeerConn,
    head: StreamHead,
    ctx: &ServerContext,
    account: &Account,
) -> Result<bool, FrameError> {
    match head {
        StreamHead::Request(head) => {
            let _open = OpenRequestGuard::new(&ctx.open_requests);
            run_request(conn, *head, &ctx.host, account).await
        }
        StreamHead::Follow(frame) => {
            serve_feed(ctx.sharing.clone(), conn, frame).await?;
            Ok(false)
        }
        StreamHead::QuotaClaims(claims) => {
            let claims = claims.into_iter().map(QuotaUsage::from).collect();
            let verdicts = ctx.host.controller.claim_quotas(claims).await;
            let verdicts = verdicts.into_iter().map(VerdictFrame::from).collect();
            conn.write(&VerdictsFrame(verdicts), &[]).await?;
            Ok(true)
        }
        StreamHead::Findings(findings) => {
            let event = ControllerEvent::FindingsReceived(findings.into());
            ctx.host.controller.notify(event);
            conn.write(&FindingsAck::default(), &[]).await?;
            Ok(true)
        }
        StreamHead::FindingsPull(digest) => {
            let findings = ctx.host.controller.findings(digest).await;
            conn.write(&FindingsFrame::from(findings.as_slice()), &[])
                .await?;
            Ok(true)
        }
        StreamHead::Withdraw(attempt) => {
            let is_found = ctx.host.controller.withdraw(attempt).await;
            conn.write(&WithdrawalAck::new(is_found), &[]).await?;
            Ok(true)
        }
        StreamHead::QuotaNotices(notices) => {
            let notices = notices.into_iter().map(QuotaNotice::from).collect();
            let event = ControllerEvent::QuotaNoticesReceived(notices);
            ctx.host.controller.notify(event);
            conn.write(&VerdictsFrame(Vec::new()), &[]).await?;
            Ok(true)
        }
    }
}

/// Runs a request and writes the reply. If the sender disconnects meanwhile, the request is cancelled if possible.
async fn run_request(
    conn: &mut PeerConn,
    head: RequestFrame,
    host: &Host,
    account: &Account,
) -> Result<bool, FrameError> {
    let is_body_read = AtomicBool::new(true);
    let reply = match head.buffered_length() {
        Some(length) if length > MAX_BUFFERED_BODY => return Err(FrameError::TooLarge(length)),
        Some(length) => {
            let _body_held = account.hold(length);
            let body = Body::Whole(conn.read_body(length).await?);
            let req = head.into_request(body, host.clock.now(), account.clone())?;
            let Some(_held) = account.try_hold_request(&req.head) else {
                write_reply(conn, busy_reply(host).await).await?;
                return Ok(true);
            };
            // After its machine was paused, a node finds requests whose senders have disconnected. `biased` detects
            // that before they run.
            tokio::select! {
                biased;
                () = conn.closed() => None,
                reply = host.run(req) => Some(reply),
            }
        }
        None => {
            is_body_read.store(false, Ordering::Relaxed);
            let (tx, rx) = body_channel(account);
            let length = head.length;
            let body = Body::Stream { length, rx };
            let req = head.into_request(body, host.clock.now(), account.clone())?;
            let Some(_held) = account.try_hold_request(&req.head) else {
                write_reply(conn, busy_reply(host).await).await?;
                return Ok(body_stream::drain_body(conn).await);
            };
            tokio::select! {
                biased;
                () = body_stream::forward_request_body(conn, tx, length, &is_body_read) => None,
                reply = host.run(req) => Some(reply),
            }
        }
    };
    let Some(reply) = reply else {
        return Ok(false);
    };
    write_reply(conn, reply).await?;
    Ok(is_body_read.load(Ordering::Relaxed) || body_stream::drain_body(conn).await)
}

async fn write_reply(conn: &mut PeerConn, reply: HostReply) -> Result<(), FrameError> {
    let head = ReplyFrame::from(&reply);
    let Ok(TargetAnswer {
        body, held: _held, ..
    }) = reply.result
    else {
        return Ok(conn.write(&head, &[]).await?);
    };
    match body {
        Body::Whole(bytes) => Ok(conn.write(&head, &bytes).await?),
        Body::Stream { rx, .. } => {
            conn.write(&head, &[]).await?;
            body_stream::send_reply_body(conn, rx).await
        }
    }
}
