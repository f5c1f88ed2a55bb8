//! Tests of the settings of a node: defaults, warnings, errors and the `check` command.

use std::path::{Path, PathBuf};
use std::time::Duration;

use coltsfootport::commands::check::{self, CheckKind};
use coltsfootport::config::{
    AdmissionMode, AdmissionSettings, FleetKey, LimitsSettings, LogSettings, OnceSettings,
    PlatformSettings, RetriesSettings, RoutingSettings, RuntimeSettings, Secret, Settings,
    ShutdownSettings, SpreadSettings, TargetSettings, TimelineSettings,
};
use coltsfootport::exit::Exit;
use coltsfootport::log::LogLevel;
use coltsfootport_core::jsonc::Fault;
use rcgen::{CertificateParams, KeyPair};

/// Self-signed certificate and its private key as PEM text, escaped for JSON.
struct Pem {
    certificate: String,
    key: String,
}

impl Pem {
    fn generate() -> Self {
        let key = KeyPair::generate().expect("a key");
        let params = CertificateParams::new(vec!["node".to_owned()]).expect("parameters");
        let certificate = params.self_signed(&key).expect("a certificate");
        let escape = |pem: String| pem.replace("\r\n", "\n").replace('\n', "\\n");
        Self {
            certificate: escape(certificate.pem()),
            key: escape(key.serialize_pem()),
        }
    }
}

/// Returns settings with the required keys only, and a placeholder at which `with_sections` inserts further sections.
fn minimal(pem: &Pem) -> String {
    format!(
        r#"{{
  "node": {{ "name": "bidding-1", "service": "bidding", "domain": "ba-1", "region": "ba" }},
  "listen": {{
    "callers": "127.0.0.1:8080", "egress": "127.0.0.1:8081",
    "peers": "127.0.0.1:7101", "operators": "127.0.0.1:7301"
  }},
  "target": {{ "address": "127.0.0.1:9000" }},
  "platform": {{ "address": "127.0.0.1:8500" }},
  "tls": {{ "ca_pem": "{certificate}", "cert_pem": "{certificate}", "key_pem": "{key}" }},
  "fleet_keys": [{{ "id": 1, "secret_hex": "000102030405060708090a0b0c0d0e0f" }}] // SECTIONS
}}"#,
        certificate = pem.certificate,
        key = pem.key
    )
}

fn with_sections(pem: &Pem, sections: &str) -> String {
    minimal(pem).replace("// SECTIONS", &format!(", {sections}"))
}

fn keys(faults: &[Fault]) -> Vec<&str> {
    faults.iter().map(|fault| fault.key.as_str()).collect()
}

#[test]
fn short_settings_have_defaults() {
    let loaded = Settings::parse(&minimal(&Pem::generate())).expect("valid settings");
    assert!(loaded.warnings.is_empty(), "{:#?}", loaded.warnings);
    let settings = loaded.settings;
    let key = FleetKey {
        id: 1,
        secret: Secret::new((0..16).collect()),
    };
    assert_eq!(settings.node.name.as_str(), "bidding-1");
    assert_eq!(settings.fleet_keys, [key]);
    assert_eq!(settings.advertised_peers(), settings.listen.peers);
    assert_eq!(settings.advertised_operators(), settings.listen.operators);
    let address = settings.target.address;
    assert_eq!(
        settings.target,
        TargetSettings {
            address,
            ..Default::default()
        }
    );
    let address = settings.platform.address;
    assert_eq!(
        settings.platform,
        PlatformSettings {
            address,
            ..Default::default()
        }
    );
    assert_eq!(settings.limits, LimitsSettings::default());
    assert_eq!(settings.retries, RetriesSettings::default());
    assert_eq!(settings.admission, AdmissionSettings::default());
    assert_eq!(settings.once, OnceSettings::default());
    assert_eq!(settings.routing, RoutingSettings::default());
    assert_eq!(settings.spread, SpreadSettings::default());
    assert_eq!(settings.shutdown, ShutdownSettings::default());
    assert_eq!(settings.log, LogSettings::default());
    assert_eq!(settings.timeline, TimelineSettings { capacity: 16_384 });
    assert_eq!(settings.runtime, RuntimeSettings { worker_threads: 0 });
}

#[test]
fn given_values_replace_defaults() {
    let sections = r#""advertise": { "peers": "127.0.0.1:7999" },
        "admission": { "mode": "static", "level_shedding": false },
        "retries": { "allowance_enabled": false, "edge_ratio": 1 },
        "log": { "level": "warning" }, "spread": { "digest_ms": 250 }"#;
    let text = with_sections(&Pem::generate(), sections).replace(
        r#""address": "127.0.0.1:9000""#,
        r#""address": "[::1]:9000", "cold_start_ms": 7"#,
    );
    let loaded = Settings::parse(&text).expect("valid settings");
    assert!(loaded.warnings.is_empty(), "{:#?}", loaded.warnings);
    let settings = loaded.settings;
    assert_eq!(settings.advertised_peers().port(), 7999);
    assert_eq!(settings.advertised_operators().port(), 7301);
    assert!(settings.target.address.is_ipv6());
    assert_eq!(settings.admission.mode, AdmissionMode::Static);
    assert!(!settings.admission.level_shedding && settings.admission.deadline_check);
    // The section doesn't set a cold start time, so that of the target applies.
    assert_eq!(settings.admission.cold_start, Duration::from_millis(7));
    assert!(!settings.retries.allowance_enabled);
    assert_eq!(settings.retries.edge_ratio, 1.0);
    assert_eq!(settings.log.level, LogLevel::Warning);
    assert_eq!(settings.spread.digest, Duration::from_millis(250));
}

struct WarningCase {
    sections: &'static str,
    keys: &'static [&'static str],
}

const WARNING_CASES: [WarningCase; 12] = [
    WarningCase {
        sections: r#""limit": { "body_bytes": 5 }"#,
        keys: &["limit"],
    },
    WarningCase {
        sections: r#""limits": { "body_byte": 5 }"#,
        keys: &["limits.body_byte"],
    },
    WarningCase {
        sections: r#""limits": []"#,
        keys: &["limits"],
    },
    WarningCase {
        sections: r#""limits": { "header_bytes": 1 }"#,
        keys: &["limits.header_bytes"],
    },
    WarningCase {
        sections: r#""once": { "capacity": 0, "retention_ms": 10, "answer_bytes": 1e3 }"#,
        keys: &["once.capacity", "once.retention_ms", "once.answer_bytes"],
    },
    WarningCase {
        sections: r#""routing": { "eject_share": 1.5 }"#,
        keys: &["routing.eject_share"],
    },
    WarningCase {
        sections: r#""retries": { "edge_ratio": "much" }"#,
        keys: &["retries.edge_ratio"],
    },
    WarningCase {
        sections: r#""admission": { "mode": "adaptiv" }"#,
        keys: &["admission.mode"],
    },
    WarningCase {
        sections: r#""admission": { "initial_limit": 40, "max_limit": 20 }"#,
        keys: &["admission.initial_limit"],
    },
    WarningCase {
        sections: r#""log": { "format": "text" }"#,
        keys: &["log.format"],
    },
    WarningCase {
        sections: r#""runtime": { "worker_threads": 65 }"#,
        keys: &["runtime.worker_threads"],
    },
    WarningCase {
        sections: r#""shutdown": { "drain_ms": -1 }"#,
        keys: &["shutdown.drain_ms"],
    },
];

#[test]
fn a_wrong_value_with_a_default_is_warned_of_and_replaced() {
    let pem = Pem::generate();
    let expected = Settings::parse(&minimal(&pem))
        .expect("valid settings")
        .settings;
    for case in &WARNING_CASES {
        let loaded = Settings::parse(&with_sections(&pem, case.sections)).expect(case.sections);
        assert_eq!(keys(&loaded.warnings), case.keys, "{}", case.sections);
        assert_eq!(loaded.settings, expected, "{}", case.sections);
    }
}

struct ErrorCase {
    old: &'static str,
    new: &'static str,
    keys: &'static [&'static str],
}

const ERROR_CASES: [ErrorCase; 15] = [
    ErrorCase {
        old: r#""name": "bidding-1", "#,
        new: "",
        keys: &["node.name"],
    },
    ErrorCase {
        old: r#""ba-1""#,
        new: r#""ba 1""#,
        keys: &["node.domain"],
    },
    ErrorCase {
        old: "\"node\"",
        new: "\"nodes\"",
        keys: &["node", "nodes"],
    },
    ErrorCase {
        old: "127.0.0.1:8080",
        new: "localhost:8080",
        keys: &["listen.callers"],
    },
    ErrorCase {
        old: "127.0.0.1:8081",
        new: "10.0.0.7:8081",
        keys: &["listen.egress"],
    },
    ErrorCase {
        old: "127.0.0.1:7101",
        new: "0.0.0.0:7101",
        keys: &["advertise"],
    },
    ErrorCase {
        old: "// SECTIONS",
        new: ", \"advertise\": 1",
        keys: &["advertise"],
    },
    ErrorCase {
        old: "// SECTIONS",
        new: r#", "advertise": { "operators": "10.0.0.7:0" }"#,
        keys: &["advertise.operators"],
    },
    ErrorCase {
        old: "127.0.0.1:9000",
        new: "127.0.0.1:0",
        keys: &["target.address"],
    },
    ErrorCase {
        old: "127.0.0.1:8500",
        new: "0.0.0.0:8500",
        keys: &["platform.address"],
    },
    ErrorCase {
        old: r#""id": 1"#,
        new: r#""id": 0"#,
        keys: &["fleet_keys[0].id"],
    },
    ErrorCase {
        old: "0d0e0f",
        new: "0d0e0",
        keys: &["fleet_keys[0].secret_hex"],
    },
    ErrorCase {
        old: "] // SECTIONS",
        new: r#", { "id": 1, "secret_hex": "00000000000000000000000000000000" }]"#,
        keys: &["fleet_keys"],
    },
    ErrorCase {
        old: "BEGIN CERTIFICATE",
        new: "BEGIN",
        keys: &["tls.ca_pem", "tls.cert_pem"],
    },
    ErrorCase {
        old: "PRIVATE KEY-",
        new: "KEY-",
        keys: &["tls.key_pem"],
    },
];

#[test]
fn without_usable_names_addresses_and_keys_settings_are_refused() {
    let text = minimal(&Pem::generate());
    for case in &ERROR_CASES {
        assert!(text.contains(case.old), "{}", case.old);
        let faults = Settings::parse(&text.replace(case.old, case.new)).expect_err(case.new);
        assert_eq!(keys(&faults), case.keys, "{}: {faults:#?}", case.new);
    }
}

#[test]
fn every_absent_section_is_reported_at_once() {
    let faults = Settings::parse("{}").expect_err("refused");
    assert_eq!(
        keys(&faults),
        ["node", "listen", "target", "platform", "tls", "fleet_keys"]
    );
}

/// Guards against a node that starts although no other node accepts its connections. This happens if the certificate in
/// the settings is replaced but its private key is not: each is valid by itself, but they don't match.
#[test]
fn a_private_key_of_another_certificate_is_refused() {
    let mixed = Pem {
        key: Pem::generate().key,
        ..Pem::generate()
    };
    let faults = Settings::parse(&minimal(&mixed)).expect_err("refused");
    assert_eq!(keys(&faults), ["tls.key_pem"]);
}

/// Guards against the disclosure of a fleet key when a node logs its settings at startup or a test prints them. A derived
/// `Debug` implementation would print every field.
#[test]
fn secrets_are_hidden_in_the_debug_form() {
    let pem = Pem::generate();
    let settings = Settings::parse(&minimal(&pem))
        .expect("valid settings")
        .settings;
    let debug_output = format!("{settings:?}");
    let bytes = format!("{:?}", settings.fleet_keys[0].secret.expose());
    assert!(debug_output.contains("(secret)"));
    assert!(
        !debug_output.contains("PRIVATE KEY") && !debug_output.contains(&bytes),
        "{debug_output}"
    );
}

fn example(name: &str) -> (PathBuf, String) {
    let path = Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("../../examples")
        .join(name);
    let text = std::fs::read_to_string(&path).expect("an example");
    (path, text)
}

#[test]
fn example_settings_lack_nothing_but_keys_of_their_own() {
    let pem = Pem::generate();
    let replacements = [
        (
            "REPLACE: certificate of the fleet's authority",
            pem.certificate.as_str(),
        ),
        (
            "REPLACE: certificate of this node",
            pem.certificate.as_str(),
        ),
        ("REPLACE: private key of this node", pem.key.as_str()),
        (
            "REPLACE: 32 random bytes",
            "000102030405060708090a0b0c0d0e0f",
        ),
    ];
    for name in ["telmarino/node.jsonc", "nilestone/node.jsonc"] {
        let (path, text) = example(name);
        let expected = [
            "tls.ca_pem",
            "tls.cert_pem",
            "tls.key_pem",
            "fleet_keys[0].secret_hex",
        ];
        let faults = check::find_faults(CheckKind::Settings, &text);
        assert_eq!(keys(&faults), expected, "{name}");
        assert_eq!(
            check::check(CheckKind::Settings, &path, &text),
            Exit::Invalid
        );
        let text = replacements
            .iter()
            .fold(text, |text, (old, new)| text.replace(old, new));
        let faults = check::find_faults(CheckKind::Settings, &text);
        assert!(faults.is_empty(), "{name}: {faults:#?}");
        assert_eq!(check::check(CheckKind::Settings, &path, &text), Exit::Ok);
    }
}

#[test]
fn check_prints_a_line_for_each_fault() {
    let text = "{\n  \"servise\": \"bidding\",\n  \"classes\": []\n}";
    let path = Path::new("a.jsonc");
    let faults = check::find_faults(CheckKind::Document, text);
    let mut out = Vec::new();
    check::write_faults(path, &faults, &mut out).expect("written");
    let expected = "a.jsonc:1:1: service: this key is required\n\
        a.jsonc:2:3: servise: unknown key (did you mean \"service\"?)\n\
        a.jsonc:3:14: classes: expected a list with a length from 1 to 8\n";
    assert_eq!(String::from_utf8_lossy(&out), expected);
    assert_eq!(check::check(CheckKind::Document, path, text), Exit::Invalid);
    let (path, text) = example("telmarino/bidding.jsonc");
    assert_eq!(check::check(CheckKind::Document, &path, &text), Exit::Ok);
}

/// Guards against settings that pass `check` but yield a warning at each start, such as those with a mistyped key that
/// has a default. This happens if `check` only counts faults for which a start fails.
#[test]
fn check_counts_what_a_start_would_only_warn_of() {
    let text = with_sections(&Pem::generate(), r#""limits": { "body_byte": 5 }"#);
    assert_eq!(
        check::check(CheckKind::Settings, Path::new("a.jsonc"), &text),
        Exit::Invalid
    );
}
