//! Messages to the spread task.

use coltsfootport_core::id::NodeName;
use coltsfootport_core::membership::NodeState;
use tokio::sync::oneshot;

use super::platform_client::{ConfigPage, InstancePage};
use crate::operators::{DocumentStatus, PlatformStatus};
use crate::wire::{ControlReply, ControlRequest};

/// A message to the spread task.
#[derive(Debug)]
pub enum SpreadMessage {
    /// A read of the configuration service finished; `None` if it failed.
    ConfigRead(Option<ConfigPage>),
    /// A read of the instance list finished; `None` if it failed.
    ListRead(Option<InstancePage>),
    /// A peer sent a control request about published entries, the instance list or node states.
    Request(ControlRequest, oneshot::Sender<ControlReply>),
    /// A peer replied to a request of this node.
    Reply(NodeName, ControlReply),
    /// The request failed or timed out after a connection to the peer was established.
    NoReply,
    /// No connection to the peer could be established.
    Unreachable(NodeName),
    /// This node has started serving or leaving.
    StateChanged(NodeState),
    /// Requests the state of every document for the operators' listener.
    DocumentStatus(oneshot::Sender<Vec<DocumentStatus>>),
    /// Requests the state of platform reads for the operators' listener.
    PlatformStatus(oneshot::Sender<PlatformStatus>),
}
