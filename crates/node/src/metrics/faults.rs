//! Metrics of rejected input and breached invariants.

use coltsfootport_core::invariant::Invariant;
use prometheus::{Error, IntCounter, IntCounterVec, Registry};

use super::register;

/// Kind of input that was rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum RejectedInput {
    /// Frame that is malformed, too large or has a wrong checksum.
    Frame,
    /// Certificate of a peer that does not belong to the fleet.
    Certificate,
    /// Peer that uses the name of another node.
    Name,
    /// Reply to another call, or one that returns more retry allowance than was granted.
    Reply,
    /// Token that is forged or malformed.
    Token,
}

/// Metrics of rejected input and breached invariants.
#[derive(Clone, Debug)]
pub struct FaultMetrics {
    breaches: IntCounterVec,
    rejected: IntCounterVec,
    ignored_stamps: IntCounter,
}

impl FaultMetrics {
    pub(super) fn new(reg: &Registry) -> Result<Self, Error> {
        let metrics = Self {
            breaches: register::counter_vec(
                reg,
                "invariant_breaches_total",
                "Breaches of an invariant: each one is a defect of coltsfootport.",
                &["invariant"],
            )?,
            rejected: register::counter_vec(
                reg,
                "rejected_total",
                "Input from outside that was rejected, by what it was.",
                &["what"],
            )?,
            ignored_stamps: register::counter(
                reg,
                "clock_stamps_ignored_total",
                "Time line stamps of peers that lay too far ahead.",
            )?,
        };
        for invariant in Invariant::ALL {
            metrics
                .breaches
                .with_label_values(&[invariant.as_str()])
                .inc_by(0);
        }
        for what in RejectedInput::ALL {
            metrics
                .rejected
                .with_label_values(&[what.as_str()])
                .inc_by(0);
        }
        Ok(metrics)
    }

    /// Counts a breach of an invariant.
    pub fn record_breach(&self, invariant: Invariant) {
        self.breaches.with_label_values(&[invariant.as_str()]).inc();
    }

    /// Returns the number of breaches of an invariant since startup.
    pub fn breaches(&self, invariant: Invariant) -> u64 {
        self.breaches.with_label_values(&[invariant.as_str()]).get()
    }

    /// Counts rejected input.
    pub fn record_rejected(&self, what: RejectedInput) {
        self.rejected.with_label_values(&[what.as_str()]).inc();
    }

    /// Counts a timeline stamp of a peer that was ignored because it was too far ahead.
    pub fn record_ignored_stamp(&self) {
        self.ignored_stamps.inc();
    }
}

impl RejectedInput {
    /// All kinds.
    pub const ALL: [Self; 5] = [
        Self::Frame,
        Self::Certificate,
        Self::Name,
        Self::Reply,
        Self::Token,
    ];

    /// Returns the label value used in metrics.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Frame => "frame",
            Self::Certificate => "certificate",
            Self::Name => "name",
            Self::Reply => "reply",
            Self::Token => "token",
        }
    }
}
