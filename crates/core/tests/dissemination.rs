//! Unit tests of dissemination: replicas, versions in force, pulls, start-up, platform reads and gossip peers.

#[path = "support/fleet.rs"]
mod fleet;

use std::time::{Duration, Instant};

use coltsfootport_core::dissemination::{
    Comparison, Difference, Digest, Entry, GossipConfig, GossipPlan, Key, KeyVersion, NextRead,
    OfferOutcome, PullConfig, Pulls, PushMode, ReaderConfig, ReaderPolicy, Replica, Revision,
    StartUp, StartUpConfig, ValidationResult, VersionsInForce,
};
use coltsfootport_core::id::Incarnation;
use coltsfootport_core::invariant::Invariant;
use coltsfootport_core::membership::NodeState;
use coltsfootport_core::once::Tick;
use rand::SeedableRng;
use rand::rngs::StdRng;

use fleet::node;

/// Prefix of the values that the tests treat as invalid.
const INVALID: &str = "!";

fn entry(key: &str, revision: u64, value: &str) -> Entry {
    Entry {
        key: Key::from(key),
        revision: Revision(revision),
        value: value.into(),
    }
}

/// Applies entries as a node does: each new version is parsed, validated and offered.
fn apply(
    replica: &mut Replica,
    in_force: &mut VersionsInForce<String, &'static str>,
    entries: &[Entry],
    highest: Option<u64>,
) -> Vec<OfferOutcome> {
    let mut offers = Vec::new();
    for applied in replica.apply(entries.to_vec(), highest.map(Revision)) {
        let entry = applied.entry;
        let valid = !entry.value.starts_with(INVALID);
        let result = if valid {
            ValidationResult::Valid
        } else {
            ValidationResult::Invalid
        };
        replica.record_validation(&entry.key, entry.revision, result);
        let parsed = if valid {
            Ok(entry.value.to_string())
        } else {
            Err("invalid")
        };
        offers.push(in_force.offer(&entry.key, entry.revision, parsed));
    }
    offers
}

struct Versions {
    name: &'static str,
    entries: &'static [(u64, &'static str)],
    in_force: Option<u64>,
    rejected: Option<u64>,
    latest: u64,
}

/// Guards against a document that reverts to an older version, or a valid version that is replaced by an invalid one.
/// Both can follow from late pushes, stale reads and faulty documents, which deliver the versions of one key in any
/// order.
#[test]
fn the_highest_valid_version_stays_in_force() {
    #[rustfmt::skip]
    let cases = [
        Versions {
            name: "in order", entries: &[(1, "a"), (2, "b")], in_force: Some(2), rejected: None,
            latest: 2,
        },
        Versions {
            name: "late version is ignored", entries: &[(2, "b"), (1, "a")], in_force: Some(2),
            rejected: None, latest: 2,
        },
        Versions {
            name: "invalid version leaves the last valid one in force",
            entries: &[(1, "a"), (2, "!")], in_force: Some(1), rejected: Some(2), latest: 2,
        },
        Versions {
            name: "two invalid versions", entries: &[(1, "a"), (2, "!"), (3, "!")],
            in_force: Some(1), rejected: Some(3), latest: 3,
        },
        Versions {
            name: "valid version arrives after the invalid one",
            entries: &[(3, "!"), (1, "a"), (2, "b"), (1, "a")], in_force: Some(2),
            rejected: Some(3), latest: 3,
        },
        Versions {
            name: "only invalid versions are known", entries: &[(3, "!"), (2, "!")], in_force: None,
            rejected: Some(3), latest: 3,
        },
        Versions {
            name: "late invalid version does not displace the valid one",
            entries: &[(1, "a"), (4, "!"), (3, "!")], in_force: Some(1), rejected: Some(4),
            latest: 4,
        },
        Versions {
            name: "valid version follows the invalid one",
            entries: &[(1, "a"), (2, "!"), (3, "c"), (1, "a")], in_force: Some(3),
            rejected: None, latest: 3,
        },
        Versions {
            name: "different value with the same revision", entries: &[(1, "a"), (1, "b")],
            in_force: Some(1), rejected: None, latest: 1,
        },
    ];
    for case in cases {
        let (mut replica, mut in_force) = (Replica::new(), VersionsInForce::new());
        for (revision, value) in case.entries {
            apply(
                &mut replica,
                &mut in_force,
                &[entry("k", *revision, value)],
                None,
            );
        }
        let key = Key::from("k");
        let valid = in_force.get(&key).map(|version| version.revision.0);
        let rejected = in_force.rejected(&key).map(|rejected| rejected.revision.0);
        assert_eq!(
            (valid, rejected),
            (case.in_force, case.rejected),
            "{}",
            case.name
        );
        let version = KeyVersion {
            key,
            revision: Revision(case.latest),
            in_force: case.in_force.map(Revision),
        };
        assert_eq!(replica.versions(), [version], "{}", case.name);
    }
}

/// Guards against undoing an accepted change. If a bug in the caller bypasses the replica and offers an older version,
/// the offer must be refused and reported.
#[test]
fn an_older_version_offered_is_refused_and_reported() {
    let key = Key::from("k");
    let mut in_force: VersionsInForce<&str, &str> = VersionsInForce::new();
    assert_eq!(
        in_force.offer(&key, Revision(4), Ok("d")),
        OfferOutcome::InForce
    );
    assert_eq!(
        in_force.offer(&key, Revision(4), Ok("d")),
        OfferOutcome::Unchanged
    );
    let refused = OfferOutcome::Refused(Invariant::VersionWentBack);
    assert_eq!(in_force.offer(&key, Revision(3), Ok("c")), refused);
    assert_eq!(
        in_force.offer(&key, Revision(3), Err("late")),
        OfferOutcome::Unchanged
    );
    assert_eq!(in_force.get(&key).map(|version| version.value), Some("d"));
    assert!(in_force.rejected(&key).is_none());
}

/// Guards against a correct node that reports the violation above. If the newest version is invalid and one message
/// contains two older valid versions, the higher one first, they must be sorted before they are validated.
#[test]
fn entries_of_a_message_are_applied_in_revision_order() {
    let (mut replica, mut in_force) = (Replica::new(), VersionsInForce::new());
    apply(&mut replica, &mut in_force, &[entry("k", 9, "!")], None);
    let late = [entry("k", 5, "e"), entry("k", 4, "d")];
    let offers = apply(&mut replica, &mut in_force, &late, None);
    assert_eq!(offers, [OfferOutcome::InForce, OfferOutcome::InForce]);
    assert_eq!(replica.versions()[0].in_force, Some(Revision(5)));
}

/// Guards against a lost push that is never recovered. Pushes 1, 2, 4 and 5 arrive and 3 is lost; the next read must
/// request the entries after the last revision without a gap, not after the highest revision.
#[test]
fn a_lost_push_leaves_a_gap_that_the_next_read_closes() {
    let (mut replica, mut in_force) = (Replica::new(), VersionsInForce::new());
    for revision in [2, 1, 5, 4] {
        let pushed = entry(&format!("k{revision}"), revision, "v");
        apply(&mut replica, &mut in_force, &[pushed], None);
    }
    assert_eq!(
        (replica.revision(), replica.complete()),
        (Revision(5), Revision(2))
    );
    apply(&mut replica, &mut in_force, &[entry("k3", 3, "v")], None);
    assert_eq!(replica.complete(), Revision(5));
    apply(&mut replica, &mut in_force, &[], Some(9));
    apply(&mut replica, &mut in_force, &[], Some(7));
    assert_eq!(
        (replica.revision(), replica.complete()),
        (Revision(9), Revision(9))
    );
}

/// Guards against a node without a document in force if it starts while the newest version is invalid. Peers must send
/// it the older version in force as well as the newest one.
#[test]
fn a_new_node_gets_the_version_in_force_behind_a_faulty_one() {
    let (mut old, mut old_in_force) = (Replica::new(), VersionsInForce::new());
    apply(
        &mut old,
        &mut old_in_force,
        &[entry("k", 1, "a"), entry("m", 2, "m")],
        Some(2),
    );
    apply(&mut old, &mut old_in_force, &[entry("k", 3, "!")], Some(3));
    let (mut new, mut in_force) = (Replica::new(), VersionsInForce::new());
    assert_eq!(new.compare(&old.digest()), Comparison::PeerIsNewer);
    assert_eq!(old.compare(&new.digest()), Comparison::PeerIsOlder);
    // The platform returns only the newest version, which is invalid.
    apply(
        &mut new,
        &mut in_force,
        &[entry("k", 3, "!"), entry("m", 2, "m")],
        Some(3),
    );
    assert_eq!(new.compare(&old.digest()), Comparison::Differ);
    let missing = new.missing_locally(&old.versions());
    assert_eq!(missing, [Key::from("k")]);
    assert_eq!(old.missing_at_peer(&new.versions()), missing);
    assert!(
        old.missing_locally(&new.versions()).is_empty()
            && new.missing_at_peer(&old.versions()).is_empty()
    );
    apply(&mut new, &mut in_force, &old.entries_for(&missing), None);
    assert_eq!(
        in_force
            .get(&Key::from("k"))
            .map(|version| version.revision),
        Some(Revision(1))
    );
    assert_eq!(new.compare(&old.digest()), Comparison::Same);
}

/// Guards against growing control traffic during an upgrade. If a version is valid for one release and invalid for the
/// other, their digests differ permanently, and each digest would make the nodes exchange all their versions.
#[test]
fn nodes_that_validate_a_version_differently_stop_exchanging() {
    let (mut strict, mut strict_in_force) = (Replica::new(), VersionsInForce::new());
    apply(
        &mut strict,
        &mut strict_in_force,
        &[entry("k", 1, "a")],
        Some(1),
    );
    apply(
        &mut strict,
        &mut strict_in_force,
        &[entry("k", 2, "!new")],
        Some(2),
    );
    let mut lenient = Replica::new();
    lenient.apply(vec![entry("k", 2, "!new")], Some(Revision(2)));
    lenient.record_validation(&Key::from("k"), Revision(2), ValidationResult::Valid);
    assert_eq!(lenient.compare(&strict.digest()), Comparison::Differ);
    let nothing = lenient.difference(&strict.digest(), &strict.versions());
    assert_eq!(nothing, Difference::default());
    assert_eq!(lenient.compare(&strict.digest()), Comparison::Same);
    apply(
        &mut strict,
        &mut strict_in_force,
        &[entry("m", 3, "m")],
        Some(3),
    );
    assert_eq!(lenient.compare(&strict.digest()), Comparison::PeerIsNewer);
}

#[test]
fn an_entry_in_the_json_of_the_platform_is_parsed() {
    let text = r#"{"key": "documents/bidding", "revision": 9, "value": "{ ... }"}"#;
    let read: Entry = serde_json::from_str(text).expect("valid");
    assert_eq!(read, entry("documents/bidding", 9, "{ ... }"));
    let written = serde_json::to_string(&read).expect("serializable");
    assert_eq!(
        serde_json::from_str::<Entry>(&written).expect("valid"),
        read
    );
}

struct Start {
    name: &'static str,
    platform: Option<u64>,
    peers: &'static [u64],
    held: u64,
    ready_from: Option<u64>,
}

/// Guards against a new node that serves with an older document than its peers or with none, or that never serves,
/// while the platform or peers are down, stale or slow.
#[test]
fn a_node_serves_once_it_has_the_highest_of_platform_and_peers() {
    #[rustfmt::skip]
    let cases = [
        Start {
            name: "neither platform nor peers", platform: None, peers: &[], held: 0,
            ready_from: None,
        },
        Start {
            name: "all agree", platform: Some(5), peers: &[5, 5], held: 5, ready_from: Some(0),
        },
        Start {
            name: "stale platform", platform: Some(4), peers: &[5, 5], held: 4,
            ready_from: Some(15),
        },
        Start {
            name: "stale peers", platform: Some(6), peers: &[5, 5], held: 6, ready_from: Some(0),
        },
        Start { name: "no peers", platform: Some(5), peers: &[], held: 5, ready_from: Some(2) },
        Start { name: "no platform", platform: None, peers: &[5, 5], held: 5, ready_from: Some(5) },
        Start {
            name: "platform without entries", platform: Some(0), peers: &[], held: 0,
            ready_from: Some(2),
        },
        Start {
            name: "pull failed", platform: None, peers: &[5], held: 0, ready_from: None,
        },
    ];
    for case in cases {
        let start = Instant::now();
        let mut start_up = StartUp::new(StartUpConfig::default(), start);
        if let Some(revision) = case.platform {
            start_up.record_platform_revision(Revision(revision));
        }
        for revision in case.peers {
            let revision = Revision(*revision);
            start_up.record_peer_digest(&Digest {
                highest: revision,
                complete: revision,
                ..Digest::default()
            });
        }
        let mut replica = Replica::new();
        let entries = (case.held > 0).then(|| entry("k", case.held, "v"));
        replica.apply(entries.into_iter().collect(), Some(Revision(case.held)));
        start_up.update_replica(&replica);
        let ready = (0..60).find(|second| start_up.is_ready(start + Duration::from_secs(*second)));
        assert_eq!(ready, case.ready_from, "{}", case.name);
    }
}

/// Guards against fetching a value once per announcement, and against never fetching it if the first source is gone.
/// Several peers announce the version and then don't answer: the pulls must be joined, and the joined sources retried.
#[test]
fn pulls_of_one_version_are_joined_and_retried_elsewhere() {
    let now = Instant::now();
    let late = now + PullConfig::default().timeout;
    let key = Key::from("k");
    let mut pulls = Pulls::new(PullConfig::default());
    let sent: Vec<bool> = [(7, 0), (7, 1), (6, 2), (8, 3), (8, 4)]
        .map(|(revision, from)| pulls.request(&key, Revision(revision), &node(from), now))
        .to_vec();
    assert_eq!(sent, [true, false, false, true, false]);
    pulls.record_arrival(&key, Revision(7));
    let retries = pulls.take_retries(late);
    assert_eq!(
        retries.iter().map(|retry| &retry.from).collect::<Vec<_>>(),
        [&node(4)]
    );
    assert!(
        pulls.take_retries(late).is_empty(),
        "retried before another timeout passed"
    );
    assert!(
        pulls
            .take_retries(late + PullConfig::default().timeout)
            .is_empty(),
        "retried without a source left"
    );
    assert!(
        pulls.request(&key, Revision(8), &node(5), late),
        "a dropped pull must be sent again on request"
    );
    pulls.record_arrival(&key, Revision(8));
    assert!(pulls.request(&key, Revision(9), &node(5), late));
}

/// Guards against a failure domain without a reader, which gets changes late. Its readers leave or become unreachable,
/// so the selection must follow the view. A node that is not listed is no reader.
#[test]
fn each_domain_has_its_readers_while_the_view_changes() {
    let now = Instant::now();
    let mut view = fleet::view(60, 3, now);
    let policy = ReaderPolicy::new(ReaderConfig::default());
    let readers = |view: &_| -> Vec<usize> {
        (0..60)
            .filter(|index| policy.is_reader(&node(*index), view, now))
            .collect()
    };
    let mut lost = Vec::new();
    for round in 0..12 {
        let chosen: Vec<usize> = readers(&view)
            .into_iter()
            .filter(|index| !lost.contains(index))
            .collect();
        // A reader that others can't reach still selects itself, so lost readers are not counted here.
        let counts = [0, 1, 2].map(|d| chosen.iter().filter(|index| *index % 3 == d).count());
        assert_eq!(counts, [2, 2, 2], "round {round}: {chosen:?}");
        let next = chosen[round % chosen.len()];
        lost.push(next);
        match round % 2 {
            0 => view.unreachable(&node(next), now),
            _ => {
                view.record_report(
                    &node(next),
                    Incarnation(1),
                    NodeState::Leaving,
                    Tick(1),
                    now,
                );
            }
        }
    }
    assert!(
        !policy.is_reader(&node(60), &view, now),
        "unlisted node selected as reader"
    );
}

/// Guards against synchronized reads of the whole fleet, which arise if jitter is drawn again at each call, and against
/// a reader that polls a platform that is down without backoff.
#[test]
fn reads_are_joined_jittered_and_backed_off() {
    let now = Instant::now();
    let mut rng = StdRng::seed_from_u64(5);
    let view = fleet::view(60, 3, now);
    let mut policy = ReaderPolicy::new(ReaderConfig::default());
    let reader = (0..60).find(|index| policy.is_reader(&node(*index), &view, now));
    let first = policy.next_read(now, &mut rng);
    assert!(matches!(first, NextRead::At(_)));
    assert_eq!(
        policy.next_read(now, &mut rng),
        first,
        "jitter must be drawn once"
    );
    assert!(
        policy.try_begin_read() && !policy.try_begin_read(),
        "a second read must join the first"
    );
    policy.update_view(&node(reader.expect("a reader")), &view, now);
    policy.read_succeeded(now);
    assert_eq!(policy.next_read(now, &mut rng), NextRead::Watch);
    let mut longest = Duration::ZERO;
    for _ in 0..20 {
        assert!(policy.try_begin_read());
        policy.read_failed(now);
        let NextRead::At(at) = policy.next_read(now, &mut rng) else {
            panic!("a failed watch must be followed by a delay");
        };
        longest = longest.max(at - now);
    }
    assert!(longest >= Duration::from_secs(4) && longest <= Duration::from_secs(12));
    // Long watches without changes make the last read old although the readers are healthy.
    let watch_wait = Duration::from_secs(25);
    let mut long_watch = ReaderPolicy::new(ReaderConfig {
        watch_wait,
        ..ReaderConfig::default()
    });
    long_watch.read_succeeded(now);
    let later = now + watch_wait;
    let NextRead::At(at) = long_watch.next_read(later, &mut rng) else {
        panic!("not a reader");
    };
    assert!(at - later >= ReaderConfig::default().slow_interval / 2);
    policy.record_peer_read_age(Duration::from_secs(3), now + Duration::from_secs(10));
    assert_eq!(
        policy.read_age(now + Duration::from_secs(12)),
        Some(Duration::from_secs(5))
    );
}

/// Guards against pushes that stop at the edge of a failure domain or region, and against digests that all go to one
/// node. They arise if peers are selected within one domain only, or if a node has too many peers.
#[test]
fn peers_are_few_fixed_and_cross_domains() {
    let now = Instant::now();
    let view = fleet::view(70, 7, now);
    let mut rng = StdRng::seed_from_u64(6);
    let cfg = GossipConfig {
        local_peers: 3,
        remote_peers: 2,
        ..GossipConfig::default()
    };
    for index in 0..70 {
        let own = view.get(&node(index)).expect("listed");
        let mut plan = GossipPlan::new(cfg, &own.node, &view);
        let peers = plan.push_targets().to_vec();
        let entries: Vec<_> = peers.iter().filter_map(|peer| view.get(peer)).collect();
        assert_eq!(
            entries
                .iter()
                .filter(|peer| peer.domain == own.domain)
                .count(),
            3
        );
        assert!(entries.iter().any(|peer| peer.region != own.region));
        assert!(entries.len() == 5 && !peers.contains(&own.node));
        plan.update(&own.node, &view);
        assert_eq!(plan.push_targets(), peers);
        let peer = plan
            .digest_peer(now, &mut rng)
            .cloned()
            .expect("the first digest is due immediately");
        assert!(peers.contains(&peer));
        assert_eq!(
            plan.digest_peer(now, &mut rng),
            None,
            "digest sent before the next one was due"
        );
        let modes = [plan.push_mode(100), plan.push_mode(100_000)];
        assert_eq!(modes, [PushMode::Full, PushMode::Notice]);
    }
    let off = GossipConfig::with_peers(0);
    assert!(
        GossipPlan::new(off, &node(3), &view)
            .push_targets()
            .is_empty()
    );
    assert_eq!(GossipConfig::with_peers(7), GossipConfig::default());
    let alone = fleet::view(1, 1, now);
    let mut plan = GossipPlan::new(cfg, &node(0), &alone);
    assert!(plan.push_targets().is_empty() && plan.digest_peer(now, &mut rng).is_none());
}
