//! Dependencies and settings of the spread task.

use std::sync::Arc;
use std::time::Instant;

use coltsfootport_core::dissemination::{GossipConfig, ReaderConfig, StartUpConfig};
use coltsfootport_core::id::{Incarnation, NodeName};
use slog::Logger;
use tokio::sync::{mpsc, watch};

use super::{PlatformClient, Published, SpreadMessage, StateReport};
use crate::clock::SharedClock;
use crate::metrics::Metrics;
use crate::peers::HubHandle;
use crate::recorder::Recorder;

/// Dependencies and settings of the spread task.
pub struct SpreadSetup {
    /// Name of this node.
    pub node: NodeName,
    /// Identifies this run of the process.
    pub incarnation: Incarnation,
    /// Time at which this run started.
    pub started: Instant,
    /// Settings of reads from the platform.
    pub reader: ReaderConfig,
    /// Settings of gossip with peers.
    pub gossip: GossipConfig,
    /// Settings of startup synchronization.
    pub start_up: StartUpConfig,
    /// Client of the platform.
    pub platform: PlatformClient,
    /// Connections to peers.
    pub hub: HubHandle,
    /// Clock shared by the whole process.
    pub clock: SharedClock,
    /// Records timeline events.
    pub recorder: Recorder,
    /// Metrics of the process.
    pub metrics: Metrics,
    /// Logger of the node.
    pub log: Logger,
    /// Publishes snapshots to the other tasks.
    pub published: watch::Sender<Arc<Published>>,
    /// State reports that nodes sent about themselves, taken from greetings, announcements and call replies.
    pub state_reports: mpsc::UnboundedReceiver<StateReport>,
    /// Sends messages to this task; cloned into the tasks that read the platform or send requests.
    pub tx: mpsc::UnboundedSender<SpreadMessage>,
    /// Receives the messages to this task.
    pub rx: mpsc::UnboundedReceiver<SpreadMessage>,
}
