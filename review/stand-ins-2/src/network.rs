//! The network between the zones of a site: carries connections with a delay in each direction.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tokio::time::{Instant, sleep_until};

/// Bytes carried at once.
const PART: usize = 64 * 1024;

/// Parts on their way in one direction of a connection. Further ones wait at the sender.
const WINDOW: usize = 64;

/// Accepts connections at `from` and carries them to `to`.
pub async fn carry(from: SocketAddr, to: SocketAddr, delay: Duration) -> io::Result<()> {
    let listener = TcpListener::bind(from).await?;
    tokio::spawn(async move {
        while let Ok((near, _)) = listener.accept().await {
            tokio::spawn(async move {
                let Ok(far) = TcpStream::connect(to).await else {
                    return;
                };
                let _ = (near.set_nodelay(true), far.set_nodelay(true));
                let (near_rx, near_tx) = near.into_split();
                let (far_rx, far_tx) = far.into_split();
                tokio::spawn(pump(near_rx, far_tx, delay));
                tokio::spawn(pump(far_rx, near_tx, delay));
            });
        }
    });
    Ok(())
}

async fn pump(mut rx: OwnedReadHalf, mut tx: OwnedWriteHalf, delay: Duration) {
    let (parts_tx, mut parts) = mpsc::channel::<(Instant, Vec<u8>)>(WINDOW);
    tokio::spawn(async move {
        let mut buf = vec![0; PART];
        // An empty part stands for the end of this direction.
        while let Ok(read) = rx.read(&mut buf).await {
            let part = (Instant::now() + delay, buf[..read].to_vec());
            if parts_tx.send(part).await.is_err() || read == 0 {
                return;
            }
        }
    });
    while let Some((due, part)) = parts.recv().await {
        sleep_until(due).await;
        if part.is_empty() || tx.write_all(&part).await.is_err() {
            return;
        }
    }
}
