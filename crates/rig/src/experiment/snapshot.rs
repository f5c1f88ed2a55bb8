//! Counts of all targets at one moment.

use std::collections::BTreeMap;

use smol_str::SmolStr;

use crate::error::RigError;
use crate::fleet::Fleet;
use crate::target::TargetCounts;

/// Counts by node.
#[derive(Clone, Debug, Default)]
pub(super) struct Snapshot {
    counts: BTreeMap<SmolStr, TargetCounts>,
}

/// Work between two snapshots.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Work {
    /// Calls that arrived.
    pub arrived: u64,
    /// Milliseconds of work.
    pub work_ms: f64,
    /// Milliseconds of work of calls that failed or were cancelled.
    pub wasted_ms: f64,
}

impl Snapshot {
    /// Asks every running target.
    pub(super) async fn take(fleet: &Fleet) -> Result<Self, RigError> {
        let mut counts = BTreeMap::new();
        for member in fleet.members.values().filter(|m| m.target.is_some()) {
            let path = "/counts?keys=none";
            let found = fleet.client.get(member.addresses.target, path).await?;
            counts.insert(member.name.clone(), found);
        }
        Ok(Self { counts })
    }

    /// Work of the targets whose nodes' names begin with `prefix` since an earlier snapshot.
    ///
    /// A target that was restarted meanwhile counts from zero, so what it did before its end is missing.
    pub(super) fn since(&self, earlier: &Self, prefix: &str) -> Work {
        let mut work = Work::default();
        let none = TargetCounts::default();
        for (name, now) in self
            .counts
            .iter()
            .filter(|(name, _)| name.starts_with(prefix))
        {
            let before = earlier.counts.get(name).unwrap_or(&none);
            let before = if before.arrived > now.arrived {
                &none
            } else {
                before
            };
            work.arrived += now.arrived - before.arrived;
            work.work_ms += now.work_ms - before.work_ms;
            work.wasted_ms += now.wasted_ms - before.wasted_ms;
        }
        work
    }
}
