//! The snapshot that every other task reads.

use std::net::SocketAddr;
use std::sync::Arc;

use coltsfootport_core::collections::Map;
use coltsfootport_core::document::Document;
use coltsfootport_core::id::ServiceName;
use coltsfootport_core::routing::PeerView;

/// Documents in force and nodes believed to exist, at one moment.
#[derive(Clone, Debug, Default)]
pub struct Published {
    /// Documents in force by service.
    pub documents: Map<ServiceName, DocumentInForce>,
    /// Nodes on the list with what they told of themselves.
    pub nodes: Vec<NodeEntry>,
    /// Highest revision of the configuration service known here.
    pub revision: u64,
    /// Whether this node knows enough to serve.
    pub ready: bool,
}

/// A document that calls are classified by.
#[derive(Clone, Debug)]
pub struct DocumentInForce {
    /// Its revision.
    pub revision: u64,
    /// The document.
    pub document: Arc<Document>,
}

/// A node on the list.
#[derive(Clone, Debug)]
pub struct NodeEntry {
    /// As routing sees it.
    pub view: PeerView,
    /// Its peers' address.
    pub peer: SocketAddr,
    /// Its operators' address.
    pub operators: SocketAddr,
}
