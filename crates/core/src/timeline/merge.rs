//! One time line out of those of many nodes.

use super::record::Record;

/// All records in the order of their stamps, then of their nodes' names.
///
/// Records of one node with equal stamps keep their order.
pub fn merge(lines: Vec<Vec<Record>>) -> Vec<Record> {
    let mut records: Vec<_> = lines.into_iter().flatten().collect();
    records.sort_by(|a, b| a.at.cmp(&b.at).then_with(|| a.node.cmp(&b.node)));
    records
}
