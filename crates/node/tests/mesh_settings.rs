//! Parsing and reloading of mesh node settings.

use coltsfootport::mesh::MeshSettings;
use proptest::prelude::*;

const MINIMAL: &str = r#"{
  "node": { "name": "n", "service": "s", "domain": "d", "target": "10.0.0.1:1", "callers": "10.0.0.1:2",
            "ready": "10.0.0.1:3", "peers": "10.0.0.1:4" },
  "publisher": { "address": "10.0.0.9:5" }
}"#;

#[test]
fn what_is_left_out_has_its_default() {
    let (settings, warnings) = MeshSettings::parse(MINIMAL).expect("settings");
    assert!(warnings.is_empty(), "{warnings:?}");
    assert_eq!(settings.retries, Default::default());
    assert_eq!(settings.load, Default::default());
}

/// Guards against a policy setting that is read but not applied, or not on by default.
#[test]
fn reported_speed_can_be_switched_off() {
    let (settings, _) = MeshSettings::parse(MINIMAL).expect("settings");
    assert!(settings.policy.reported_speed);
    let off = r#""policy": { "reported_speed": "off" }, "node""#;
    let text = MINIMAL.replacen("\"node\"", off, 1);
    let (settings, warnings) = MeshSettings::parse(&text).expect("settings");
    assert!(warnings.is_empty(), "{warnings:?}");
    assert!(!settings.policy.reported_speed);
}

/// Guards against a mechanism that can't be switched off, or is off where the settings don't mention it.
#[test]
fn cost_admission_is_on_unless_switched_off() {
    let parse = |text: &str| MeshSettings::parse(text).expect("settings").0;
    assert!(parse(MINIMAL).policy.cost_admission);
    let to = "\"policy\": { \"cost_admission\": \"off\" }, \"publisher\"";
    let off = parse(&MINIMAL.replace("\"publisher\"", to));
    assert!(!off.policy.cost_admission);
}

#[test]
fn faults_name_their_key() {
    struct Case {
        from: &'static str,
        to: &'static str,
        key: &'static str,
        fatal: bool,
    }
    let cases = [
        Case {
            from: "\"target\"",
            to: "\"tarket\"",
            key: "node.target",
            fatal: true,
        },
        Case {
            from: "10.0.0.9:5",
            to: "store:5",
            key: "publisher.address",
            fatal: true,
        },
        Case {
            from: "\"publisher\"",
            to: "\"publiser\"",
            key: "publisher",
            fatal: true,
        },
        Case {
            from: "\"name\": \"n\"",
            to: "\"name\": 3",
            key: "node.name",
            fatal: true,
        },
        Case {
            from: "\"address\"",
            to: "\"watch_ms\": \"x\", \"address\"",
            key: "publisher.watch_ms",
            fatal: false,
        },
        Case {
            from: "\"address\"",
            to: "\"wach_ms\": 5, \"address\"",
            key: "publisher.wach_ms",
            fatal: false,
        },
        Case {
            from: "\"node\"",
            to: "\"grace_s\": -1, \"node\"",
            key: "grace_s",
            fatal: false,
        },
    ];
    for case in cases {
        let text = MINIMAL.replacen(case.from, case.to, 1);
        let parsed = MeshSettings::parse(&text);
        assert_eq!(parsed.is_err(), case.fatal, "{}", case.key);
        let faults = match parsed {
            Ok((_, faults)) | Err(faults) => faults,
        };
        let is_reported = faults
            .iter()
            .any(|fault| fault.to_string().contains(case.key));
        assert!(is_reported, "{}: {faults:?}", case.key);
    }
}

/// Guards against a silent no-op on reload: an operator changed an address in the settings file of a running node. The
/// log reported that the settings were reloaded, but not which keys take effect only at the next start, and the node
/// kept its bound address.
#[test]
fn keys_that_wait_for_the_next_start_are_named() {
    struct Case {
        from: &'static str,
        to: &'static str,
        keys: &'static [&'static str],
    }
    let cases = [
        Case {
            from: "10.0.0.1:4",
            to: "10.0.0.1:9",
            keys: &["node.peers"],
        },
        Case {
            from: "10.0.0.9:5",
            to: "10.0.0.8:5",
            keys: &["publisher"],
        },
        Case {
            from: "\"service\": \"s\"",
            to: "\"service\": \"t\"",
            keys: &[],
        },
        Case {
            from: "\"publisher\"",
            to: "\"log_level\": \"error\", \"retries\": { \"ratio\": 0.1 }, \"publisher\"",
            keys: &["log_level"],
        },
    ];
    let (old, _) = MeshSettings::parse(MINIMAL).expect("settings");
    for case in cases {
        let text = MINIMAL.replace(case.from, case.to);
        let (new, _) = MeshSettings::parse(&text).expect("settings");
        assert_ne!(old, new, "{}", case.to);
        assert_eq!(old.at_next_start(&new), case.keys, "{}", case.to);
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 512,
        rng_seed: proptest::test_runner::RngSeed::Fixed(3),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Settings with changed, missing or inserted characters are either parsed, or rejected with at least one fault.
    #[test]
    fn damaged_settings_are_read_or_refused_with_a_reason(
        edits in prop::collection::vec((0..400_usize, 0..20_usize, prop::collection::vec(any::<char>(), 0..4)), 1..4),
    ) {
        let mut text: Vec<char> = MINIMAL.chars().collect();
        for (position, length, replacement) in edits {
            let from = position % text.len();
            let to = (from + length).min(text.len());
            text.splice(from..to, replacement);
            if text.is_empty() {
                return Ok(());
            }
        }
        let text: String = text.into_iter().collect();
        if let Err(faults) = MeshSettings::parse(&text) {
            prop_assert!(!faults.is_empty(), "rejected without a fault: {text}");
        }
    }
}
