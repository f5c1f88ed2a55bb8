//! Prometheus metrics of a node.

mod admission;
mod calls;
mod control;
mod documents;
mod faults;
mod from_event;
mod peers;
mod register;
mod tokens;

use std::ops::Deref;
use std::sync::Arc;

use prometheus::{Registry, TextEncoder};

pub use admission::AdmissionMetrics;
pub use calls::{CallMetrics, Listener, Stage};
pub use control::{ControlKind, ControlMetrics};
pub use documents::{DocumentMetrics, PlatformReadResult};
pub use faults::{FaultMetrics, RejectedInput};
pub use peers::{PeerMetrics, PeerState};
pub use tokens::{TokenEvent, TokenMetrics};

/// Handle to all metrics of a node. Clones share the same values and are cheap.
#[derive(Clone, Debug)]
pub struct Metrics(Arc<MetricSet>);

/// Metrics grouped by subject.
#[derive(Debug)]
pub struct MetricSet {
    /// Calls, retries and added latency.
    pub calls: CallMetrics,
    /// Admission control in front of the target.
    pub admission: AdmissionMetrics,
    /// Idempotency tokens.
    pub tokens: TokenMetrics,
    /// Documents and reads from the platform.
    pub documents: DocumentMetrics,
    /// Peers by state.
    pub peers: PeerMetrics,
    /// Control traffic between nodes.
    pub control: ControlMetrics,
    /// Rejected input and breached invariants.
    pub faults: FaultMetrics,
    registry: Registry,
}

impl Metrics {
    /// Creates the metrics in a new registry, all with value 0.
    ///
    /// # Errors
    ///
    /// Fails if the name or labels of a metric are malformed or used twice, which is a defect of this module.
    pub fn new() -> Result<Self, prometheus::Error> {
        let registry = Registry::new();
        Ok(Self(Arc::new(MetricSet {
            calls: CallMetrics::new(&registry)?,
            admission: AdmissionMetrics::new(&registry)?,
            tokens: TokenMetrics::new(&registry)?,
            documents: DocumentMetrics::new(&registry)?,
            peers: PeerMetrics::new(&registry)?,
            control: ControlMetrics::new(&registry)?,
            faults: FaultMetrics::new(&registry)?,
            registry,
        })))
    }

    /// Returns the current values in the Prometheus text format.
    pub fn encode(&self) -> String {
        let mut text = String::new();
        match TextEncoder::new().encode_utf8(&self.registry.gather(), &mut text) {
            Ok(()) => text,
            Err(err) => format!("# {err}\n"),
        }
    }
}

impl Deref for Metrics {
    type Target = MetricSet;

    fn deref(&self) -> &MetricSet {
        &self.0
    }
}
