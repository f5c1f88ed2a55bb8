//! One time line out of those of many nodes.

use super::record::Record;

/// All records in the order of their stamps, then of their nodes' names.
///
/// Records of one node with equal stamps keep their order.
pub fn merge(lines: Vec<Vec<Record>>) -> Vec<Record> {
    merge_by(lines, |record| (record.at, record.node.clone()))
}

/// Entries of many nodes in the order of their keys, usually a time and a name. Entries with equal keys keep their order.
pub fn merge_by<T, K, F>(lines: Vec<Vec<T>>, key: F) -> Vec<T>
where
    K: Ord,
    F: FnMut(&T) -> K,
{
    let mut entries: Vec<T> = lines.into_iter().flatten().collect();
    entries.sort_by_cached_key(key);
    entries
}
