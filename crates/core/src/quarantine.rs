//! Requests that crash the targets which run them, and how the fleet stops sending them.
//!
//! A crash makes all requests at work suspects. One whole answer clears a request. Suspects of several crashes run one at a
//! time at a target, so that the next crash shows which of them it was; that one is refused everywhere.

mod config;
mod crash_id;
mod finding;
mod fingerprint;
mod register;
mod standing;

pub use config::QuarantineConfig;
pub use crash_id::CrashId;
pub use finding::{Crashes, Evidence, Finding};
pub use fingerprint::{
    BodyDigest, DIGESTED_BODY, Fingerprint, FingerprintKey, Fingerprinter, RequestParts,
};
pub use register::Register;
pub use standing::Standing;
