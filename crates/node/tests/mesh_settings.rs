//! Settings of a mesh node.

use coltsfootport::mesh::MeshSettings;

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
        let told = faults
            .iter()
            .any(|fault| fault.to_string().contains(case.key));
        assert!(told, "{}: {faults:?}", case.key);
    }
}
