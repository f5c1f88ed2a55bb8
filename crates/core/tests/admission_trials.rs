//! Overload simulations of the admission controller: print a table of results and check the guarantees of each variant.
//!
//! `cargo test --release --test admission_trials -- --nocapture` runs all variants with more seeds.

mod admission_support;

use std::time::Duration;

use admission_support::{CLASSES, Run, Scenario, run};
use coltsfootport_core::admission::{AdmissionConfig, AdmissionMode, LimitRule};

/// Whether to run all variants and seeds; debug builds run fewer to keep the suite short.
const FULL: bool = !cfg!(debug_assertions);

struct Variant {
    name: &'static str,
    cfg: AdmissionConfig,
    /// Minimum goodput as a share of the capacity at 2 to 8 times the load; not checked for loads that reduce the
    /// capacity.
    goodput: f64,
    /// Whether the highest class must never be shed if its own load is below the capacity.
    protects: bool,
}

struct Load {
    name: &'static str,
    scenario: Scenario,
    /// Whether the load of the highest class alone is below the capacity.
    top_fits: bool,
    /// Remaining share of the capacity during the surge.
    capacity: f64,
}

fn variants() -> Vec<Variant> {
    let base = AdmissionConfig {
        initial_limit: 20,
        ..AdmissionConfig::default()
    };
    let fixed = AdmissionConfig {
        mode: AdmissionMode::Static,
        ..base.clone()
    };
    let aimd = AdmissionConfig {
        limit_rule: LimitRule::Aimd,
        ..base.clone()
    };
    let off = AdmissionConfig {
        mode: AdmissionMode::Off,
        ..base.clone()
    };
    let of = |name, cfg, goodput| Variant {
        name,
        cfg,
        goodput,
        protects: goodput > 0.0,
    };
    let mut variants = vec![
        of("off", off, 0.0),
        of("gradient", base.clone(), 0.9),
        of(
            "gradient, hint x 4",
            AdmissionConfig {
                initial_limit: 80,
                ..base.clone()
            },
            0.9,
        ),
        of(
            "gradient, hint / 4",
            AdmissionConfig {
                initial_limit: 5,
                ..base.clone()
            },
            0.9,
        ),
    ];
    if FULL {
        variants.extend([
            of("static", fixed.clone(), 0.9),
            of(
                "static, x 4",
                AdmissionConfig {
                    initial_limit: 80,
                    ..fixed.clone()
                },
                0.9,
            ),
            of(
                "static, / 4",
                AdmissionConfig {
                    initial_limit: 5,
                    ..fixed
                },
                0.0,
            ),
            of("aimd", aimd.clone(), 0.9),
            of(
                "aimd, hint x 4",
                AdmissionConfig {
                    initial_limit: 80,
                    ..aimd.clone()
                },
                0.9,
            ),
            of(
                "aimd, hint / 4",
                AdmissionConfig {
                    initial_limit: 5,
                    ..aimd
                },
                0.9,
            ),
            of(
                "no level",
                AdmissionConfig {
                    level_shedding: false,
                    ..base.clone()
                },
                0.9,
            ),
            of(
                "no deadline check",
                AdmissionConfig {
                    deadline_check: false,
                    ..base
                },
                0.85,
            ),
        ]);
    }
    // The limit grows by one per window from a quarter of the slots. At 8 x, the highest class alone exceeds it at
    // first.
    let slow_to_grow = variants
        .iter_mut()
        .filter(|variant| variant.name == "aimd, hint / 4");
    slow_to_grow.for_each(|variant| variant.protects = false);
    variants
}

fn loads() -> Vec<Load> {
    let surge = |surge_load| Scenario {
        surge_load,
        ..Scenario::default()
    };
    let of = |name, scenario| Load {
        name,
        scenario,
        top_fits: true,
        capacity: 1.0,
    };
    let top = Scenario {
        shares: [0.4, 0.3, 0.3],
        ..surge(8.0)
    };
    let slow = Scenario {
        slowdown: 5.0,
        ..surge(0.6)
    };
    let fails = Scenario {
        fails: 0.2,
        ..surge(2.0)
    };
    let sheds = |load| Scenario {
        sheds: true,
        ..surge(load)
    };
    vec![
        of("2 x", surge(2.0)),
        of("4 x", surge(4.0)),
        of("8 x", surge(8.0)),
        of("2 x, target sheds", sheds(2.0)),
        of("8 x, target sheds", sheds(8.0)),
        Load {
            top_fits: false,
            capacity: 0.8,
            ..of("2 x, a fifth fails", fails)
        },
        of(
            "8 x, fixed time",
            Scenario {
                exponential: false,
                ..surge(8.0)
            },
        ),
        of(
            "2 x, 4 retries",
            Scenario {
                client_retries: 4,
                ..surge(2.0)
            },
        ),
        Load {
            top_fits: false,
            ..of("8 x, top 40 %", top)
        },
        Load {
            capacity: 0.2,
            ..of("5 times slower", slow)
        },
    ]
}

/// A surge of 2 to 8 times the capacity, or a slowdown of the target, lasts some seconds between periods of low load. A
/// limit that follows noise reduces the goodput, a queue that ignores classes sheds the highest class while lower ones
/// run, and a level that does not recover keeps refusing calls after the surge.
#[test]
fn goodput_order_and_recovery_hold_under_surges() {
    for load in loads() {
        println!("{}", load.name);
        for variant in variants() {
            let seeds = if FULL { 1..=5 } else { 1..=1 };
            let runs = seeds.map(|seed| {
                let cfg = variant.cfg.clone();
                let out = run(&Scenario {
                    cfg,
                    seed,
                    ..load.scenario.clone()
                });
                check(&load, &variant, &out);
                out
            });
            print(variant.name, &runs.collect::<Vec<_>>());
        }
    }
}

fn check(load: &Load, variant: &Variant, out: &Run) {
    let case = format!("{} / {}: {out:?}", load.name, variant.name);
    assert!(out.max_queue <= variant.cfg.queue_length, "{case}");
    if variant.cfg.mode == AdmissionMode::Off {
        return;
    }
    if load.scenario.sheds {
        check_shedding_target(variant, out, &case);
        return;
    }
    assert_eq!(out.inversions, 0, "{case}");
    if load.scenario.fails > 0.0 && variant.goodput > 0.0 {
        // Failures independent of the load must not reduce the slots in use.
        assert!(out.goodput > 0.6, "{case}");
        // The limit may be low at one of the two times because of a series of cuts under evaluation. If it is low at
        // both, which are seconds apart, it is stuck.
        assert!(out.limits.iter().any(|limit| *limit >= 10), "{case}");
    }
    if load.capacity < 1.0 || variant.goodput == 0.0 {
        return;
    }
    assert!(out.goodput >= variant.goodput, "{case}");
    assert!(out.recovery < Duration::from_secs(2), "{case}");
    if load.top_fits && variant.protects {
        assert_eq!(out.shed[0], 0, "{case}");
    }
    // After the surge, the limit is neither stuck at a low value nor excessive.
    assert!((10..=100).contains(&out.limits[1]), "{case}");
}

/// A target that sheds load by itself ignores classes, so it must be made to shed only few calls.
fn check_shedding_target(variant: &Variant, out: &Run, case: &str) {
    if variant.cfg.mode != AdmissionMode::Adaptive {
        return;
    }
    assert!(out.goodput > 0.85, "{case}");
    let top = f64::from(out.good[0]) / f64::from(out.offered[0]);
    assert!(top > 0.97, "{case}");
    // The surge lasts 60 windows, of which two pass before the limit is adjusted.
    assert!(out.failed[0] * 60 <= out.offered[0] * 2, "{case}");
}

fn print(name: &str, runs: &[Run]) {
    let count = runs.len() as f64;
    let mean = |value: &dyn Fn(&Run) -> f64| runs.iter().map(value).sum::<f64>() / count;
    let good = |class: usize| {
        100.0 * mean(&|r| f64::from(r.good[class]) / f64::from(r.offered[class].max(1)))
    };
    println!(
        "  {name:20} goodput {:5.1} % | by class {:5.1} {:5.1} {:5.1} % | wasted {:6.1} | shed by target {:6.1}, top {:5.1} | queue {:3} | limit {:4.0} {:4.0} | recovery {:5.2} s | p99 {:3.0} ms",
        100.0 * mean(&|r| r.goodput),
        good(0),
        good(1),
        good(CLASSES - 1),
        mean(&|r| f64::from(r.wasted)),
        mean(&|r| f64::from(r.failed.iter().sum::<u32>())),
        mean(&|r| f64::from(r.failed[0])),
        runs.iter().map(|r| r.max_queue).max().unwrap_or(0),
        mean(&|r| f64::from(r.limits[0].min(9999))),
        mean(&|r| f64::from(r.limits[1].min(9999))),
        mean(&|r| r.recovery.as_secs_f64()),
        1000.0 * mean(&|r| r.p99.as_secs_f64()),
    );
}
