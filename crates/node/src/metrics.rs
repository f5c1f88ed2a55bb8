//! Everything that a node counts, in the format of Prometheus.

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

/// All metrics of a node; clones share the same values and cost one count.
#[derive(Clone, Debug)]
pub struct Metrics(Arc<MetricSet>);

/// The metrics by subject.
#[derive(Debug)]
pub struct MetricSet {
    /// Calls, retries and the time added to them.
    pub calls: CallMetrics,
    /// Admission in front of the target.
    pub admission: AdmissionMetrics,
    /// Idempotency tokens.
    pub tokens: TokenMetrics,
    /// Documents and reads of the platform.
    pub documents: DocumentMetrics,
    /// Peers by state.
    pub peers: PeerMetrics,
    /// Traffic between nodes other than calls.
    pub control: ControlMetrics,
    /// Rejected input and breached invariants.
    pub faults: FaultMetrics,
    registry: Registry,
}

impl Metrics {
    /// Metrics in a registry of their own, all at 0.
    ///
    /// # Errors
    ///
    /// A metric's name or labels are malformed or used twice: a defect of this module.
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

    /// The current values in the text format.
    pub fn encode(&self) -> String {
        let mut text = String::new();
        match TextEncoder::new().encode_utf8(&self.registry.gather(), &mut text) {
            Ok(()) => text,
            Err(fault) => format!("# {fault}\n"),
        }
    }
}

impl Deref for Metrics {
    type Target = MetricSet;

    fn deref(&self) -> &MetricSet {
        &self.0
    }
}
