//! Wrapper that keeps a value out of logs.

use std::fmt;

/// Secret value whose `Debug` output hides it.
///
/// Complete settings are printed in logs and test failures, which would otherwise disclose the keys.
#[derive(Clone, Default, PartialEq, Eq)]
pub struct Secret<T>(T);

impl<T> Secret<T> {
    /// Wraps a secret.
    pub fn new(value: T) -> Self {
        Self(value)
    }

    /// Returns the secret.
    pub fn expose(&self) -> &T {
        &self.0
    }
}

impl<T> fmt::Debug for Secret<T> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("(secret)")
    }
}
