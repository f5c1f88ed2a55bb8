//! Handle to the routes task.

use coltsfootport_core::id::{NodeName, ServiceName};
use coltsfootport_core::once::Token;
use tokio::sync::{mpsc, oneshot};

use super::{Choice, PeerLoad, PickRequest, Route, RoutesMessage};
use crate::data::HostReport;

/// Sends messages to the routes task; cheap to clone.
#[derive(Clone, Debug)]
pub struct RoutesHandle {
    tx: mpsc::UnboundedSender<RoutesMessage>,
}

impl RoutesHandle {
    /// Creates a handle that sends to `tx`.
    pub fn new(tx: mpsc::UnboundedSender<RoutesMessage>) -> Self {
        Self { tx }
    }

    /// Chooses a host for an attempt.
    pub async fn pick(&self, request: PickRequest) -> Choice {
        self.ask(|reply| RoutesMessage::Pick(request, reply))
            .await
            .unwrap_or(Choice::NoHost)
    }

    /// Returns the home that a token names, if it is in the list of instances.
    pub async fn home(&self, token: &Token) -> Option<Route> {
        self.ask(|reply| RoutesMessage::Home(token.clone(), reply))
            .await
            .flatten()
    }

    /// Records a host's report of its state.
    pub fn record_report(&self, report: HostReport) {
        let _ = self.tx.send(RoutesMessage::HostReport(report));
    }

    /// Mints a token for a home that has sent a report before.
    pub async fn mint(&self, home: &NodeName, service: &ServiceName) -> Option<Token> {
        self.ask(|reply| RoutesMessage::Mint(home.clone(), service.clone(), reply))
            .await
            .flatten()
    }

    /// Takes one retry from the budget of a service; returns false if none is left.
    pub async fn spend_retry(&self, service: &ServiceName) -> bool {
        self.ask(|reply| RoutesMessage::SpendRetry(service.clone(), reply))
            .await
            .unwrap_or(false)
    }

    /// Returns the state of all peers.
    pub async fn peers(&self) -> Vec<PeerLoad> {
        self.ask(RoutesMessage::Peers).await.unwrap_or_default()
    }

    async fn ask<T, M>(&self, message: M) -> Option<T>
    where
        M: FnOnce(oneshot::Sender<T>) -> RoutesMessage,
    {
        let (reply, answer) = oneshot::channel();
        self.tx.send(message(reply)).ok()?;
        answer.await.ok()
    }
}
