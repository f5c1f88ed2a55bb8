//! The directory of workspaces, and authentication of requests by it.

use std::collections::BTreeMap;
use std::time::Duration;

use coltsfootport_core::mesh::{
    AuthenticationRequest, CallerLimits, ConfigVersion, Idempotency, MeshConfig, PresentedKey,
    Refusal, Route, WeightedService, authenticate,
};
use coltsfootport_core::workspace::{
    Directory, DirectoryError, DirectorySecret, MAX_KEY_BYTES, Quota, Workspace, WorkspaceSpec,
};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const SECRET: DirectorySecret = DirectorySecret([7; 32]);

fn spec(name: &str, rank: u8, keys: &[&[u8]]) -> WorkspaceSpec {
    WorkspaceSpec {
        workspace: Workspace {
            name: name.into(),
            rank,
            quota: None,
        },
        keys: keys.iter().map(|key| (*key).into()).collect(),
    }
}

fn with_quota(per_second: f64, burst: f64) -> WorkspaceSpec {
    let mut spec = spec("w", 0, &[]);
    spec.workspace.quota = Some(Quota { per_second, burst });
    spec
}

fn directory(specs: Vec<WorkspaceSpec>) -> Result<Directory, DirectoryError> {
    Directory::new(specs, SECRET)
}

#[test]
fn a_faulty_directory_is_refused_as_a_whole_and_names_the_place() {
    struct Case {
        specs: Vec<WorkspaceSpec>,
        fault: DirectoryError,
    }
    let long = vec![b'k'; MAX_KEY_BYTES + 1];
    let cases = [
        Case {
            specs: vec![spec("a", 0, &[b"1"]), spec("a", 0, &[b"2"])],
            fault: DirectoryError::DuplicateName("a".into()),
        },
        Case {
            specs: vec![spec("", 0, &[b"1"])],
            fault: DirectoryError::EmptyName,
        },
        Case {
            specs: vec![spec("a", 0, &[b"1", b""])],
            fault: DirectoryError::EmptyKey("a".into(), 1),
        },
        Case {
            specs: vec![spec("a", 0, &[&long])],
            fault: DirectoryError::KeyTooLong("a".into(), 0),
        },
        Case {
            specs: vec![spec("a", 0, &[b"1"]), spec("b", 0, &[b"2", b"1"])],
            fault: DirectoryError::SharedKey("a".into(), "b".into()),
        },
        Case {
            specs: vec![with_quota(-1.0, 0.0)],
            fault: DirectoryError::QuotaOutOfRange("w".into()),
        },
        Case {
            specs: vec![with_quota(1.0, f64::NAN)],
            fault: DirectoryError::QuotaOutOfRange("w".into()),
        },
        Case {
            specs: vec![with_quota(1e308, 1.0)],
            fault: DirectoryError::QuotaOutOfRange("w".into()),
        },
    ];
    for Case { specs, fault } in cases {
        assert_eq!(directory(specs).err(), Some(fault));
    }
}

#[test]
fn odd_but_harmless_directories_are_taken() {
    let specs = vec![
        spec("without keys", 0, &[]),
        spec("a key twice", 0, &[b"k", b"k"]),
        with_quota(0.3, 0.0),
    ];
    assert_eq!(directory(specs).map(|d| d.key_count()), Ok(1));
    assert_eq!(directory(Vec::new()).map(|d| d.workspaces().len()), Ok(0));
}

#[test]
fn keys_of_any_length_are_looked_up() {
    for length in [1, 255, 256, 4000, MAX_KEY_BYTES] {
        let key = vec![0xfe; length];
        let known = directory(vec![spec("w", 0, &[&key])]).expect("valid");
        assert!(known.find_by_key(&key).is_some(), "{length}");
        assert!(known.find_by_key(&key[1..]).is_none(), "{length}");
    }
    let known = directory(vec![spec("w", 0, &[b"k"])]).expect("valid");
    assert!(known.find_by_key(b"").is_none());
    assert!(known.find_by_key(&vec![b'k'; MAX_KEY_BYTES + 1]).is_none());
}

#[test]
fn nothing_prints_a_key() {
    let key = b"secret-of-a-broker";
    let spec = spec("w", 0, &[key]);
    let mut texts = vec![format!("{spec:?}"), format!("{SECRET:?}")];
    texts.push(format!("{:?}", PresentedKey::Key(key)));
    texts.push(format!("{:?}", directory(vec![spec])));
    for text in texts {
        assert!(!text.contains("secret-of"), "{text}");
        assert!(!text.contains("115, 101"), "key printed as bytes: {text}");
    }
}

#[test]
fn who_may_enter() {
    struct Case {
        what: &'static str,
        presented: PresentedKey<'static>,
        public: bool,
        of_unknown_run: bool,
        fresh: bool,
        verdict: Result<Option<&'static str>, Refusal>,
    }
    let known = directory(vec![spec("w", 0, &[b"key"])]).expect("valid");
    let base = Case {
        what: "",
        presented: PresentedKey::Nothing,
        public: false,
        of_unknown_run: false,
        fresh: true,
        verdict: Err(Refusal::UnknownKey),
    };
    let cases = [
        Case {
            what: "a known key",
            presented: PresentedKey::Key(b"key"),
            verdict: Ok(Some("w")),
            ..base
        },
        Case {
            what: "a known key, while the directory may be outdated",
            presented: PresentedKey::Key(b"key"),
            fresh: false,
            verdict: Ok(Some("w")),
            ..base
        },
        Case {
            what: "no key",
            ..base
        },
        Case {
            what: "an unknown key",
            presented: PresentedKey::Key(b"Key"),
            ..base
        },
        Case {
            what: "an unknown key, which an outdated directory may lack",
            presented: PresentedKey::Key(b"new"),
            fresh: false,
            verdict: Err(Refusal::UnverifiedKey),
            ..base
        },
        Case {
            what: "two keys",
            presented: PresentedKey::Several,
            ..base
        },
        Case {
            what: "a public route",
            public: true,
            verdict: Ok(None),
            ..base
        },
        Case {
            what: "a key on a public route, where it is ignored",
            presented: PresentedKey::Key(b"key"),
            public: true,
            verdict: Ok(None),
            ..base
        },
        Case {
            what: "a call of a run from before a restart of the node",
            of_unknown_run: true,
            verdict: Err(Refusal::UnknownRun),
            ..base
        },
        Case {
            what: "an unknown key with the id of a call",
            presented: PresentedKey::Key(b"other"),
            of_unknown_run: true,
            ..base
        },
    ];
    for case in cases {
        let claim = AuthenticationRequest {
            presented: case.presented,
            public: case.public,
            from_unknown_run: case.of_unknown_run,
            directory_fresh: case.fresh,
        };
        let verdict = authenticate(Some(&known), &claim);
        let verdict = verdict.map(|known| known.map(|workspace| workspace.name.as_str()));
        assert_eq!(verdict, case.verdict, "{}", case.what);
        assert_eq!(authenticate(None, &claim), Ok(None), "{}", case.what);
    }
}

fn route(name: &str, rank: u8, public: bool) -> Route {
    Route {
        name: name.into(),
        host: "a.example".into(),
        prefix: format!("/{name}/").into(),
        idempotency: Idempotency::Idempotent,
        timeout: Duration::from_secs(5),
        latency_target: Duration::from_secs(1),
        rank,
        services: vec![WeightedService {
            service: "svc".into(),
            weight: 1.0,
        }],
        large_bodies: Default::default(),
        max_attempts: 2,
        public,
    }
}

/// Guards against callers without a key displacing those with one in a surge: requests on a public route belong to no
/// workspace and must not be ranked like those of the highest-priority one.
#[test]
fn the_rank_of_a_workspace_goes_before_that_of_a_route() {
    let routes = vec![
        route("bid", 0, false),
        route("list", 2, false),
        route("open", 0, true),
    ];
    let config = MeshConfig::new(ConfigVersion(1), routes, CallerLimits::default());
    let specs = vec![spec("urgent", 0, &[]), spec("other", 3, &[])];
    let known = directory(specs).expect("valid");
    let config = config.expect("valid").with_directory(known);
    let [bid, list, open] = config.routes() else {
        panic!("three routes");
    };
    let workspaces = config.directory().expect("one").workspaces();
    let (urgent, other) = (Some(&workspaces[0]), Some(&workspaces[1]));
    let in_order = [(bid, urgent), (list, urgent), (bid, other), (list, other)];
    let ranks = in_order.map(|(route, workspace)| config.rank(route, workspace));
    assert!(ranks.is_sorted(), "{ranks:?}");
    assert_eq!(config.rank(open, None), config.rank(bid, other));
    let orders = ranks.map(|rank| config.shed_order(rank));
    assert_eq!(orders, [3, 2, 1, 0]);
    assert_eq!(config.last_shed_order(), 3);
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 200, rng_seed: RngSeed::Fixed(5), failure_persistence: None, ..ProptestConfig::default() })]

    /// Compares lookups in a directory with those in a map of keys to names.
    #[test]
    fn a_directory_finds_what_a_map_finds(
        owners in prop::collection::btree_map(prop::collection::vec(any::<u8>(), 1..6), 0_u8..5, 0..40),
        asked in prop::collection::vec(prop::collection::vec(any::<u8>(), 0..6), 0..40),
        secret in any::<[u8; 32]>(),
    ) {
        let mut specs = BTreeMap::new();
        for (key, owner) in &owners {
            let name = format!("w{owner}");
            let spec = specs.entry(*owner).or_insert_with(|| spec(&name, *owner, &[]));
            spec.keys.push(key.clone().into());
        }
        let known = Directory::new(specs.into_values(), DirectorySecret(secret)).expect("valid");
        prop_assert_eq!(known.key_count(), owners.len());
        for key in owners.keys().chain(&asked) {
            let name = owners.get(key).map(|owner| format!("w{owner}"));
            let found = known.find_by_key(key).map(|workspace| workspace.name.to_string());
            prop_assert_eq!(found, name);
        }
    }
}
