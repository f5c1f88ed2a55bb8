//! Tests of the stand-in platform: reads, watches, faults and call counts.

mod common;

use coltsfootport_rig::error::RigError;
use coltsfootport_rig::http::Client;
use coltsfootport_rig::platform::{
    ConfigAnswer, Counts, FaultMode, FaultRequest, FaultScope, Instance, InstanceState,
    InstancesAnswer, Platform, Seed,
};

use crate::common::{listener, poll_until};

async fn platform() -> Platform {
    Platform::start(listener().await, Seed::default()).expect("start platform")
}

fn instance(node: &str, state: InstanceState) -> Instance {
    Instance {
        node: node.into(),
        service: "bidding".into(),
        domain: "ba-1".into(),
        region: "ba".into(),
        peer: "127.0.0.1:7101".into(),
        operators: "127.0.0.1:7301".into(),
        state,
    }
}

async fn counts(client: &Client, platform: &Platform) -> Counts {
    client
        .get(platform.addr(), "/counts")
        .await
        .expect("counts")
}

#[tokio::test]
async fn reads_answer_what_is_newer() {
    struct Case {
        after: u64,
        keys: &'static [&'static str],
    }
    let cases = [
        Case {
            after: 0,
            keys: &["documents/a", "documents/b"],
        },
        Case {
            after: 1,
            keys: &["documents/a", "documents/b"],
        },
        Case {
            after: 2,
            keys: &["documents/a"],
        },
        Case {
            after: 3,
            keys: &[],
        },
        Case {
            after: 9,
            keys: &[],
        },
    ];
    let (client, platform) = (Client::default(), platform().await);
    for (key, value) in [("a", "1"), ("b", "2"), ("a", "3")] {
        let path = format!("/config/documents/{key}");
        client
            .put(platform.addr(), &path, value)
            .await
            .expect("write");
    }
    for case in &cases {
        let path = format!("/config?after={}&wait_ms=0", case.after);
        let answer: ConfigAnswer = client.get(platform.addr(), &path).await.expect("read");
        let keys: Vec<_> = answer
            .entries
            .iter()
            .map(|entry| entry.key.as_str())
            .collect();
        assert_eq!(
            (answer.revision, keys.as_slice()),
            (3, case.keys),
            "after {}",
            case.after
        );
        let newest = answer
            .entries
            .iter()
            .find(|entry| entry.key == "documents/a");
        assert!(newest.is_none_or(|entry| entry.revision == 3 && entry.value == "3"));
    }
    let counts = counts(&client, &platform).await;
    assert_eq!((counts.calls, counts.reads, counts.watches), (5, 5, 0));
}

#[tokio::test]
async fn a_watch_waits_for_a_write_and_counts_once() {
    let (client, platform) = (Client::default(), platform().await);
    let addr = platform.addr();
    let watch = |path: &'static str| {
        let client = client.clone();
        tokio::spawn(async move { client.get::<serde_json::Value>(addr, path).await })
    };
    let config = watch("/config?after=0&wait_ms=9000");
    let instances = watch("/instances?after=0&wait_ms=9000");
    poll_until(async || (counts(&client, &platform).await.watches == 2).then_some(())).await;
    client
        .put(addr, "/config/documents/a", "1")
        .await
        .expect("write");
    let list = [
        instance("n1", InstanceState::Live),
        instance("n2", InstanceState::Leaving),
    ];
    client
        .put_json(addr, "/instances", &list)
        .await
        .expect("write");

    let config = config.await.expect("join task").expect("response");
    let config: ConfigAnswer = serde_json::from_value(config).expect("parse config response");
    assert_eq!((config.revision, config.entries.len()), (1, 1));
    let instances = instances.await.expect("join task").expect("response");
    assert_eq!(instances["instances"][1]["state"], "leaving");
    let instances: InstancesAnswer =
        serde_json::from_value(instances).expect("parse instances response");
    assert_eq!(
        (instances.revision, instances.instances),
        (1, list.to_vec())
    );

    let empty: ConfigAnswer = client
        .get(addr, "/config?after=1&wait_ms=5")
        .await
        .expect("read");
    assert_eq!((empty.revision, empty.entries), (1, Vec::new()));
    let counts = counts(&client, &platform).await;
    assert_eq!((counts.calls, counts.watches, counts.instances), (3, 3, 1));
}

/// Under a fault readers get an outdated document or none: the platform is down, serves an old copy, or alternates
/// between the old and the current copy. The fault begins between two writes, and readers read several times after it.
#[tokio::test]
async fn faults_change_what_readers_see() {
    struct Case {
        mode: FaultMode,
        scope: FaultScope,
        drop: bool,
        /// Revisions returned by three reads of `/config`, `None` for a failed read.
        config: [Option<u64>; 3],
        /// Revisions returned by three reads of `/instances`.
        instances: [Option<u64>; 3],
    }
    const CURRENT: [Option<u64>; 3] = [Some(2); 3];
    const OLD: [Option<u64>; 3] = [Some(1); 3];
    const NONE: [Option<u64>; 3] = [None; 3];
    const FLAP: [Option<u64>; 3] = [Some(1), Some(2), Some(1)];
    use FaultMode::{Down, Flap, Stale, Up};
    use FaultScope::{All, Config, Instances};
    let cases = [
        Case {
            mode: Up,
            scope: All,
            drop: false,
            config: CURRENT,
            instances: CURRENT,
        },
        Case {
            mode: Down,
            scope: All,
            drop: false,
            config: NONE,
            instances: NONE,
        },
        Case {
            mode: Down,
            scope: Config,
            drop: true,
            config: NONE,
            instances: CURRENT,
        },
        Case {
            mode: Stale,
            scope: All,
            drop: false,
            config: OLD,
            instances: OLD,
        },
        Case {
            mode: Stale,
            scope: Instances,
            drop: false,
            config: CURRENT,
            instances: OLD,
        },
        Case {
            mode: Flap,
            scope: All,
            drop: false,
            config: FLAP,
            instances: FLAP,
        },
    ];
    let client = Client::default();
    for case in &cases {
        let platform = platform().await;
        let addr = platform.addr();
        let fault = FaultRequest {
            mode: case.mode,
            scope: case.scope,
            drop: case.drop,
        };
        for step in 0..2 {
            client
                .put(addr, "/config/documents/a", format!("{step}"))
                .await
                .expect("write");
            let list = [instance("n1", InstanceState::Live)];
            client
                .put_json(addr, "/instances", &list)
                .await
                .expect("write");
            if step == 0 {
                client
                    .post_json(addr, "/fault", &fault)
                    .await
                    .expect("set fault");
            }
        }
        for (path, seen) in [("/config", &case.config), ("/instances", &case.instances)] {
            for expected in seen {
                let answer = client.get::<serde_json::Value>(addr, path).await;
                let revision = answer
                    .as_ref()
                    .ok()
                    .and_then(|body| body["revision"].as_u64());
                assert_eq!(revision, *expected, "{:?} {path}", case.mode);
                let is_dropped = matches!(answer, Err(RigError::Connection(_)));
                assert_eq!(is_dropped, expected.is_none() && case.drop);
            }
        }
        let failed = case
            .config
            .iter()
            .chain(&case.instances)
            .filter(|seen| seen.is_none());
        assert_eq!(
            counts(&client, &platform).await.failed,
            failed.count() as u64
        );

        let up = FaultRequest {
            mode: Up,
            scope: All,
            drop: false,
        };
        client
            .post_json(addr, "/fault", &up)
            .await
            .expect("clear fault");
        let healed: ConfigAnswer = client.get(addr, "/config").await.expect("read");
        assert_eq!(healed.revision, 2, "after {:?}", case.mode);
    }
}

#[tokio::test]
async fn malformed_calls_are_refused() {
    let (client, platform) = (Client::default(), platform().await);
    let cases = [
        ("/config/documents/a", vec![b'x'; (1 << 20) + 1], 413),
        ("/config/documents/a", vec![0xff], 400),
        ("/config/", vec![b'x'], 404),
        ("/instances", b"{}".to_vec(), 400),
        ("/counts", Vec::new(), 404),
    ];
    for (path, body, status) in cases {
        let result = client.put(platform.addr(), path, body).await;
        assert!(
            matches!(result, Err(RigError::Status { status: got, .. }) if got == status),
            "{path}: {result:?}"
        );
    }
    let read = client
        .get::<ConfigAnswer>(platform.addr(), "/config?after=x")
        .await;
    assert!(
        matches!(read, Err(RigError::Status { status: 400, .. })),
        "{read:?}"
    );
    let max_size = client
        .put(platform.addr(), "/config/a", vec![b'x'; 1 << 20])
        .await;
    assert!(
        max_size.is_ok(),
        "value of the maximum size rejected: {max_size:?}"
    );
}
