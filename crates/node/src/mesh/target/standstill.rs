//! Finds out when a target that does not respond reads from its connections again.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};

/// Longest time that one connection is waited for. A connection may be dead although the target works.
const ATTEMPT_TIMEOUT: Duration = Duration::from_secs(2);

/// Delay after a connection that failed.
const RETRY_DELAY: Duration = Duration::from_millis(500);

/// Waits until the target's process reads from a new connection.
///
/// The connection carries no request, which the target could run after its caller has left. It is closed for writing
/// at once, and the target closes it in turn when it reads the end.
pub async fn wait_until_reading(target: SocketAddr) {
    while !matches!(timeout(ATTEMPT_TIMEOUT, read_end(target)).await, Ok(Ok(_))) {
        sleep(RETRY_DELAY).await;
    }
}

async fn read_end(target: SocketAddr) -> io::Result<usize> {
    let mut stream = TcpStream::connect(target).await?;
    stream.shutdown().await?;
    stream.read(&mut [0]).await
}
