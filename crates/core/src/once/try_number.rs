//! The number of a sending of a token.

use serde::{Deserialize, Serialize};

/// Number of a sending of a token, from 1; its caller raises it at each sending.
///
/// A call that bears a token and no number is [`Try::FIRST`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Try(pub u32);

impl Try {
    /// The first sending.
    pub const FIRST: Self = Self(1);

    /// Below every sending: "no try was burned yet".
    pub(super) const NONE: Self = Self(0);
}
