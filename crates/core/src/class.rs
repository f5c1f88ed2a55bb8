//! The class of a call, which orders calls for shedding.

use serde::{Deserialize, Serialize};

/// Rank of a call for shedding: 0 is shed last, higher ranks are shed earlier.
///
/// The document of a service names its classes; the position in that list is the rank.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Class(pub u8);

impl Class {
    /// The rank that is shed last.
    pub const HIGHEST: Self = Self(0);

    /// Number of ranks that a document may name.
    pub const COUNT: usize = 8;

    /// The rank that is shed first.
    pub const LOWEST: Self = Self(Self::COUNT as u8 - 1);
}
