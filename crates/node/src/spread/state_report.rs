//! State reports: the state that a node announces about itself.

use coltsfootport_core::id::{Incarnation, NodeName};
use coltsfootport_core::membership::NodeState;
use coltsfootport_core::once::Tick;

use crate::data::HostReport;

/// State that a node announced about itself. It takes precedence over the platform's instance list, which lags behind.
#[derive(Clone, Debug)]
pub struct StateReport {
    /// Name of the reporting node.
    pub node: NodeName,
    /// Identifies the run of the process that sent the report.
    pub incarnation: Incarnation,
    /// Lifecycle state of the node.
    pub state: NodeState,
    /// Time of the report on the reporting node's own clock; orders reports of one run.
    pub tick: Tick,
    /// Highest revision in the node's replica; 0 in reports that did not come with a `HostReport`.
    pub revision: u64,
}

impl From<&HostReport> for StateReport {
    fn from(report: &HostReport) -> Self {
        Self {
            node: report.node.clone(),
            incarnation: report.incarnation,
            state: report.state,
            tick: Tick(report.tick.0),
            revision: report.revision,
        }
    }
}
