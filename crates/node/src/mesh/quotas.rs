//! Task that sends quota messages of the controller to other nodes.

use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

use coltsfootport_core::workspace::{QuotaNotice, RoutedClaim};
use slog::{Logger, debug};
use tokio::sync::mpsc;
use tokio::time::{MissedTickBehavior, interval};

use super::controller::{ControllerEvent, ControllerHandle};
use super::link::{self, PeerPool};

/// Interval between checks of how many nodes are silent.
const SILENCE_CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// A quota message that the controller wants sent.
#[derive(Debug)]
pub enum QuotaMessage {
    /// Reports usage to a home.
    Claims(IpAddr, Vec<RoutedClaim>),
    /// Sends verdicts of this node, as a home, to entry nodes.
    Notices(Vec<IpAddr>, Vec<QuotaNotice>),
}

/// Sends quota messages for as long as the controller runs.
#[derive(Clone)]
pub struct QuotaSender {
    /// Receives the replies of homes and the share of silent nodes.
    pub controller: ControllerHandle,
    /// Links to other nodes.
    pub links: PeerPool,
    /// Port on which nodes accept connections from peers.
    pub peers_port: u16,
    /// Logger.
    pub log: Logger,
}

impl QuotaSender {
    /// Runs until the controller has stopped. Each message is sent by a task of its own, so that an unreachable home
    /// does not delay the others.
    pub async fn run(self, mut messages: mpsc::UnboundedReceiver<QuotaMessage>) {
        let mut checks = interval(SILENCE_CHECK_INTERVAL);
        checks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            let message = tokio::select! {
                message = messages.recv() => message,
                _ = checks.tick() => {
                    let silent = ControllerEvent::SilentPeerShare(self.links.silent_share());
                    self.controller.notify(silent);
                    continue;
                }
            };
            let Some(message) = message else {
                return;
            };
            match message {
                QuotaMessage::Claims(home, claims) => {
                    tokio::spawn(self.clone().claim(home, claims));
                }
                QuotaMessage::Notices(entries, notices) => {
                    tokio::spawn(self.clone().notify(entries, notices));
                }
            }
        }
    }

    async fn claim(self, home: IpAddr, claims: Vec<RoutedClaim>) {
        let address = SocketAddr::new(home, self.peers_port);
        let event = match link::send_claims(&self.links, address, &claims).await {
            Ok(verdicts) => {
                let confirmed = claims.into_iter().zip(verdicts);
                ControllerEvent::QuotaClaimsConfirmed(confirmed.collect())
            }
            Err(e) => {
                debug!(self.log, "quota home does not answer"; "home" => %home, "reason" => %e);
                ControllerEvent::QuotaClaimsUndelivered(claims)
            }
        };
        self.controller.notify(event);
    }

    async fn notify(self, entries: Vec<IpAddr>, notices: Vec<QuotaNotice>) {
        for entry in entries {
            let address = SocketAddr::new(entry, self.peers_port);
            // An entry node that is unreachable now gets the verdicts with its next claim or with a later notice.
            if let Err(e) = link::send_notices(&self.links, address, &notices).await {
                debug!(self.log, "cannot notify entry of quota verdicts"; "entry" => %entry, "reason" => %e);
            }
        }
    }
}
