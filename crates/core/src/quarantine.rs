//! Detects requests that crash the targets running them and stops them across the fleet.
//!
//! When a target crashes, every request running there becomes a suspect. A complete response clears a request. Requests
//! suspected of several crashes run one at a time per target, as probes. A request whose probe ends in a crash is the
//! culprit, and is refused by every node for a while. Crashes outside of probes refuse nothing, however many there are: an
//! outage of all targets is a crash per target for every popular request.

mod config;
mod crash_id;
mod crash_set;
mod finding;
mod fingerprint;
mod recent_answers;
mod record;
mod registry;
mod suspicion;

pub use config::QuarantineConfig;
pub use crash_id::CrashId;
pub use crash_set::CrashSet;
pub use finding::{Crashes, Evidence, Finding};
pub use fingerprint::{
    BodyDigest, Fingerprint, FingerprintKey, Fingerprinter, MAX_DIGESTED_BODY_BYTES, RequestParts,
};
pub use recent_answers::RecentAnswers;
pub use registry::SuspectRegistry;
pub use suspicion::SuspicionLevel;
