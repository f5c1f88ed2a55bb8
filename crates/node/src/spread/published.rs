//! Snapshot of documents and nodes that the spread task publishes to all other tasks.

use std::net::SocketAddr;
use std::sync::Arc;

use coltsfootport_core::collections::Map;
use coltsfootport_core::document::Document;
use coltsfootport_core::id::ServiceName;
use coltsfootport_core::routing::PeerView;

/// Snapshot of the documents in force and the nodes on the instance list.
#[derive(Clone, Debug, Default)]
pub struct Published {
    /// Documents in force, by service.
    pub documents: Map<ServiceName, DocumentInForce>,
    /// Nodes on the instance list, with the state from their own reports.
    pub nodes: Vec<NodeEntry>,
    /// Highest configuration revision in the local replica.
    pub revision: u64,
    /// Whether startup synchronization has completed, so that this node may serve.
    pub ready: bool,
}

/// The newest valid version of a document, by which calls are classified.
#[derive(Clone, Debug)]
pub struct DocumentInForce {
    /// Revision of this version.
    pub revision: u64,
    /// Parsed document.
    pub document: Arc<Document>,
}

/// A node on the instance list.
#[derive(Clone, Debug)]
pub struct NodeEntry {
    /// Properties used for routing.
    pub view: PeerView,
    /// Address of its listener for peers.
    pub peer: SocketAddr,
    /// Address of its listener for operators.
    pub operators: SocketAddr,
}
