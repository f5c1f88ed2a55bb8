//! Metrics of idempotency tokens.

use prometheus::{Error, IntCounterVec, IntGauge, Registry};

use super::calls::gauge_value;
use super::register;

/// Event in the life of a token.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum TokenEvent {
    /// Issued to a caller.
    Minted,
    /// Received by its home for the first time and accepted.
    Begun,
    /// Answered with a stored answer.
    Replayed,
    /// Joined to the running call of the same token.
    Joined,
    /// Permanently refused up to a given try.
    Burned,
}

/// Metrics of idempotency tokens.
#[derive(Clone, Debug)]
pub struct TokenMetrics {
    events: IntCounterVec,
    table_size: IntGauge,
    table_capacity: IntGauge,
}

impl TokenMetrics {
    pub(super) fn new(reg: &Registry) -> Result<Self, Error> {
        let metrics = Self {
            events: register::counter_vec(reg, "tokens_total", "Events of tokens.", &["event"])?,
            table_size: register::gauge(reg, "once_table_size", "Tokens that are remembered.")?,
            table_capacity: register::gauge(
                reg,
                "once_table_capacity",
                "Tokens that can be remembered; a full table refuses new ones.",
            )?,
        };
        for event in TokenEvent::ALL {
            metrics
                .events
                .with_label_values(&[event.as_str()])
                .inc_by(0);
        }
        Ok(metrics)
    }

    /// Counts an event that concerns `tokens` tokens.
    pub fn count(&self, event: TokenEvent, tokens: u64) {
        self.events
            .with_label_values(&[event.as_str()])
            .inc_by(tokens);
    }

    /// Sets the number of stored tokens and the capacity of the table.
    pub fn set_table_size(&self, tokens: usize, capacity: usize) {
        self.table_size.set(gauge_value(tokens));
        self.table_capacity.set(gauge_value(capacity));
    }
}

impl TokenEvent {
    /// All events.
    pub const ALL: [Self; 5] = [
        Self::Minted,
        Self::Begun,
        Self::Replayed,
        Self::Joined,
        Self::Burned,
    ];

    /// Returns the label value used in metrics.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Minted => "minted",
            Self::Begun => "begun",
            Self::Replayed => "replayed",
            Self::Joined => "joined",
            Self::Burned => "burned",
        }
    }
}
