//! Classes of calls, which determine the order of load shedding.

use serde::{Deserialize, Serialize};

/// Shedding rank of a call: 0 is shed last, higher ranks are shed earlier.
///
/// The rank is the index of the class in the list of the service's document.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Class(pub u8);

impl Class {
    /// Rank that is shed last.
    pub const HIGHEST: Self = Self(0);

    /// Maximum number of classes in a document.
    pub const COUNT: usize = 8;

    /// Rank that is shed first.
    pub const LOWEST: Self = Self(Self::COUNT as u8 - 1);
}
