//! Suspicion of requests that crash targets.

use std::time::{Duration, Instant};

use coltsfootport_core::quarantine::{
    BodyDigest, CrashId, Crashes, DIGESTED_BODY, Evidence, Finding, Fingerprint, FingerprintKey,
    Fingerprinter, QuarantineConfig, Register, RequestParts, Standing,
};
use proptest::prelude::*;

const REQUEST: Fingerprint = Fingerprint(7);

fn register() -> Register {
    Register::new(QuarantineConfig::default())
}

/// The number of crashes, and whether the request was the only suspect at the last one, to its standing.
#[test]
fn standing_follows_from_crashes() {
    struct Case {
        name: &'static str,
        crashes: u64,
        alone: bool,
        standing: Standing,
    }
    let case = |name, crashes, alone, standing| Case {
        name,
        crashes,
        alone,
        standing,
    };
    let cases = [
        case("none", 0, false, Standing::Unsuspected),
        case("one", 1, false, Standing::Suspected),
        case("two", 2, false, Standing::Isolated),
        case("two, one alone", 2, true, Standing::Isolated),
        case("three, none alone", 3, false, Standing::Isolated),
        case("three, one alone", 3, true, Standing::Refused),
        case("five, none alone", 5, false, Standing::Refused),
    ];
    let now = Instant::now();
    for case in cases {
        let mut register = register();
        for crash in 0..case.crashes {
            let alone = case.alone && crash + 1 == case.crashes;
            register.crashed(REQUEST, CrashId(crash), alone, now);
        }
        assert_eq!(
            register.standing(REQUEST, now),
            case.standing,
            "{}",
            case.name
        );
    }
}

/// One crash that is told again and again, by many nodes: it counts as many.
#[test]
fn a_crash_counts_once() {
    let now = Instant::now();
    let mut register = register();
    for _ in 0..10 {
        register.crashed(REQUEST, CrashId(1), false, now);
    }
    assert_eq!(register.standing(REQUEST, now), Standing::Suspected);
}

/// A refused request whose retention is over: it crashes three more targets before it is refused again.
#[test]
fn a_refused_request_gets_one_probe_for_longer_and_longer_times() {
    let cfg = QuarantineConfig::default();
    let mut now = Instant::now();
    let mut register = register();
    for crash in 0..3 {
        register.crashed(REQUEST, CrashId(crash), true, now);
    }
    for doublings in 0..4 {
        let refused_for = cfg.refuse_for * (1 << doublings);
        let last = now + refused_for - Duration::from_millis(1);
        assert_eq!(register.standing(REQUEST, last), Standing::Refused);
        now += refused_for;
        assert_eq!(register.standing(REQUEST, now), Standing::Isolated);
        register.tick(now);
        register.crashed(REQUEST, CrashId(10 + doublings), true, now);
        assert_eq!(register.standing(REQUEST, now), Standing::Refused);
    }
}

/// A popular request at work in several crashes: after an answer it is still suspected, or made so by late news.
#[test]
fn an_answer_clears_a_request_for_good() {
    let now = Instant::now();
    let mut register = register();
    for crash in 0..4 {
        register.crashed(REQUEST, CrashId(crash), false, now);
    }
    assert!(register.answered(REQUEST, now));
    assert_eq!(register.standing(REQUEST, now), Standing::Unsuspected);
    register.crashed(REQUEST, CrashId(9), true, now);
    assert_eq!(register.standing(REQUEST, now), Standing::Unsuspected);
    let later = now + QuarantineConfig::default().cleared_for;
    register.tick(later);
    register.crashed(REQUEST, CrashId(10), true, later);
    assert_eq!(register.standing(REQUEST, later), Standing::Suspected);
}

/// A flood of distinct requests that crash targets: it pushes out those that are refused.
#[test]
fn a_flood_of_suspects_does_not_evict_refused_requests() {
    let cfg = QuarantineConfig {
        most_records: 64,
        ..Default::default()
    };
    let now = Instant::now();
    let mut register = Register::new(cfg);
    for crash in 0..3 {
        register.crashed(REQUEST, CrashId(crash), true, now);
    }
    for other in 0..10_000 {
        register.crashed(Fingerprint(1000 + other), CrashId(99), false, now);
    }
    assert_eq!(register.standing(REQUEST, now), Standing::Refused);
    assert!(register.suspects() <= 64);
}

/// What requests have in common when they are sent again, and what tells different ones apart.
#[test]
fn fingerprints_tell_requests_apart() {
    let long = vec![b'x'; DIGESTED_BODY + 1];
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
    for again in same {
        assert_eq!(
            fingerprinter.fingerprint(&again),
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
        BodyDigest::of(&long[..DIGESTED_BODY])
    );
}

fn evidence() -> impl Strategy<Value = Evidence> {
    prop_oneof![
        8 => (proptest::collection::vec(0_u64..40, 1..4), any::<bool>()).prop_map(|(ids, alone)| {
            let mut crashes = Crashes::default();
            crashes.merge(&Crashes { ids: ids.into_iter().map(CrashId).collect(), alone });
            Evidence::Crashes(crashes)
        }),
        1 => Just(Evidence::Answered),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 256, rng_seed: proptest::test_runner::RngSeed::Fixed(30), ..Default::default() })]

    /// Findings that reach nodes in another order, some of them twice: nodes believe different things for ever.
    #[test]
    fn nodes_that_have_heard_the_same_agree(
        heard in proptest::collection::vec((0_u128..4, evidence()), 1..24),
        order in any::<proptest::sample::Index>(),
    ) {
        let now = Instant::now();
        let finding = |(fingerprint, evidence): &(u128, Evidence)| Finding {
            fingerprint: Fingerprint(*fingerprint),
            evidence: evidence.clone(),
            age: Duration::ZERO,
        };
        let (mut one, mut other) = (register(), register());
        for told in &heard {
            one.hear(&finding(told), now);
        }
        let mut turned: Vec<_> = heard.iter().chain(&heard).collect();
        let middle = order.index(turned.len());
        turned.rotate_left(middle);
        turned.reverse();
        for told in turned {
            other.hear(&finding(told), now);
        }
        prop_assert_eq!(one.digest(), other.digest());
        for fingerprint in 0..4 {
            let fingerprint = Fingerprint(fingerprint);
            prop_assert_eq!(one.standing(fingerprint, now), other.standing(fingerprint, now));
        }
        prop_assert!(one.unlike(other.digest(), 100, now).is_empty());
    }
}
