//! Tests of how requests that crash targets become suspects, are refused and are cleared.

use std::time::{Duration, Instant};

use coltsfootport_core::quarantine::{
    BodyDigest, CrashId, Crashes, Evidence, Finding, Fingerprint, FingerprintKey, Fingerprinter,
    MAX_DIGESTED_BODY_BYTES, QuarantineConfig, RequestParts, SuspectRegistry, SuspicionLevel,
};
use proptest::prelude::*;

const REQUEST: Fingerprint = Fingerprint(7);

fn registry() -> SuspectRegistry {
    SuspectRegistry::new(QuarantineConfig::default())
}

/// Checks the suspicion level for each number of crashes, with and without the request being the sole suspect in the
/// last one.
#[test]
fn standing_follows_from_crashes() {
    struct Case {
        name: &'static str,
        crashes: u64,
        sole_suspect: bool,
        level: SuspicionLevel,
    }
    let case = |name, crashes, sole_suspect, level| Case {
        name,
        crashes,
        sole_suspect,
        level,
    };
    let cases = [
        case("none", 0, false, SuspicionLevel::Unsuspected),
        case("one", 1, false, SuspicionLevel::Suspected),
        case("two", 2, false, SuspicionLevel::Isolated),
        case("two, sole suspect once", 2, true, SuspicionLevel::Isolated),
        case(
            "three, never sole suspect",
            3,
            false,
            SuspicionLevel::Isolated,
        ),
        case("three, sole suspect once", 3, true, SuspicionLevel::Refused),
        case(
            "five, never sole suspect",
            5,
            false,
            SuspicionLevel::Refused,
        ),
    ];
    let now = Instant::now();
    for case in cases {
        let mut registry = registry();
        for crash in 0..case.crashes {
            let sole_suspect = case.sole_suspect && crash + 1 == case.crashes;
            registry.record_crash(REQUEST, CrashId(crash), sole_suspect, now);
        }
        assert_eq!(
            registry.suspicion_level(REQUEST, now),
            case.level,
            "{}",
            case.name
        );
    }
}

/// Guards against counting a crash more than once when many nodes report it.
#[test]
fn a_crash_counts_once() {
    let now = Instant::now();
    let mut registry = registry();
    for _ in 0..10 {
        registry.record_crash(REQUEST, CrashId(1), false, now);
    }
    assert_eq!(
        registry.suspicion_level(REQUEST, now),
        SuspicionLevel::Suspected
    );
}

/// Guards against forgetting the crashes of a request when its refusal ends: it would then crash three more targets
/// before being refused again.
#[test]
fn a_refused_request_gets_one_probe_for_longer_and_longer_times() {
    let cfg = QuarantineConfig::default();
    let mut now = Instant::now();
    let mut registry = registry();
    for crash in 0..3 {
        registry.record_crash(REQUEST, CrashId(crash), true, now);
    }
    for doublings in 0..4 {
        let refused_for = cfg.refuse_for * (1 << doublings);
        let last = now + refused_for - Duration::from_millis(1);
        assert_eq!(
            registry.suspicion_level(REQUEST, last),
            SuspicionLevel::Refused
        );
        now += refused_for;
        assert_eq!(
            registry.suspicion_level(REQUEST, now),
            SuspicionLevel::Isolated
        );
        registry.tick(now);
        registry.record_crash(REQUEST, CrashId(10 + doublings), true, now);
        assert_eq!(
            registry.suspicion_level(REQUEST, now),
            SuspicionLevel::Refused
        );
    }
}

/// Guards against a harmless request staying a suspect after it has been answered, or becoming one again through late
/// reports. A frequent request can be running during several crashes that it did not cause.
#[test]
fn an_answer_clears_a_request_for_good() {
    let now = Instant::now();
    let mut registry = registry();
    for crash in 0..4 {
        registry.record_crash(REQUEST, CrashId(crash), false, now);
    }
    assert!(registry.record_answer(REQUEST, now));
    assert_eq!(
        registry.suspicion_level(REQUEST, now),
        SuspicionLevel::Unsuspected
    );
    registry.record_crash(REQUEST, CrashId(9), true, now);
    assert_eq!(
        registry.suspicion_level(REQUEST, now),
        SuspicionLevel::Unsuspected
    );
    let later = now + QuarantineConfig::default().cleared_for;
    registry.tick(later);
    registry.record_crash(REQUEST, CrashId(10), true, later);
    assert_eq!(
        registry.suspicion_level(REQUEST, later),
        SuspicionLevel::Suspected
    );
}

/// Guards against refused requests being evicted by a flood of distinct suspects.
#[test]
fn a_flood_of_suspects_does_not_evict_refused_requests() {
    let cfg = QuarantineConfig {
        max_records: 64,
        ..Default::default()
    };
    let now = Instant::now();
    let mut registry = SuspectRegistry::new(cfg);
    for crash in 0..3 {
        registry.record_crash(REQUEST, CrashId(crash), true, now);
    }
    for other in 0..10_000 {
        registry.record_crash(Fingerprint(1000 + other), CrashId(99), false, now);
    }
    assert_eq!(
        registry.suspicion_level(REQUEST, now),
        SuspicionLevel::Refused
    );
    assert!(registry.suspect_count() <= 64);
}

/// A retried request keeps its fingerprint; requests that differ in any fingerprinted part, or in the key, do not share
/// one.
#[test]
fn fingerprints_tell_requests_apart() {
    let long = vec![b'x'; MAX_DIGESTED_BODY_BYTES + 1];
    let fingerprinter = Fingerprinter::new(&FingerprintKey("key".into()));
    let parts = RequestParts {
        method: "POST",
        host: "a.example",
        target: "/x?y=1",
        workspace: Some("one"),
        body: BodyDigest::of(b"body"),
    };
    let same = [
        parts,
        RequestParts {
            host: "A.Example",
            ..parts
        },
    ];
    for retry in same {
        assert_eq!(
            fingerprinter.fingerprint(&retry),
            fingerprinter.fingerprint(&parts)
        );
    }
    let others = [
        RequestParts {
            method: "PUT",
            ..parts
        },
        RequestParts {
            host: "b.example",
            ..parts
        },
        RequestParts {
            target: "/x?y=2",
            ..parts
        },
        RequestParts {
            workspace: Some("two"),
            ..parts
        },
        RequestParts {
            workspace: None,
            ..parts
        },
        RequestParts {
            body: BodyDigest::of(b""),
            ..parts
        },
        RequestParts {
            host: "a.example/",
            target: "x?y=1",
            ..parts
        },
    ];
    for other in others {
        assert_ne!(
            fingerprinter.fingerprint(&other),
            fingerprinter.fingerprint(&parts)
        );
    }
    let other_key = Fingerprinter::new(&FingerprintKey("other".into()));
    assert_ne!(
        other_key.fingerprint(&parts),
        fingerprinter.fingerprint(&parts)
    );
    assert_eq!(
        BodyDigest::of(&long),
        BodyDigest::of(&long[..MAX_DIGESTED_BODY_BYTES])
    );
}

fn evidence() -> impl Strategy<Value = Evidence> {
    prop_oneof![
        8 => (proptest::collection::vec(0_u64..40, 1..4), any::<bool>()).prop_map(|(ids, sole_suspect)| {
            let mut crashes = Crashes::default();
            crashes.merge(&Crashes { ids: ids.into_iter().map(CrashId).collect(), sole_suspect });
            Evidence::Crashes(crashes)
        }),
        1 => Just(Evidence::Answered),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 256, rng_seed: proptest::test_runner::RngSeed::Fixed(30), ..Default::default() })]

    /// Guards against nodes disagreeing forever because findings reached them in different orders, some of them twice.
    #[test]
    fn nodes_that_have_heard_the_same_agree(
        received in proptest::collection::vec((0_u128..4, evidence()), 1..24),
        order in any::<proptest::sample::Index>(),
    ) {
        let now = Instant::now();
        let finding = |(fingerprint, evidence): &(u128, Evidence)| Finding {
            fingerprint: Fingerprint(*fingerprint),
            evidence: evidence.clone(),
            age: Duration::ZERO,
        };
        let (mut one, mut other) = (registry(), registry());
        for item in &received {
            one.merge(&finding(item), now);
        }
        let mut reordered: Vec<_> = received.iter().chain(&received).collect();
        let middle = order.index(reordered.len());
        reordered.rotate_left(middle);
        reordered.reverse();
        for item in reordered {
            other.merge(&finding(item), now);
        }
        prop_assert_eq!(one.digest(), other.digest());
        for fingerprint in 0..4 {
            let fingerprint = Fingerprint(fingerprint);
            prop_assert_eq!(one.suspicion_level(fingerprint, now), other.suspicion_level(fingerprint, now));
        }
        prop_assert!(one.findings_for_peer(other.digest(), 100, now).is_empty());
    }
}
