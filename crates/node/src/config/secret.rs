//! A value that must not reach logs.

use std::fmt;

/// A secret, whose debug form hides it.
///
/// Settings are printed whole in logs and test failures; without this a key would be readable wherever a log goes.
#[derive(Clone, Default, PartialEq, Eq)]
pub struct Secret<T>(T);

impl<T> Secret<T> {
    /// Wraps a secret.
    pub fn new(value: T) -> Self {
        Self(value)
    }

    /// The secret itself, for the code that uses it.
    pub fn expose(&self) -> &T {
        &self.0
    }
}

impl<T> fmt::Debug for Secret<T> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("(secret)")
    }
}
