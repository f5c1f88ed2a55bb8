//! What may strike a fleet.

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::platform::FaultMode;

/// Directions of the links between two failure domains that a cut affects.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Direction {
    /// Nothing passes.
    Both,
    /// Requests are lost.
    Requests,
    /// Answers are lost.
    Answers,
}

/// A fault; each one is undone at its end.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "kind")]
pub enum Fault {
    /// A node is killed, and started again at the end.
    Kill {
        /// The node.
        node: SmolStr,
    },
    /// A node is told to stop, and started again at the end.
    Stop {
        /// The node.
        node: SmolStr,
    },
    /// A node is killed and started again at once.
    Restart {
        /// The node.
        node: SmolStr,
    },
    /// A node sleeps until the end.
    Freeze {
        /// The node.
        node: SmolStr,
    },
    /// Links between two failure domains are cut.
    Cut {
        /// Failure domain of the callers of the links.
        from: SmolStr,
        /// Failure domain of the nodes that the links lead to.
        to: SmolStr,
        /// What is lost.
        direction: Direction,
    },
    /// Datagrams between two failure domains are doubled, overtaken and lost.
    Scramble {
        /// Failure domain of the callers of the links.
        from: SmolStr,
        /// Failure domain of the nodes that the links lead to.
        to: SmolStr,
    },
    /// The platform of a failure domain can't be read, or shows an old state.
    Platform {
        /// The failure domain.
        domain: SmolStr,
        /// How it fails.
        mode: FaultMode,
    },
    /// A target is slow and fails some calls.
    Target {
        /// The node beside it.
        node: SmolStr,
        /// Service time in milliseconds.
        service_ms: u32,
        /// Share of calls that fail.
        fail_ratio: f64,
    },
    /// The platform stops listing a node, which lives on.
    Unlist {
        /// The node.
        node: SmolStr,
    },
    /// A changed document is published; the former one again at the end.
    Publish {
        /// The changed retry allowance.
        retry_allowance: u16,
    },
}

/// A fault and its time from the start of its round.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Strike {
    /// Begin in milliseconds.
    pub at_ms: u64,
    /// End in milliseconds.
    pub until_ms: u64,
    /// What strikes.
    pub fault: Fault,
}
