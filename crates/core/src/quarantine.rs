//! Requests that crash the targets which run them, and how the fleet stops sending them.

mod crash_id;
mod fingerprint;

pub use crash_id::CrashId;
pub use fingerprint::{
    BodyDigest, DIGESTED_BODY, Fingerprint, FingerprintKey, Fingerprinter, RequestParts,
};
