//! The task that carries words about quotas between the controller and other nodes.

use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

use coltsfootport_core::workspace::{QuotaNotice, RoutedClaim};
use slog::{Logger, debug};
use tokio::sync::mpsc;
use tokio::time::{MissedTickBehavior, interval};

use super::controller::{ControllerEvent, ControllerHandle};
use super::link::{self, PeerPool};

/// Time between two looks at how many nodes are silent.
const SILENCE_LOOKS: Duration = Duration::from_millis(500);

/// What the controller has to say about quotas.
#[derive(Debug)]
pub enum QuotaWord {
    /// To a home: what was used.
    Claims(IpAddr, Vec<RoutedClaim>),
    /// To entries: what this node, a home, has decided.
    Notices(Vec<IpAddr>, Vec<QuotaNotice>),
}

/// Carries words for as long as the controller lives.
#[derive(Clone)]
pub struct QuotaCarrier {
    /// Who decides.
    pub controller: ControllerHandle,
    /// Links to other nodes.
    pub links: PeerPool,
    /// Port at which nodes take words of others.
    pub peers_port: u16,
    /// Log.
    pub log: Logger,
}

impl QuotaCarrier {
    /// Runs until the controller is gone. Each word goes by itself: a home that is gone holds no other one up.
    pub async fn run(self, mut words: mpsc::UnboundedReceiver<QuotaWord>) {
        let mut looks = interval(SILENCE_LOOKS);
        looks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            let word = tokio::select! {
                word = words.recv() => word,
                _ = looks.tick() => {
                    let silent = ControllerEvent::SilentPeerShare(self.links.silent_share());
                    self.controller.notify(silent);
                    continue;
                }
            };
            let Some(word) = word else {
                return;
            };
            match word {
                QuotaWord::Claims(home, claims) => {
                    tokio::spawn(self.clone().claim(home, claims));
                }
                QuotaWord::Notices(entries, notices) => {
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
                debug!(self.log, "home of quotas does not answer"; "home" => %home, "reason" => %e);
                ControllerEvent::QuotaClaimsUndelivered(claims)
            }
        };
        self.controller.notify(event);
    }

    async fn notify(self, entries: Vec<IpAddr>, notices: Vec<QuotaNotice>) {
        for entry in entries {
            let address = SocketAddr::new(entry, self.peers_port);
            // An entry that can't be reached now is told with its next claim, or again in a moment.
            if let Err(e) = link::send_notices(&self.links, address, &notices).await {
                debug!(self.log, "entry not told of a quota"; "entry" => %entry, "reason" => %e);
            }
        }
    }
}
