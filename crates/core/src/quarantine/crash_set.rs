//! Bounded set of crashes.

use super::CrashId;

/// Distinct crashes, at most [`CrashSet::MAX_LEN`].
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct CrashSet(Vec<CrashId>);

impl CrashSet {
    /// Maximum number of crashes.
    pub const MAX_LEN: usize = 8;

    /// Returns the number of crashes.
    pub fn len(&self) -> usize {
        self.0.len()
    }

    /// Returns whether there are no crashes.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Returns the crashes in descending order of their ids.
    pub fn as_slice(&self) -> &[CrashId] {
        &self.0
    }

    /// Adds other crashes; returns whether anything changed.
    ///
    /// Keeps the greatest ids, so that all nodes keep the same ones regardless of the order in which they receive them.
    pub fn merge(&mut self, other: &Self) -> bool {
        let before = self.0.clone();
        self.0.extend_from_slice(&other.0);
        self.0.sort_unstable_by(|a, b| b.cmp(a));
        self.0.dedup();
        self.0.truncate(Self::MAX_LEN);
        self.0 != before
    }
}

impl FromIterator<CrashId> for CrashSet {
    fn from_iter<I>(ids: I) -> Self
    where
        I: IntoIterator<Item = CrashId>,
    {
        let mut set = Self::default();
        set.merge(&Self(ids.into_iter().collect()));
        set
    }
}
