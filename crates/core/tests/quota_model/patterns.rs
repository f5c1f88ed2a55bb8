//! Load patterns.

use crate::scenario::{Cut, CutKind, Scenario, quota};

/// Load patterns with the most that may be refused of what is allowed.
pub fn patterns() -> Vec<(&'static str, Scenario, f64)> {
    let base = Scenario::default();
    let hot = |usual: f64, times: f64| vec![(1.0, usual), (5.0, usual * times), (13.0, usual)];
    vec![
        (
            "calm, 5 requests a second",
            Scenario {
                quota: quota(8.0),
                demand: vec![(2.0, 5.0)],
                ..base.clone()
            },
            0.01,
        ),
        ("calm, 22 requests a second", base.clone(), 0.01),
        (
            "calm, 180 requests a second",
            Scenario {
                quota: quota(288.0),
                demand: vec![(1.0, 180.0)],
                ..base.clone()
            },
            0.01,
        ),
        (
            "hot 4.5 times, small",
            Scenario {
                quota: quota(8.0),
                demand: hot(5.0, 4.5),
                ..base.clone()
            },
            0.25,
        ),
        (
            "hot 7.5 times, large",
            Scenario {
                quota: quota(288.0),
                demand: hot(180.0, 7.5),
                ..base.clone()
            },
            0.25,
        ),
        (
            "hot 20 times",
            Scenario {
                demand: hot(22.0, 20.0),
                ..base.clone()
            },
            0.25,
        ),
        (
            "lowered to a tenth",
            Scenario {
                lowered: Some((5.0, quota(3.5))),
                ..base.clone()
            },
            0.01,
        ),
        (
            "cut in two, calm",
            Scenario {
                cut: Some((29, 4.0, 14.0)),
                ..base.clone()
            },
            0.05,
        ),
        (
            "cut in two, hot 7.5 times",
            Scenario {
                quota: quota(288.0),
                demand: hot(180.0, 7.5),
                cut: Some((29, 4.0, 14.0)),
                ..base.clone()
            },
            0.25,
        ),
        (
            "one home lost, calm",
            Scenario {
                lost: Some((5.0, 1)),
                ..base.clone()
            },
            0.03,
        ),
        (
            "all homes lost, hot 7.5 times",
            Scenario {
                demand: hot(22.0, 7.5),
                lost: Some((4.0, 3)),
                ..base.clone()
            },
            1.0,
        ),
        (
            "all restart within a surge, hot 7.5 times",
            Scenario {
                quota: quota(288.0),
                demand: hot(180.0, 7.5),
                restarts: vec![8.0, 9.5],
                ..base.clone()
            },
            0.25,
        ),
        (
            "all restart within a surge and are ready a second later",
            Scenario {
                quota: quota(288.0),
                demand: hot(180.0, 7.5),
                restarts: vec![6.0, 9.0],
                warm_s: 1.0,
                ..base.clone()
            },
            0.25,
        ),
        (
            "1,400 nodes, calm",
            Scenario {
                nodes: 1400,
                seconds: 8.0,
                ..base.clone()
            },
            0.01,
        ),
        (
            "1,400 nodes, hot 7.5 times",
            Scenario {
                nodes: 1400,
                quota: quota(288.0),
                demand: hot(180.0, 7.5),
                ..base
            },
            0.25,
        ),
    ]
}

/// Cuts beside a workspace at six times its usual, at fleets of several sizes.
pub fn cuts() -> Vec<(String, Scenario)> {
    let kinds = [
        CutKind::Together,
        CutKind::Alone,
        CutKind::Deaf,
        CutKind::Mute,
    ];
    let cut = |share, from, until, kind| Cut {
        share,
        from,
        until,
        kind,
    };
    let mut cases = Vec::new();
    for (nodes, per_second) in [(14, 60.0), (58, 233.0), (58, 12.0)] {
        for kind in kinds {
            for (what, cuts) in [
                ("short", vec![cut(0.4, 7.0, 12.0, kind)]),
                ("as the surge comes", vec![cut(0.4, 4.0, 9.0, kind)]),
                ("long", vec![cut(0.4, 5.0, 17.0, kind)]),
                ("most nodes", vec![cut(0.8, 6.0, 13.0, kind)]),
                (
                    "twice",
                    vec![cut(0.4, 6.0, 8.0, kind), cut(0.4, 9.0, 11.5, kind)],
                ),
            ] {
                let usual = per_second / 1.6;
                let scenario = Scenario {
                    nodes,
                    quota: quota(per_second),
                    demand: vec![(1.0, usual), (4.0, usual * 6.0), (18.0, usual)],
                    cuts,
                    ..Scenario::default()
                };
                let what = format!("{nodes} nodes, {per_second} a second, {kind:?}, {what}");
                cases.push((what, scenario));
            }
        }
    }
    cases
}
