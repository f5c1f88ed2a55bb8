//! What is said to the spread task.

use coltsfootport_core::id::NodeName;
use coltsfootport_core::membership::NodeState;
use tokio::sync::oneshot;

use super::platform_client::{ConfigPage, InstancePage};
use crate::operators::{DocumentStatus, PlatformStatus};
use crate::wire::{ControlReply, ControlRequest};

/// Everything that is said to the spread task.
#[derive(Debug)]
pub enum SpreadMessage {
    /// A read of the configuration service ended; `None` where it failed.
    ConfigRead(Option<ConfigPage>),
    /// A read of the list of instances ended; `None` where it failed.
    ListRead(Option<InstancePage>),
    /// A peer sent a control request about what is published.
    Request(ControlRequest, oneshot::Sender<ControlReply>),
    /// A peer replied to this node's request.
    Reply(NodeName, ControlReply),
    /// A peer did not reply in time.
    NoReply,
    /// A peer could not be reached.
    Unreachable(NodeName),
    /// This node has begun to serve or to leave.
    StateChanged(NodeState),
    /// State of every document, for operators.
    DocumentStatus(oneshot::Sender<Vec<DocumentStatus>>),
    /// State of the platform, for operators.
    PlatformStatus(oneshot::Sender<PlatformStatus>),
}
