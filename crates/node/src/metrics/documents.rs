//! Metrics of documents and of reads from the platform.

use coltsfootport_core::id::ServiceName;
use prometheus::{Error, IntCounterVec, IntGauge, IntGaugeVec, Registry};

use super::register;

/// Result of a read from the platform.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum PlatformReadResult {
    /// The read returned newer data.
    Updated,
    /// The read returned no newer data.
    Unchanged,
    /// The read failed or timed out.
    Failed,
}

/// Metrics of documents and of reads from the platform.
#[derive(Clone, Debug)]
pub struct DocumentMetrics {
    revision_in_force: IntGaugeVec,
    rejected: IntCounterVec,
    platform_revision: IntGauge,
    reads: IntCounterVec,
    reader: IntGauge,
}

impl DocumentMetrics {
    pub(super) fn new(reg: &Registry) -> Result<Self, Error> {
        let metrics = Self {
            revision_in_force: register::gauge_vec(
                reg,
                "document_revision",
                "Revision of the document in force, by service.",
                &["service"],
            )?,
            rejected: register::counter_vec(
                reg,
                "documents_rejected_total",
                "Invalid revisions of a document, by service.",
                &["service"],
            )?,
            platform_revision: register::gauge(
                reg,
                "platform_revision",
                "Revision of the configuration service, as last read or heard of.",
            )?,
            reads: register::counter_vec(
                reg,
                "platform_reads_total",
                "Calls to the platform, by their end.",
                &["end"],
            )?,
            reader: register::gauge(
                reg,
                "platform_reader",
                "1 while this node reads the platform for its failure domain.",
            )?,
        };
        for result in PlatformReadResult::ALL {
            metrics
                .reads
                .with_label_values(&[result.as_str()])
                .inc_by(0);
        }
        Ok(metrics)
    }

    /// Sets the revision of a service's document that is in force.
    pub fn set_in_force(&self, service: &ServiceName, revision: u64) {
        let revision = i64::try_from(revision).unwrap_or(i64::MAX);
        self.revision_in_force
            .with_label_values(&[service.as_str()])
            .set(revision);
    }

    /// Counts an invalid revision of a service's document.
    pub fn record_rejected(&self, service: &ServiceName) {
        self.rejected.with_label_values(&[service.as_str()]).inc();
    }

    /// Sets the revision of the configuration service.
    pub fn set_platform_revision(&self, revision: u64) {
        self.platform_revision
            .set(i64::try_from(revision).unwrap_or(i64::MAX));
    }

    /// Counts a read from the platform.
    pub fn record_read(&self, result: PlatformReadResult) {
        self.reads.with_label_values(&[result.as_str()]).inc();
    }

    /// Sets whether this node is a reader of the platform for its failure domain.
    pub fn set_reader(&self, reader: bool) {
        self.reader.set(i64::from(reader));
    }
}

impl PlatformReadResult {
    /// All results.
    pub const ALL: [Self; 3] = [Self::Updated, Self::Unchanged, Self::Failed];

    /// Returns the label value used in metrics.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Updated => "news",
            Self::Unchanged => "nothing",
            Self::Failed => "failed",
        }
    }
}
