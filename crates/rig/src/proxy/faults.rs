//! Faults of a link.

use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::error::RigError;

/// Whether a direction passes anything at all.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Cut {
    /// It does.
    #[default]
    None,
    /// TCP: open connections are closed, new ones closed on arrival. UDP: datagrams are lost.
    Close,
    /// TCP: bytes and closes are held back until the cut ends, as by retransmission. UDP: datagrams are lost.
    Blackhole,
}

/// Faults of one direction of a link.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct DirectionFaults {
    /// One-way latency in milliseconds.
    pub latency_ms: f64,
    /// Further latency in milliseconds, drawn evenly from 0 to this; keeps the order.
    pub jitter_ms: f64,
    /// Whether anything passes.
    pub cut: Cut,
    /// TCP: each connection is closed after this many bytes in this direction.
    pub truncate_bytes: Option<u64>,
    /// UDP: share of datagrams that are lost.
    pub loss: f64,
    /// UDP: share of datagrams that are sent twice.
    pub duplicate: f64,
    /// UDP: share of datagrams that are overtaken by later ones.
    pub reorder: f64,
    /// UDP: further latency in milliseconds of a reordered datagram.
    pub reorder_ms: f64,
}

impl DirectionFaults {
    /// Nothing but latency.
    pub fn latency(latency: Duration) -> Self {
        Self {
            latency_ms: latency.as_secs_f64() * 1000.0,
            ..Self::default()
        }
    }

    /// Nothing but a cut.
    pub fn cut(cut: Cut) -> Self {
        Self {
            cut,
            ..Self::default()
        }
    }

    fn check(&self) -> Result<(), RigError> {
        let times = [self.latency_ms, self.jitter_ms, self.reorder_ms];
        if times.iter().any(|ms| !(0.0..=MAX_MS).contains(ms)) {
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

/// Longest latency.
const MAX_MS: f64 = 600_000.0;

/// Faults of both directions of a link.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct LinkFaults {
    /// From the listening side to the target address.
    pub forward: DirectionFaults,
    /// Back.
    pub backward: DirectionFaults,
    /// UDP: faults of single senders, in place of the above. By these a link can take part in a partition in which it is
    /// cut off from some of its senders only.
    pub senders: Vec<SenderFaults>,
}

/// Faults between one sender and the target address of a UDP link.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SenderFaults {
    /// The address that the sender's datagrams come from.
    pub sender: SocketAddr,
    /// From the sender to the target address.
    #[serde(default)]
    pub forward: DirectionFaults,
    /// Back.
    #[serde(default)]
    pub backward: DirectionFaults,
}

impl LinkFaults {
    /// The same faults in both directions.
    pub fn both(faults: DirectionFaults) -> Self {
        Self {
            forward: faults,
            backward: faults,
            senders: Vec::new(),
        }
    }

    /// Whether connections are closed.
    pub fn closes_connections(&self) -> bool {
        self.forward.cut == Cut::Close || self.backward.cut == Cut::Close
    }

    /// Whether a handshake, which needs both directions, can't pass.
    pub fn blocks_handshake(&self) -> bool {
        self.forward.cut == Cut::Blackhole || self.backward.cut == Cut::Blackhole
    }

    /// Refuses values that can't be acted on.
    pub fn check(&self) -> Result<(), RigError> {
        let of_senders = self
            .senders
            .iter()
            .flat_map(|faults| [faults.forward, faults.backward]);
        let mut all = [self.forward, self.backward].into_iter().chain(of_senders);
        all.try_for_each(|faults| faults.check())
    }

    /// These faults with the fields of a JSON object, such as `{"forward": {"cut": "close"}}`, in place of their own.
    pub fn with_patch(&self, patch: &[u8]) -> Result<Self, RigError> {
        let mut fields = serde_json::to_value(self)?;
        merge(&mut fields, serde_json::from_slice(patch)?);
        let faults: Self = serde_json::from_value(fields)?;
        faults.check()?;
        Ok(faults)
    }
}

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
