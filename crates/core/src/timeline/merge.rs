//! Merging the timelines of several nodes.

use super::record::Record;

/// Merges timelines into one that is sorted by stamp and node name.
///
/// Records of the same node with equal stamps keep their order.
pub fn merge(timelines: Vec<Vec<Record>>) -> Vec<Record> {
    merge_by(timelines, |record| (record.at, record.node.clone()))
}

/// Merges entries of several nodes by a sort key, usually a time and a node name. Entries with equal keys keep their
/// order.
pub fn merge_by<T, K, F>(timelines: Vec<Vec<T>>, key: F) -> Vec<T>
where
    K: Ord,
    F: FnMut(&T) -> K,
{
    let mut entries: Vec<T> = timelines.into_iter().flatten().collect();
    entries.sort_by_cached_key(key);
    entries
}
