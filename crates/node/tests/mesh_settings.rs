//! Settings of a mesh node, and the template by which the users' platform makes them.

use std::time::Duration;

use coltsfootport::mesh::MeshSettings;

const TEMPLATE: &str = include_str!("../../../deploy/node.jsonc");

const MINIMAL: &str = r#"{
  "node": { "name": "n", "service": "s", "domain": "d", "target": "10.0.0.1:1", "callers": "10.0.0.1:2",
            "ready": "10.0.0.1:3", "peers": "10.0.0.1:4" },
  "publisher": { "address": "10.0.0.9:5" }
}"#;

/// The template with a value for each placeholder, as the platform fills it in.
fn filled() -> String {
    let values = [
        ("{{node_name|json}}", "\"node-1\""),
        ("{{service|json}}", "\"svc\""),
        ("{{zone|json}}", "\"z-a\""),
        ("{{application_address|json}}", "\"10.1.0.8:8301\""),
        ("{{listen_addresses.outbound|json}}", "\"10.1.0.8:8304\""),
        ("{{listen_addresses.ready|json}}", "\"10.1.0.8:8302\""),
        ("{{ip_address}}", "10.1.0.8"),
        ("{{internal_port_range.0}}", "7620"),
        ("{{platform.address|json}}", "\"10.200.1.7:8309\""),
        ("{{bounds.retry_budget_ratio|json}}", "0.2"),
        ("{{bounds.budget_slack|json}}", "48"),
        ("{{bounds.budget_window_s|json}}", "10"),
        ("{{bounds.grace_period_s|json}}", "6"),
    ];
    values
        .iter()
        .fold(TEMPLATE.to_owned(), |text, (name, value)| {
            text.replace(name, value)
        })
}

#[test]
fn the_template_makes_settings_without_a_fault() {
    let (settings, warnings) = MeshSettings::parse(&filled()).expect("settings");
    assert!(warnings.is_empty(), "{warnings:?}");
    assert_eq!(settings.node.name.as_str(), "node-1");
    assert_eq!(settings.node.peers.port(), 7620);
    assert_eq!(settings.retries.slack, 48.0);
    assert_eq!(settings.grace, Duration::from_secs(6));
}

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
