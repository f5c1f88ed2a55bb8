//! What the task is made of.

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

/// What the task is made of.
pub struct SpreadSetup {
    /// Name of the node.
    pub node: NodeName,
    /// This run of the node.
    pub incarnation: Incarnation,
    /// When this run began.
    pub started: Instant,
    /// Settings of the reads.
    pub reader: ReaderConfig,
    /// Settings of the exchange with peers.
    pub gossip: GossipConfig,
    /// Settings of the wait at the start.
    pub start_up: StartUpConfig,
    /// Reads the platform.
    pub platform: PlatformClient,
    /// Connections to peers.
    pub hub: HubHandle,
    /// The process's clock.
    pub clock: SharedClock,
    /// Where events are recorded.
    pub recorder: Recorder,
    /// Metrics of the process.
    pub metrics: Metrics,
    /// The node's log.
    pub log: Logger,
    /// Where snapshots are published to the other tasks.
    pub published: watch::Sender<Arc<Published>>,
    /// State reports that nodes sent about themselves, taken from greetings, announcements and call replies.
    pub state_reports: mpsc::UnboundedReceiver<StateReport>,
    /// Sends to the task itself.
    pub tx: mpsc::UnboundedSender<SpreadMessage>,
    /// Messages to the task.
    pub rx: mpsc::UnboundedReceiver<SpreadMessage>,
}
