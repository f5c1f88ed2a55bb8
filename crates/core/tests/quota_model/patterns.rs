//! Load patterns.

use crate::scenario::{Partition, PartitionKind, Scenario, quota};

/// Returns load patterns, each with the maximum share of requests that may be refused while the demand is within the
/// quota.
pub fn patterns() -> Vec<(&'static str, Scenario, f64)> {
    let base = Scenario::default();
    let surge = |usual: f64, factor: f64| vec![(1.0, usual), (5.0, usual * factor), (13.0, usual)];
    vec![
        (
            "steady, 5 requests per second",
            Scenario {
                quota: quota(8.0),
                demand: vec![(2.0, 5.0)],
                ..base.clone()
            },
            0.01,
        ),
        ("steady, 22 requests per second", base.clone(), 0.01),
        (
            "steady, 180 requests per second",
            Scenario {
                quota: quota(288.0),
                demand: vec![(1.0, 180.0)],
                ..base.clone()
            },
            0.01,
        ),
        (
            "4.5x surge, small",
            Scenario {
                quota: quota(8.0),
                demand: surge(5.0, 4.5),
                ..base.clone()
            },
            0.25,
        ),
        (
            "7.5x surge, large",
            Scenario {
                quota: quota(288.0),
                demand: surge(180.0, 7.5),
                ..base.clone()
            },
            0.25,
        ),
        (
            "20x surge",
            Scenario {
                demand: surge(22.0, 20.0),
                ..base.clone()
            },
            0.25,
        ),
        (
            "quota lowered to a tenth",
            Scenario {
                lowered: Some((5.0, quota(3.5))),
                ..base.clone()
            },
            0.01,
        ),
        (
            "split in two, steady",
            Scenario {
                split: Some((29, 4.0, 14.0)),
                ..base.clone()
            },
            0.05,
        ),
        (
            "split in two, 7.5x surge",
            Scenario {
                quota: quota(288.0),
                demand: surge(180.0, 7.5),
                split: Some((29, 4.0, 14.0)),
                ..base.clone()
            },
            0.25,
        ),
        (
            "one home lost, steady",
            Scenario {
                lost_homes: Some((5.0, 1)),
                ..base.clone()
            },
            0.03,
        ),
        (
            "all homes lost, 7.5x surge",
            Scenario {
                demand: surge(22.0, 7.5),
                lost_homes: Some((4.0, 3)),
                ..base.clone()
            },
            1.0,
        ),
        (
            "all restart during a 7.5x surge",
            Scenario {
                quota: quota(288.0),
                demand: surge(180.0, 7.5),
                restarts: vec![8.0, 9.5],
                ..base.clone()
            },
            0.25,
        ),
        (
            "all restart during a surge, ready a second later",
            Scenario {
                quota: quota(288.0),
                demand: surge(180.0, 7.5),
                restarts: vec![6.0, 9.0],
                warmup_s: 1.0,
                ..base.clone()
            },
            0.25,
        ),
        (
            "1,400 nodes, steady",
            Scenario {
                nodes: 1400,
                seconds: 8.0,
                ..base.clone()
            },
            0.01,
        ),
        (
            "1,400 nodes, 7.5x surge",
            Scenario {
                nodes: 1400,
                quota: quota(288.0),
                demand: surge(180.0, 7.5),
                ..base
            },
            0.25,
        ),
    ]
}

/// Returns network partitions during a surge to six times the usual demand, in fleets of several sizes.
pub fn partitions() -> Vec<(String, Scenario)> {
    let kinds = [
        PartitionKind::Connected,
        PartitionKind::Isolated,
        PartitionKind::SendOnly,
        PartitionKind::ReceiveOnly,
    ];
    let partition = |share, from, until, kind| Partition {
        share,
        from,
        until,
        kind,
    };
    let mut cases = Vec::new();
    for (nodes, per_second) in [(14, 60.0), (58, 233.0), (58, 12.0)] {
        for kind in kinds {
            for (what, partitions) in [
                ("short", vec![partition(0.4, 7.0, 12.0, kind)]),
                (
                    "at the start of the surge",
                    vec![partition(0.4, 4.0, 9.0, kind)],
                ),
                ("long", vec![partition(0.4, 5.0, 17.0, kind)]),
                ("most nodes", vec![partition(0.8, 6.0, 13.0, kind)]),
                (
                    "twice",
                    vec![
                        partition(0.4, 6.0, 8.0, kind),
                        partition(0.4, 9.0, 11.5, kind),
                    ],
                ),
            ] {
                let usual = per_second / 1.6;
                let scenario = Scenario {
                    nodes,
                    quota: quota(per_second),
                    demand: vec![(1.0, usual), (4.0, usual * 6.0), (18.0, usual)],
                    partitions,
                    ..Scenario::default()
                };
                let what = format!("{nodes} nodes, {per_second} per second, {kind:?}, {what}");
                cases.push((what, scenario));
            }
        }
    }
    cases
}
