//! Replicas, versions in force, pulls, start and reads: single decisions.

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

/// Entries whose value begins with this are invalid.
const INVALID: &str = "!";

fn entry(key: &str, revision: u64, value: &str) -> Entry {
    Entry {
        key: Key::from(key),
        revision: Revision(revision),
        value: value.into(),
    }
}

/// Applies entries as a node does: each taken version is parsed, judged and offered.
fn take(
    replica: &mut Replica,
    in_force: &mut VersionsInForce<String, &'static str>,
    entries: &[Entry],
    highest: Option<u64>,
) -> Vec<OfferOutcome> {
    let mut offers = Vec::new();
    for applied in replica.apply(entries.to_vec(), highest.map(Revision)) {
        let entry = applied.entry;
        let valid = !entry.value.starts_with(INVALID);
        let verdict = if valid {
            ValidationResult::Valid
        } else {
            ValidationResult::Invalid
        };
        replica.record_validation(&entry.key, entry.revision, verdict);
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

/// Symptom: a document falls back to an older one, or a faulty one takes the place of a good one. Sequence: versions of
/// one key arrive in the order of each case. Cause: late pushes, stale reads, faulty documents.
#[test]
fn the_highest_valid_version_stays_in_force() {
    #[rustfmt::skip]
    let cases = [
        Versions {
            name: "in order", entries: &[(1, "a"), (2, "b")], in_force: Some(2), rejected: None,
            latest: 2,
        },
        Versions {
            name: "a late one is ignored", entries: &[(2, "b"), (1, "a")], in_force: Some(2),
            rejected: None, latest: 2,
        },
        Versions {
            name: "a faulty one leaves the last good one in force", entries: &[(1, "a"), (2, "!")],
            in_force: Some(1), rejected: Some(2), latest: 2,
        },
        Versions {
            name: "two faulty ones", entries: &[(1, "a"), (2, "!"), (3, "!")], in_force: Some(1),
            rejected: Some(3), latest: 3,
        },
        Versions {
            name: "the good one comes after the faulty one",
            entries: &[(3, "!"), (1, "a"), (2, "b"), (1, "a")], in_force: Some(2),
            rejected: Some(3), latest: 3,
        },
        Versions {
            name: "only a faulty one is known", entries: &[(3, "!"), (2, "!")], in_force: None,
            rejected: Some(3), latest: 3,
        },
        Versions {
            name: "a late faulty one doesn't cost the good one",
            entries: &[(1, "a"), (4, "!"), (3, "!")], in_force: Some(1), rejected: Some(4),
            latest: 4,
        },
        Versions {
            name: "mended", entries: &[(1, "a"), (2, "!"), (3, "c"), (1, "a")], in_force: Some(3),
            rejected: None, latest: 3,
        },
        Versions {
            name: "another text under the same revision", entries: &[(1, "a"), (1, "b")],
            in_force: Some(1), rejected: None, latest: 1,
        },
    ];
    for case in cases {
        let (mut replica, mut in_force) = (Replica::new(), VersionsInForce::new());
        for (revision, value) in case.entries {
            take(
                &mut replica,
                &mut in_force,
                &[entry("k", *revision, value)],
                None,
            );
        }
        let key = Key::from("k");
        let good = in_force.get(&key).map(|version| version.revision.0);
        let rejected = in_force.rejected(&key).map(|rejected| rejected.revision.0);
        assert_eq!(
            (good, rejected),
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

/// Symptom: an accepted change is undone. Sequence: an older version is offered past the replica. Cause: a defect of the
/// caller, which must be reported and must not take effect.
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

/// Symptom: as above, reported by a correct node. Sequence: behind a faulty version, two good ones arrive in one message,
/// the higher one first. Cause: the message isn't put in order before it is judged.
#[test]
fn a_message_out_of_order_is_taken_in_order() {
    let (mut replica, mut in_force) = (Replica::new(), VersionsInForce::new());
    take(&mut replica, &mut in_force, &[entry("k", 9, "!")], None);
    let late = [entry("k", 5, "e"), entry("k", 4, "d")];
    let offers = take(&mut replica, &mut in_force, &late, None);
    assert_eq!(offers, [OfferOutcome::InForce, OfferOutcome::InForce]);
    assert_eq!(replica.versions()[0].in_force, Some(Revision(5)));
}

/// Symptom: a node never gets a change that was pushed while a message was lost. Sequence: pushes 1, 2, 4, 5 arrive, 3 is
/// lost. Cause: the next read asks after the highest revision in place of the last one without a gap.
#[test]
fn a_lost_push_leaves_a_gap_that_the_next_read_closes() {
    let (mut replica, mut in_force) = (Replica::new(), VersionsInForce::new());
    for revision in [2, 1, 5, 4] {
        let pushed = entry(&format!("k{revision}"), revision, "v");
        take(&mut replica, &mut in_force, &[pushed], None);
    }
    assert_eq!(
        (replica.revision(), replica.complete()),
        (Revision(5), Revision(2))
    );
    take(&mut replica, &mut in_force, &[entry("k3", 3, "v")], None);
    assert_eq!(replica.complete(), Revision(5));
    take(&mut replica, &mut in_force, &[], Some(9));
    take(&mut replica, &mut in_force, &[], Some(7));
    assert_eq!(
        (replica.revision(), replica.complete()),
        (Revision(9), Revision(9))
    );
}

/// Symptom: a node that starts while the newest document is faulty has none in force. Sequence: 1 good, 2 faulty; the
/// node starts and copies a peer. Cause: only the newest version is passed on.
#[test]
fn a_new_node_gets_the_version_in_force_behind_a_faulty_one() {
    let (mut old, mut old_in_force) = (Replica::new(), VersionsInForce::new());
    take(
        &mut old,
        &mut old_in_force,
        &[entry("k", 1, "a"), entry("m", 2, "m")],
        Some(2),
    );
    take(&mut old, &mut old_in_force, &[entry("k", 3, "!")], Some(3));
    let (mut new, mut in_force) = (Replica::new(), VersionsInForce::new());
    assert_eq!(new.compare(&old.digest()), Comparison::PeerIsNewer);
    assert_eq!(old.compare(&new.digest()), Comparison::PeerIsOlder);
    // The platform gives the faulty one alone.
    take(
        &mut new,
        &mut in_force,
        &[entry("k", 3, "!"), entry("m", 2, "m")],
        Some(3),
    );
    assert_eq!(new.compare(&old.digest()), Comparison::Differ);
    let lacking = new.missing_locally(&old.versions());
    assert_eq!(lacking, [Key::from("k")]);
    assert_eq!(old.missing_at_peer(&new.versions()), lacking);
    assert!(
        old.missing_locally(&new.versions()).is_empty()
            && new.missing_at_peer(&old.versions()).is_empty()
    );
    take(&mut new, &mut in_force, &old.entries_for(&lacking), None);
    assert_eq!(
        in_force
            .get(&Key::from("k"))
            .map(|version| version.revision),
        Some(Revision(1))
    );
    assert_eq!(new.compare(&old.digest()), Comparison::Same);
}

/// Symptom: control traffic grows during an upgrade. Sequence: a version is valid for one release and invalid for the
/// other. Cause: the digests differ for ever, and each one makes the nodes exchange all their versions.
#[test]
fn nodes_that_judge_a_version_differently_settle() {
    let (mut strict, mut strict_in_force) = (Replica::new(), VersionsInForce::new());
    take(
        &mut strict,
        &mut strict_in_force,
        &[entry("k", 1, "a")],
        Some(1),
    );
    take(
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
    take(
        &mut strict,
        &mut strict_in_force,
        &[entry("m", 3, "m")],
        Some(3),
    );
    assert_eq!(lenient.compare(&strict.digest()), Comparison::PeerIsNewer);
}

#[test]
fn the_platforms_form_of_an_entry_is_read() {
    let text = r#"{"key": "documents/bidding", "revision": 9, "value": "{ ... }"}"#;
    let read: Entry = serde_json::from_str(text).expect("valid");
    assert_eq!(read, entry("documents/bidding", 9, "{ ... }"));
    let written = serde_json::to_string(&read).expect("writable");
    assert_eq!(
        serde_json::from_str::<Entry>(&written).expect("valid"),
        read
    );
}

struct Start {
    name: &'static str,
    platform: Option<u64>,
    peers: &'static [u64],
    have: u64,
    ready_from: Option<u64>,
}

/// Symptom: a new node serves with an older document than its peers, with none, or never. Sequence: each case says what
/// was heard and what the node holds. Cause: platform or peers are down, stale or slow.
#[test]
fn a_node_serves_once_it_has_the_highest_of_platform_and_peers() {
    #[rustfmt::skip]
    let cases = [
        Start { name: "nobody", platform: None, peers: &[], have: 0, ready_from: None },
        Start {
            name: "all agree", platform: Some(5), peers: &[5, 5], have: 5, ready_from: Some(0),
        },
        Start {
            name: "stale platform", platform: Some(4), peers: &[5, 5], have: 4,
            ready_from: Some(15),
        },
        Start {
            name: "stale peers", platform: Some(6), peers: &[5, 5], have: 6, ready_from: Some(0),
        },
        Start { name: "no peers", platform: Some(5), peers: &[], have: 5, ready_from: Some(2) },
        Start { name: "no platform", platform: None, peers: &[5, 5], have: 5, ready_from: Some(5) },
        Start {
            name: "platform without entries", platform: Some(0), peers: &[], have: 0,
            ready_from: Some(2),
        },
        Start {
            name: "nothing could be pulled", platform: None, peers: &[5], have: 0, ready_from: None,
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
        let held = (case.have > 0).then(|| entry("k", case.have, "v"));
        replica.apply(held.into_iter().collect(), Some(Revision(case.have)));
        start_up.update_replica(&replica);
        let ready = (0..60).find(|second| start_up.is_ready(start + Duration::from_secs(*second)));
        assert_eq!(ready, case.ready_from, "{}", case.name);
    }
}

/// Symptom: a value is fetched as often as it is announced, or never when the first holder is gone. Sequence: notices
/// from several peers, then silence. Cause: pulls aren't joined, or a joined one is forgotten with the first.
#[test]
fn pulls_of_one_version_are_joined_and_tried_elsewhere() {
    let now = Instant::now();
    let late = now + PullConfig::default().timeout;
    let key = Key::from("k");
    let mut pulls = Pulls::new(PullConfig::default());
    let wants: Vec<bool> = [(7, 0), (7, 1), (6, 2), (8, 3), (8, 4)]
        .map(|(revision, from)| pulls.request(&key, Revision(revision), &node(from), now))
        .to_vec();
    assert_eq!(wants, [true, false, false, true, false]);
    pulls.record_arrival(&key, Revision(7));
    let retries = pulls.take_retries(late);
    assert_eq!(
        retries.iter().map(|retry| &retry.from).collect::<Vec<_>>(),
        [&node(4)]
    );
    assert!(
        pulls.take_retries(late).is_empty(),
        "asked again only after another timeout"
    );
    assert!(
        pulls
            .take_retries(late + PullConfig::default().timeout)
            .is_empty(),
        "no source left"
    );
    assert!(
        pulls.request(&key, Revision(8), &node(5), late),
        "forgotten, so asked anew"
    );
    pulls.record_arrival(&key, Revision(8));
    assert!(pulls.request(&key, Revision(9), &node(5), late));
}

/// Symptom: a domain without a reader gets changes late. Sequence: its readers leave, can't be reached, or aren't listed.
/// Cause: the choice doesn't follow the view.
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
        // A reader that others can't reach still counts itself; it is not counted here.
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
    assert!(!policy.is_reader(&node(60), &view, now), "not listed");
}

/// Symptom: reads in step from the whole fleet, or a reader that asks a platform that is down without pause. Sequence:
/// each step below. Cause: jitter drawn anew at each question, or no backoff.
#[test]
fn reads_are_joined_jittered_and_backed_off() {
    let now = Instant::now();
    let mut rng = StdRng::seed_from_u64(5);
    let view = fleet::view(60, 3, now);
    let mut policy = ReaderPolicy::new(ReaderConfig::default());
    let reader = (0..60).find(|index| policy.is_reader(&node(*index), &view, now));
    let first = policy.next_read(now, &mut rng);
    assert!(matches!(first, NextRead::At(_)));
    assert_eq!(policy.next_read(now, &mut rng), first, "drawn once");
    assert!(
        policy.try_begin_read() && !policy.try_begin_read(),
        "joined"
    );
    policy.update_view(&node(reader.expect("a reader")), &view, now);
    policy.read_succeeded(now);
    assert_eq!(policy.next_read(now, &mut rng), NextRead::Watch);
    let mut longest = Duration::ZERO;
    for _ in 0..20 {
        assert!(policy.try_begin_read());
        policy.read_failed(now);
        let NextRead::At(at) = policy.next_read(now, &mut rng) else {
            panic!("a failed watch must be followed by a pause");
        };
        longest = longest.max(at - now);
    }
    assert!(longest >= Duration::from_secs(4) && longest <= Duration::from_secs(12));
    // Watches that wait long in vain leave the last read old, though the readers are well.
    let watch_wait = Duration::from_secs(25);
    let mut long = ReaderPolicy::new(ReaderConfig {
        watch_wait,
        ..ReaderConfig::default()
    });
    long.read_succeeded(now);
    let later = now + watch_wait;
    let NextRead::At(at) = long.next_read(later, &mut rng) else {
        panic!("not a reader");
    };
    assert!(at - later >= ReaderConfig::default().slow_interval / 2);
    policy.record_peer_read_age(Duration::from_secs(3), now + Duration::from_secs(10));
    assert_eq!(
        policy.read_age(now + Duration::from_secs(12)),
        Some(Duration::from_secs(5))
    );
}

/// Symptom: news stops at a domain's or region's edge, or all digests go to one node. Sequence: plans of all nodes.
/// Cause: peers are chosen inside one domain alone, or too many.
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
            .expect("due at once");
        assert!(peers.contains(&peer));
        assert_eq!(
            plan.digest_peer(now, &mut rng),
            None,
            "the next one after its time"
        );
        let forms = [plan.push_mode(100), plan.push_mode(100_000)];
        assert_eq!(forms, [PushMode::Full, PushMode::Notice]);
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
