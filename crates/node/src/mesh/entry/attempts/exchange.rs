//! The exchange of one attempt with the host of its instance.

use std::net::SocketAddr;
use std::pin::pin;
use std::time::Duration;

use tokio::time::sleep;

use super::Attempts;
use crate::mesh::call::{AttemptToken, HostReply, HostedRequest};
use crate::mesh::controller::InstanceGrant;
use crate::mesh::entry::Entry;
use crate::mesh::link::{self, LinkError};
use crate::wire::FrameError;

/// Interval at which a request is taken back from a host that has not found it.
const WITHDRAWAL_INTERVAL: Duration = Duration::from_millis(100);

impl Attempts<'_> {
    /// Sends the request to its host and waits for the reply. If it may no longer wait there, it is taken back, but its
    /// reply is awaited in any case: the host ignores a withdrawal once the target has the request.
    pub(super) async fn exchange(
        &self,
        to: &InstanceGrant,
        req: HostedRequest,
    ) -> Result<HostReply, LinkError> {
        let may_wait = req.may_wait();
        let attempt = req.attempt;
        let mut reply = pin!(self.send(to, req));
        if may_wait {
            tokio::select! {
                biased;
                reply = &mut reply => return reply,
                () = self.withdraw_when_waiting_is_over(to, attempt) => {}
            }
        }
        reply.await
    }

    async fn send(&self, to: &InstanceGrant, req: HostedRequest) -> Result<HostReply, LinkError> {
        match to.is_local {
            true => Ok(self.entry.host.run(req).await),
            false => link::send(&self.entry.links, self.peer(to), req).await,
        }
    }

    fn peer(&self, to: &InstanceGrant) -> SocketAddr {
        SocketAddr::new(to.chosen.address.ip(), self.entry.peers_port)
    }

    /// Takes the request back from its host when the requests of this stopping node may no longer wait. Returns when the
    /// host has found it.
    async fn withdraw_when_waiting_is_over(&self, to: &InstanceGrant, attempt: AttemptToken) {
        self.entry.shutdown.waiting_over().await;
        let mut is_failure_logged = false;
        // The withdrawal may overtake the request.
        loop {
            match self.withdraw(to, attempt).await {
                Ok(true) => return,
                Ok(false) => {}
                Err(e) if !is_failure_logged => {
                    is_failure_logged = true;
                    let journal = &self.entry.journal;
                    journal.withdrawal_failed(&self.id, &to.chosen.id, &e.to_string());
                }
                // Logged with the first failure of this attempt.
                Err(_) => {}
            }
            sleep(WITHDRAWAL_INTERVAL).await;
        }
    }

    /// Takes the request back from its host. Returns whether the host has found it.
    async fn withdraw(
        &self,
        to: &InstanceGrant,
        attempt: AttemptToken,
    ) -> Result<bool, FrameError> {
        let Entry {
            links, controller, ..
        } = self.entry;
        match to.is_local {
            true => Ok(controller.withdraw(attempt).await),
            false => link::withdraw(links, self.peer(to), attempt).await,
        }
    }
}
