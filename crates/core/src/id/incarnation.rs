//! The identity of one run of a node process.

use std::fmt;

use serde::{Deserialize, Serialize};
use uuid::Uuid;

/// Random identity of one run of a node; a restarted node has a new one.
///
/// State kept in memory ends with the incarnation, so whatever names an incarnation can't be confused with a later run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Incarnation(pub u128);

impl Incarnation {
    /// A fresh identity.
    pub fn random() -> Self {
        Self(Uuid::new_v4().as_u128())
    }
}

impl fmt::Display for Incarnation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", self.0)
    }
}
