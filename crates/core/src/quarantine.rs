//! Detects requests that crash the targets running them and stops them across the fleet.
//!
//! When a target crashes, every request running there becomes a suspect. A complete response clears a request. Requests
//! suspected of several crashes run one at a time per target, so that the next crash identifies the culprit, which is
//! then refused by every node.

mod config;
mod crash_id;
mod finding;
mod fingerprint;
mod registry;
mod suspicion;

pub use config::QuarantineConfig;
pub use crash_id::CrashId;
pub use finding::{Crashes, Evidence, Finding};
pub use fingerprint::{
    BodyDigest, Fingerprint, FingerprintKey, Fingerprinter, MAX_DIGESTED_BODY_BYTES, RequestParts,
};
pub use registry::SuspectRegistry;
pub use suspicion::SuspicionLevel;
