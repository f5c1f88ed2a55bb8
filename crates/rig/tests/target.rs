//! Tests of the stand-in target: slots, cancellation, draining, faulty responses and downstream calls.

mod common;

use coltsfootport_rig::http::Client;
use coltsfootport_rig::target::{
    DownstreamMode, Echo, Health, KeyRuns, Load, ServiceTime, Settings, WhenFull,
};
use tokio::task::JoinSet;

use crate::common::{EVENT_TIMEOUT, counts, counts_until, get_with_key, target};

/// Starts `n` calls with keys `k0`, `k1` and so on.
fn start_calls(client: &Client, addr: std::net::SocketAddr, n: usize) -> JoinSet<u16> {
    let mut calls = JoinSet::new();
    for i in 0..n {
        let (client, call) = (
            client.clone(),
            get_with_key(addr, "/x", &format!("k{i}"), EVENT_TIMEOUT),
        );
        calls.spawn(async move { client.send(call).await.map_or(0, |a| a.status.as_u16()) });
    }
    calls
}

#[tokio::test]
async fn calls_are_run_queued_or_refused_by_slots() {
    struct Case {
        settings: Settings,
        in_flight: usize,
        queued: usize,
        refused: u64,
    }
    let base = Settings {
        slots: 2,
        hang: true,
        ..Settings::default()
    };
    let limited = Settings {
        queue_limit: Some(1),
        ..base.clone()
    };
    let slow = Settings {
        when_full: WhenFull::Slow,
        ..base.clone()
    };
    let cases = [
        Case {
            settings: base,
            in_flight: 2,
            queued: 6,
            refused: 0,
        },
        Case {
            settings: limited,
            in_flight: 2,
            queued: 1,
            refused: 5,
        },
        Case {
            settings: slow,
            in_flight: 8,
            queued: 0,
            refused: 0,
        },
    ];
    let client = Client::default();
    for case in cases {
        let target = target(case.settings.clone(), None).await;
        let _calls = start_calls(&client, target.addr(), 8);
        let counts = counts_until(&client, &target, |counts| {
            counts.arrived == 8 && counts.started == case.in_flight as u64
        })
        .await;
        let seen = (counts.in_flight, counts.queued, counts.refused);
        assert_eq!(
            seen,
            (case.in_flight, case.queued, case.refused),
            "{:?}",
            case.settings
        );
        assert_eq!(counts.max_in_flight, case.in_flight);
    }
    let settings = Settings {
        slots: 2,
        service_time: ServiceTime::Exponential,
        ..Settings::default()
    };
    let target = target(settings, None).await;
    assert_eq!(
        start_calls(&client, target.addr(), 40).join_all().await,
        [200; 40]
    );
    let counts = counts(&client, &target).await;
    assert_eq!(
        (
            counts.finished,
            counts.max_in_flight,
            counts.max_runs_per_key()
        ),
        (40, 2, 1)
    );
    assert_eq!(
        (counts.in_flight, counts.queued, counts.wasted_ms),
        (0, 0, 0.0)
    );
}

/// One call runs and another waits for the only slot when both callers disconnect. A target that honours cancellation
/// discards the work; one that ignores it finishes the work unobserved. The queued call must never run.
#[tokio::test]
async fn a_closed_connection_cancels() {
    struct Case {
        ignore_cancel: bool,
        hang: bool,
        ran: KeyRuns,
    }
    let begun = KeyRuns {
        started: 1,
        ..KeyRuns::default()
    };
    let cases = [
        Case {
            ignore_cancel: false,
            hang: true,
            ran: KeyRuns {
                cancelled: 1,
                ..begun
            },
        },
        Case {
            ignore_cancel: false,
            hang: false,
            ran: KeyRuns {
                cancelled: 1,
                ..begun
            },
        },
        Case {
            ignore_cancel: true,
            hang: false,
            ran: KeyRuns {
                finished: 1,
                ..begun
            },
        },
    ];
    let client = Client::default();
    for case in cases {
        let settings = Settings {
            slots: 1,
            service_ms: if case.ignore_cancel {
                1_000.0
            } else {
                60_000.0
            },
            hang: case.hang,
            queue_limit: Some(1),
            ignore_cancel: case.ignore_cancel,
            ..Settings::default()
        };
        let target = target(settings, None).await;
        let runs = start_calls(&client, target.addr(), 1);
        counts_until(&client, &target, |counts| counts.in_flight == 1).await;
        // The second call gets the queue space that the first one left.
        for _ in 0..2 {
            let waits = tokio::spawn({
                let (client, call) = (
                    client.clone(),
                    get_with_key(target.addr(), "/x", "waits", EVENT_TIMEOUT),
                );
                async move { client.send(call).await }
            });
            counts_until(&client, &target, |counts| counts.queued == 1).await;
            waits.abort();
            counts_until(&client, &target, |counts| counts.queued == 0).await;
        }
        drop(runs);

        let counts = counts_until(&client, &target, |counts| {
            counts.in_flight == 0 && counts.cancelled + counts.finished == 1
        })
        .await;
        assert_eq!(counts.keys.get("k0"), Some(&case.ran), "{counts:?}");
        assert_eq!(
            counts.keys.get("waits"),
            None,
            "the queued call must not run: {counts:?}"
        );
        let is_wasted = case.ran.cancelled == 1 && !case.hang;
        assert!(!is_wasted || counts.wasted_ms > 0.0, "{counts:?}");
    }
}

#[tokio::test]
async fn a_drain_refuses_new_calls_and_finishes_running_ones() {
    let client = Client::default();
    let settings = Settings {
        slots: 4,
        service_ms: 1_000.0,
        ..Settings::default()
    };
    let target = target(settings, None).await;
    let running = start_calls(&client, target.addr(), 3);
    counts_until(&client, &target, |counts| counts.in_flight == 3).await;
    let load = client
        .post_json(target.addr(), "/drain", &())
        .await
        .expect("drain");
    let load: Load = serde_json::from_slice(&load.body).expect("parse load");
    assert_eq!(
        load,
        Load {
            in_flight: 3,
            queued: 0,
            slots: 4,
            draining: true
        }
    );
    let refused = client
        .send(get_with_key(target.addr(), "/x", "late", EVENT_TIMEOUT))
        .await;
    assert_eq!(refused.expect("response").status.as_u16(), 503);
    assert_eq!(running.join_all().await, [200; 3]);
    let counts = counts(&client, &target).await;
    assert_eq!((counts.finished, counts.refused), (3, 1));
    assert!(!counts.keys.contains_key("late"));
}

#[tokio::test]
async fn health_and_load_lie_as_told() {
    let client = Client::default();
    let cases = [
        (Health::Truthful, false, 200),
        (Health::Truthful, true, 503),
        (Health::AlwaysHealthy, true, 200),
        (Health::AlwaysUnhealthy, false, 503),
    ];
    for (health, hang, status) in cases {
        let settings = Settings {
            health,
            hang,
            load_factor: 10.0,
            ..Settings::default()
        };
        let target = target(settings, None).await;
        let answer = client
            .send(get_with_key(target.addr(), "/health", "", EVENT_TIMEOUT))
            .await;
        assert_eq!(
            answer.expect("response").status.as_u16(),
            status,
            "{health:?} {hang}"
        );
        if hang {
            let _hanging = start_calls(&client, target.addr(), 1);
            counts_until(&client, &target, |counts| counts.in_flight == 1).await;
            let load: Load = client
                .get(target.addr(), "/load")
                .await
                .expect("parse load");
            assert_eq!(load.in_flight, 10);
        }
    }
}

/// Guards against a truncated or failed response, or one with parts of another call in it. The upper target makes two
/// calls to the lower one, which fails, truncates its responses or works as intended; the upper one retries
/// immediately or not at all.
#[tokio::test]
async fn answers_nest_and_fail_with_further_services() {
    struct Case {
        lower: Settings,
        mode: DownstreamMode,
        retries: u32,
        required: bool,
        status: u16,
        /// Number of times each of the two calls is sent.
        sent: [u32; 2],
    }
    use DownstreamMode::{Parallel, Sequential};
    let fine = Settings {
        service_ms: 1.0,
        answer_bytes: 3000,
        ..Settings::default()
    };
    let fails = Settings {
        fail_ratio: 1.0,
        ..fine.clone()
    };
    let cuts = Settings {
        truncate_bytes: Some(1000),
        ..fine.clone()
    };
    let case = |lower: &Settings, mode, retries, required, status, sent| Case {
        lower: lower.clone(),
        mode,
        retries,
        required,
        status,
        sent,
    };
    let cases = [
        case(&fine, Sequential, 2, true, 200, [1, 1]),
        case(&fine, Parallel, 0, true, 200, [1, 1]),
        case(&fails, Parallel, 2, true, 502, [3, 3]),
        case(&fails, Sequential, 1, true, 502, [2, 0]),
        case(&cuts, Sequential, 0, false, 200, [1, 1]),
        case(&cuts, Parallel, 0, true, 502, [1, 1]),
    ];
    let client = Client::default();
    for (number, case) in cases.into_iter().enumerate() {
        let is_fine = case.lower == fine;
        let lower = target(case.lower, None).await;
        let upper = Settings {
            downstream: ["GET /lower/a", "POST /lower/b?c=d"]
                .map(|s| s.parse().expect("parse call"))
                .to_vec(),
            downstream_mode: case.mode,
            downstream_retries: case.retries,
            downstream_required: case.required,
            ..Settings::default()
        };
        let upper = target(upper, Some(lower.addr())).await;
        let answer = client
            .send(get_with_key(upper.addr(), "/x?y", "key", EVENT_TIMEOUT))
            .await;
        let answer = answer.expect("complete response");
        assert_eq!(answer.status.as_u16(), case.status, "case {number}");
        let echo: Echo = serde_json::from_slice(&answer.body).expect("parse echo");
        assert!(
            echo.belongs_to("key") && !echo.belongs_to("other"),
            "case {number}: {echo:?}"
        );
        assert_eq!((echo.path.as_str(), echo.service.as_str()), ("/x?y", "svc"));
        for (nested, sent) in echo.downstream.iter().zip(case.sent) {
            assert_eq!(nested.sent, sent, "case {number}: {nested:?}");
            assert_eq!(nested.is_success(), is_fine, "case {number}");
        }
        let lower = counts(&client, &lower).await;
        assert_eq!(
            lower.started,
            u64::from(case.sent.iter().sum::<u32>()),
            "case {number}"
        );
        let keys: Vec<_> = lower.keys.keys().map(|key| key.as_str()).collect();
        assert!(
            keys.iter().all(|key| ["key.0", "key.1"].contains(key)),
            "{keys:?}"
        );
    }
}

#[tokio::test]
async fn settings_are_checked() {
    let client = Client::default();
    let target = target(Settings::default(), None).await;
    let cases = [
        (r#"{"slots": 3}"#, true),
        (r#"{"slots": 0}"#, false),
        (r#"{"slot": 3}"#, false),
        (r#"{"fail_ratio": 1.5}"#, false),
        (r#"{"service_ms": -1}"#, false),
        (r#"{"downstream": ["GET /a/b"]}"#, true),
        (r#"{"downstream": ["GET a/b"]}"#, false),
        ("[]", false),
    ];
    for (patch, is_accepted) in cases {
        let result = client.put(target.addr(), "/settings", patch).await;
        assert_eq!(result.is_ok(), is_accepted, "{patch}: {result:?}");
    }
    let settings: Settings = client
        .get(target.addr(), "/settings")
        .await
        .expect("settings");
    let downstream = vec!["GET /a/b".parse().expect("parse call")];
    assert_eq!(
        settings,
        Settings {
            slots: 3,
            downstream,
            ..Settings::default()
        }
    );
    assert_eq!(counts(&client, &target).await.arrived, 0);
}
