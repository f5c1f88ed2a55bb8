//! HTTP server of the operators listener.

use std::io;

use salvo::{Router, Server};
use tokio::net::TcpListener;
use tokio::sync::mpsc;

use super::acceptor::OperatorsAcceptor;
use super::handlers::{Drain, Health, MetricsText, Nodes, Status, Timeline};
use super::query::OperatorQuery;
use crate::metrics::Metrics;

/// Capacity of the query queue to the node tasks; requests beyond it are answered with `503`.
pub const QUERY_QUEUE_CAPACITY: usize = 64;

/// Serves the operators listener until the future is dropped.
///
/// # Errors
///
/// Fails if the listener is no longer usable.
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
