//! Faults that can be injected into a link.

use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::error::RigError;

/// Whether and how a direction is interrupted.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Cut {
    /// Traffic passes.
    #[default]
    None,
    /// TCP: open connections are closed and new ones are closed when accepted. UDP: datagrams are dropped.
    Close,
    /// TCP: bytes and closes are held back until the cut ends and then delivered, as TCP retransmission would do. UDP:
    /// datagrams are dropped.
    Blackhole,
}

/// Faults of one direction of a link.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct DirectionFaults {
    /// One-way latency in milliseconds.
    pub latency_ms: f64,
    /// Upper bound of additional latency in milliseconds, drawn uniformly from zero to this value. Preserves the order.
    pub jitter_ms: f64,
    /// Whether and how the direction is interrupted.
    pub cut: Cut,
    /// TCP: each connection is closed after this many bytes in this direction.
    pub truncate_bytes: Option<u64>,
    /// UDP: fraction of datagrams that are dropped.
    pub loss: f64,
    /// UDP: fraction of datagrams that are sent twice.
    pub duplicate: f64,
    /// UDP: fraction of datagrams that are delayed so that later ones can overtake them.
    pub reorder: f64,
    /// UDP: additional latency of a reordered datagram, in milliseconds.
    pub reorder_ms: f64,
}

impl DirectionFaults {
    /// Creates faults that only add latency.
    pub fn latency(latency: Duration) -> Self {
        Self {
            latency_ms: latency.as_secs_f64() * 1000.0,
            ..Self::default()
        }
    }

    /// Creates faults that only interrupt the direction.
    pub fn cut(cut: Cut) -> Self {
        Self {
            cut,
            ..Self::default()
        }
    }

    fn check(&self) -> Result<(), RigError> {
        let times = [self.latency_ms, self.jitter_ms, self.reorder_ms];
        if times.iter().any(|ms| !(0.0..=MAX_LATENCY_MS).contains(ms)) {
            return Err(RigError::Settings(
                "latencies are from 0 to 600000 ms".into(),
            ));
        }
        let shares = [self.loss, self.duplicate, self.reorder];
        if shares.iter().any(|share| !(0.0..=1.0).contains(share)) {
            return Err(RigError::Settings("shares are from 0 to 1".into()));
        }
        Ok(())
    }
}

/// Upper bound of each configured latency, in milliseconds.
const MAX_LATENCY_MS: f64 = 600_000.0;

/// Faults of both directions of a link.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct LinkFaults {
    /// From the listening side to the target address.
    pub forward: DirectionFaults,
    /// From the target address back to the listening side.
    pub backward: DirectionFaults,
    /// UDP: faults of individual senders, which replace those of the link. They model a partition that cuts the link off
    /// from only some of its senders.
    pub senders: Vec<SenderFaults>,
}

/// Faults between one sender and the target address of a UDP link.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SenderFaults {
    /// Source address of the sender's datagrams.
    pub sender: SocketAddr,
    /// From the sender to the target address.
    #[serde(default)]
    pub forward: DirectionFaults,
    /// From the target address back to the sender.
    #[serde(default)]
    pub backward: DirectionFaults,
}

impl LinkFaults {
    /// Creates the same faults for both directions.
    pub fn both(faults: DirectionFaults) -> Self {
        Self {
            forward: faults,
            backward: faults,
            senders: Vec::new(),
        }
    }

    /// Whether a direction is cut by [`Cut::Close`], which closes the whole connection.
    pub fn closes_connections(&self) -> bool {
        self.forward.cut == Cut::Close || self.backward.cut == Cut::Close
    }

    /// Whether a blackhole in either direction prevents a handshake, which needs both.
    pub fn blocks_handshake(&self) -> bool {
        self.forward.cut == Cut::Blackhole || self.backward.cut == Cut::Blackhole
    }

    /// Rejects latencies and fractions that are out of range.
    pub fn check(&self) -> Result<(), RigError> {
        let sender_faults = self
            .senders
            .iter()
            .flat_map(|faults| [faults.forward, faults.backward]);
        let mut all = [self.forward, self.backward]
            .into_iter()
            .chain(sender_faults);
        all.try_for_each(|faults| faults.check())
    }

    /// Returns a copy with the fields of a JSON object, such as `{"forward": {"cut": "close"}}`, replaced.
    pub fn with_patch(&self, patch: &[u8]) -> Result<Self, RigError> {
        let mut fields = serde_json::to_value(self)?;
        merge(&mut fields, serde_json::from_slice(patch)?);
        let faults: Self = serde_json::from_value(fields)?;
        faults.check()?;
        Ok(faults)
    }
}

/// Merges `patch` into `into`. Nested objects are merged; any other value is replaced.
fn merge(into: &mut Value, patch: Value) {
    match (into, patch) {
        (Value::Object(into), Value::Object(patch)) => {
            for (name, value) in patch {
                merge(into.entry(name).or_insert(Value::Null), value);
            }
        }
        (into, patch) => *into = patch,
    }
}
