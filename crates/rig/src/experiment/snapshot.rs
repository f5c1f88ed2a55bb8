//! Snapshots of the counters of all targets.

use std::collections::BTreeMap;

use smol_str::SmolStr;

use crate::error::RigError;
use crate::fleet::Fleet;
use crate::target::TargetCounts;

/// Counters of the running targets at one moment, by node name.
#[derive(Clone, Debug, Default)]
pub(super) struct Snapshot {
    counts: BTreeMap<SmolStr, TargetCounts>,
}

/// Work that targets did between two snapshots.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Work {
    /// Calls that arrived.
    pub arrived: u64,
    /// Time spent on calls, in milliseconds.
    pub work_ms: f64,
    /// Time spent on calls that failed or were cancelled, in milliseconds.
    pub wasted_ms: f64,
}

impl Snapshot {
    /// Reads the counters of every running target.
    pub(super) async fn take(fleet: &Fleet) -> Result<Self, RigError> {
        let mut counts = BTreeMap::new();
        for member in fleet.members.values().filter(|m| m.target.is_some()) {
            let path = "/counts?keys=none";
            let found = fleet.client.get(member.addresses.target, path).await?;
            counts.insert(member.name.clone(), found);
        }
        Ok(Self { counts })
    }

    /// Sums the work since `earlier` of targets whose node name starts with `prefix`.
    ///
    /// The counters of a target that was restarted in between start again from zero, so its work before the restart is
    /// missing.
    pub(super) fn since(&self, earlier: &Self, prefix: &str) -> Work {
        let mut work = Work::default();
        let zero = TargetCounts::default();
        for (name, now) in self
            .counts
            .iter()
            .filter(|(name, _)| name.starts_with(prefix))
        {
            let before = earlier.counts.get(name).unwrap_or(&zero);
            let before = if before.arrived > now.arrived {
                &zero
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
