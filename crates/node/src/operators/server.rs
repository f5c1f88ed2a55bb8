//! The HTTP server on the operators listener.

use std::io;

use salvo::{Router, Server};
use tokio::net::TcpListener;
use tokio::sync::mpsc;

use super::acceptor::OperatorsAcceptor;
use super::handlers::{Drain, Health, MetricsText, Nodes, Status, Timeline};
use super::query::OperatorQuery;
use crate::metrics::Metrics;

/// Questions that may wait for the node's tasks; further ones are answered `503`.
pub const QUERY_QUEUE: usize = 64;

/// Answers operators until the task that runs this is dropped.
///
/// # Errors
///
/// The listener is no longer usable.
pub async fn serve(
    listener: TcpListener,
    queries: mpsc::Sender<OperatorQuery>,
    metrics: Metrics,
) -> io::Result<()> {
    let acceptor = OperatorsAcceptor::try_from(listener)?;
    Server::new(acceptor)
        .try_serve(router(&queries, metrics))
        .await
}

fn router(queries: &mpsc::Sender<OperatorQuery>, metrics: Metrics) -> Router {
    Router::new()
        .push(Router::with_path("status").get(Status {
            queries: queries.clone(),
        }))
        .push(Router::with_path("metrics").get(MetricsText { metrics }))
        .push(Router::with_path("timeline").get(Timeline {
            queries: queries.clone(),
        }))
        .push(Router::with_path("nodes").get(Nodes {
            queries: queries.clone(),
        }))
        .push(Router::with_path("health").get(Health {
            queries: queries.clone(),
        }))
        .push(Router::with_path("drain").post(Drain {
            queries: queries.clone(),
        }))
}
