//! Metrics of rejected input and breached invariants.

use coltsfootport_core::invariant::Invariant;
use prometheus::{Error, IntCounter, IntCounterVec, Registry};

use super::register;

/// Input that was rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum RejectedInput {
    /// A frame that is malformed, too long or fails its checksum.
    Frame,
    /// A peer's certificate that is not of the fleet.
    Certificate,
    /// A peer that speaks under the name of another node.
    Name,
    /// A reply to another call, or one that gives back more than it was given.
    Reply,
    /// A token that is forged or malformed.
    Token,
}

/// Rejected input and breached invariants.
#[derive(Clone, Debug)]
pub struct FaultMetrics {
    breaches: IntCounterVec,
    rejected: IntCounterVec,
    stamps: IntCounter,
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
            stamps: register::counter(
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

    /// Counts a breach.
    pub fn record_breach(&self, invariant: Invariant) {
        self.breaches.with_label_values(&[invariant.as_str()]).inc();
    }

    /// Breaches of an invariant since the start.
    pub fn breaches(&self, invariant: Invariant) -> u64 {
        self.breaches.with_label_values(&[invariant.as_str()]).get()
    }

    /// Counts rejected input.
    pub fn record_rejected(&self, what: RejectedInput) {
        self.rejected.with_label_values(&[what.as_str()]).inc();
    }

    /// Counts a peer's stamp that was ignored.
    pub fn record_ignored_stamp(&self) {
        self.stamps.inc();
    }
}

impl RejectedInput {
    /// Everything that can be rejected.
    pub const ALL: [Self; 5] = [
        Self::Frame,
        Self::Certificate,
        Self::Name,
        Self::Reply,
        Self::Token,
    ];

    /// The label in metrics.
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
