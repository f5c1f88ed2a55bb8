//! TCP acceptor of the operators listener; waits after a failed accept.

use std::io;
use std::sync::Arc;
use std::time::Duration;

use salvo::conn::tcp::TcpAcceptor;
use salvo::conn::{Accepted, Acceptor, Holding};
use salvo::fuse::FuseFactory;
use tokio::net::TcpListener;
use tokio::time::sleep;

/// Delay before the next accept after one has failed.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(100);

/// Accepts connections on the operators listener and backs off after errors.
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
            // When the process runs out of file descriptors, `accept` fails immediately and the server retries
            // immediately. Without the delay this busy loop would take a whole core away from calls, at the time when
            // there are most of them: the node is slow and busy although it does little work. The delay limits the loop
            // to about ten attempts per second.
            sleep(ACCEPT_RETRY_DELAY).await;
        }
        accepted
    }
}
