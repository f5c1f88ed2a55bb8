//! Try numbers of a token.

use serde::{Deserialize, Serialize};

/// Number of a try of a token, starting at 1. The caller increments it each time it sends the token.
///
/// A call that carries a token without a number is [`Try::FIRST`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Try(pub u32);

impl Try {
    /// First try.
    pub const FIRST: Self = Self(1);

    /// Lower than every try: no try has arrived, or none was refused.
    pub(super) const NONE: Self = Self(0);
}
