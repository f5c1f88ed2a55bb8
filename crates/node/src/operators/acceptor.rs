//! The operators listener with a pause after failures.

use std::io;
use std::sync::Arc;
use std::time::Duration;

use salvo::conn::tcp::TcpAcceptor;
use salvo::conn::{Accepted, Acceptor, Holding};
use salvo::fuse::FuseFactory;
use tokio::net::TcpListener;
use tokio::time::sleep;

/// Time without new connections after one could not be accepted.
const FAILURE_PAUSE: Duration = Duration::from_millis(100);

/// Accepts the connections of operators.
pub(super) struct OperatorsAcceptor {
    inner: TcpAcceptor,
}

impl TryFrom<TcpListener> for OperatorsAcceptor {
    type Error = io::Error;

    fn try_from(listener: TcpListener) -> Result<Self, Self::Error> {
        Ok(Self {
            inner: TcpAcceptor::try_from(listener)?,
        })
    }
}

impl Acceptor for OperatorsAcceptor {
    type Conn = <TcpAcceptor as Acceptor>::Conn;

    fn holdings(&self) -> &[Holding] {
        self.inner.holdings()
    }

    async fn accept(
        &mut self,
        fuse_factory: Option<Arc<dyn FuseFactory + Sync + Send>>,
    ) -> io::Result<Accepted<Self::Conn>> {
        let accepted = self.inner.accept(fuse_factory).await;
        if accepted.is_err() {
            // When the process is out of file descriptors, accepting fails at once and the server tries again at once:
            // a loop that takes the whole core away from the calls just when they are many. One would notice a node
            // that is slow and busy without work. The pause bounds the loop to a few turns a second.
            sleep(FAILURE_PAUSE).await;
        }
        accepted
    }
}
