//! Document tests: validation, reported faults and the profiles of calls.

use std::path::Path;
use std::time::Duration;

use coltsfootport_core::class::Class;
use coltsfootport_core::document::Document;
use coltsfootport_core::id::ServiceName;
use coltsfootport_core::jsonc::FaultKind::{self, *};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

struct InvalidCase {
    name: &'static str,
    text: &'static str,
    faults: &'static [Expected],
}

struct Expected {
    line: usize,
    column: usize,
    key: &'static str,
    kind: FaultKind,
    hint: Option<&'static str>,
}

const fn fault(line: usize, column: usize, key: &'static str, kind: FaultKind) -> Expected {
    Expected {
        line,
        column,
        key,
        kind,
        hint: None,
    }
}

const fn hinted(
    line: usize,
    column: usize,
    key: &'static str,
    kind: FaultKind,
    hint: &'static str,
) -> Expected {
    Expected {
        line,
        column,
        key,
        kind,
        hint: Some(hint),
    }
}

const INVALID_CASES: [InvalidCase; 16] = [
    InvalidCase {
        name: "mistyped keys",
        text: r#"{
  // A comment moves nothing.
  "service": "bidding", "classes": ["bids"],
  "retry_allowence": 1,
  "operations": [{ "path": "/a", "clas": "bids", "zzzz": 1 }]
}"#,
        faults: &[
            hinted(4, 3, "retry_allowence", UnknownKey, "retry_allowance"),
            hinted(5, 34, "operations[0].clas", UnknownKey, "class"),
            fault(5, 50, "operations[0].zzzz", UnknownKey),
        ],
    },
    InvalidCase {
        name: "all required keys missing",
        text: "{ }",
        faults: &[
            fault(1, 1, "service", Missing),
            fault(1, 1, "classes", Missing),
        ],
    },
    InvalidCase {
        name: "wrong types",
        text: r#"{
  "service": 7,
  "classes": "bids",
  "operations": { },
  "retry_allowance": "2",
  "deadline_ms": null,
  "target": []
}"#,
        faults: &[
            fault(2, 14, "service", WrongType),
            fault(3, 14, "classes", WrongType),
            fault(4, 17, "operations", WrongType),
            fault(5, 22, "retry_allowance", WrongType),
            fault(6, 18, "deadline_ms", WrongType),
            fault(7, 13, "target", WrongType),
        ],
    },
    InvalidCase {
        name: "out of range",
        text: r#"{
  "service": "bidding", "classes": ["bids"],
  "retry_allowance": 9,
  "deadline_ms": 60001,
  "operations": [{ "path": "/a", "deadline_ms": 9 }, { "path": "/b", "deadline_ms": 1.5 }],
  "target": { "slots": 0, "connections": 65536, "cold_start_ms": -1 }
}"#,
        faults: &[
            fault(3, 22, "retry_allowance", OutOfRange),
            fault(4, 18, "deadline_ms", OutOfRange),
            fault(5, 49, "operations[0].deadline_ms", OutOfRange),
            fault(5, 85, "operations[1].deadline_ms", OutOfRange),
            fault(6, 24, "target.slots", OutOfRange),
            fault(6, 42, "target.connections", OutOfRange),
            fault(6, 66, "target.cold_start_ms", OutOfRange),
        ],
    },
    InvalidCase {
        name: "classes that are not in the list",
        text: r#"{
  "service": "bidding", "classes": ["bids", "lookups"],
  "default_class": "lookup",
  "operations": [{ "path": "/a", "class": "Bids" }, { "path": "/b", "class": "other" }]
}"#,
        faults: &[
            hinted(3, 20, "default_class", Invalid, "lookups"),
            hinted(4, 43, "operations[0].class", Invalid, "bids"),
            fault(4, 78, "operations[1].class", Invalid),
        ],
    },
    InvalidCase {
        name: "class names that are duplicate or invalid in a header",
        text: r#"{ "service": "bidding",
  "classes": ["bids", "bids", "a b", ""] }"#,
        faults: &[
            fault(2, 23, "classes[1]", Duplicate),
            fault(2, 31, "classes[2]", Invalid),
            fault(2, 38, "classes[3]", Invalid),
        ],
    },
    InvalidCase {
        name: "too many classes",
        text: r#"{ "service": "bidding", "classes": ["a", "b", "c", "d", "e", "f", "g", "h", "i"] }"#,
        faults: &[fault(1, 36, "classes", OutOfRange)],
    },
    InvalidCase {
        name: "no class",
        text: r#"{ "service": "bidding", "classes": [] }"#,
        faults: &[fault(1, 36, "classes", OutOfRange)],
    },
    InvalidCase {
        name: "duplicate operations",
        text: r#"{ "service": "bidding", "classes": ["bids"], "operations": [
  { "method": "GET", "path": "/a/*" }, { "path": "/a/*" }, { "path": "/a/b" },
  { "method": "GET", "path": "/a/*", "idempotent": false },
  { "path": "/a/b" }
] }"#,
        faults: &[
            fault(3, 3, "operations[3]", Duplicate),
            fault(4, 3, "operations[4]", Duplicate),
        ],
    },
    InvalidCase {
        name: "an unreachable operation",
        text: r#"{ "service": "bidding", "classes": ["bids"], "operations": [
  { "method": "GET", "path": "/a" }, { "method": "HEAD", "path": "/a" }, { "method": "PUT", "path": "/a" },
  { "path": "/a" },
  { "method": "DELETE", "path": "/a" }, { "method": "OPTIONS", "path": "/a" },
  { "method": "POST", "path": "/a" }, { "method": "PATCH", "path": "/a" }
] }"#,
        faults: &[fault(3, 3, "operations[3]", Unreachable)],
    },
    InvalidCase {
        name: "invalid methods and paths",
        text: r#"{ "service": "bidding", "classes": ["bids"], "operations": [
  { "method": "post", "path": "/a" }, { "method": "FETCH", "path": "/a" }, { },
  { "path": "a" }, { "path": "/a/" }, { "path": "/a//b" }, { "path": "/../a" },
  { "path": "/a*" }, { "path": "/:id" }, { "path": "/a?b" }, { "path": "/%61" }
] }"#,
        faults: &[
            hinted(2, 15, "operations[0].method", Invalid, "POST"),
            fault(2, 51, "operations[1].method", Invalid),
            fault(2, 76, "operations[2].path", Missing),
            fault(3, 13, "operations[3].path", Invalid),
            fault(3, 30, "operations[4].path", Invalid),
            fault(3, 49, "operations[5].path", Invalid),
            fault(3, 70, "operations[6].path", Invalid),
            fault(4, 13, "operations[7].path", Invalid),
            fault(4, 32, "operations[8].path", Invalid),
            fault(4, 52, "operations[9].path", Invalid),
            fault(4, 72, "operations[10].path", Invalid),
        ],
    },
    InvalidCase {
        name: "duplicate keys",
        text: r#"{ "service": "bidding", "classes": ["bids"],
  "deadline_ms": 100, "deadline_ms": 200 }"#,
        faults: &[fault(2, 23, "deadline_ms", DuplicateKey)],
    },
    InvalidCase {
        name: "the reserved service name",
        text: r#"{ "service": "coltsfootport", "classes": ["bids"] }"#,
        faults: &[fault(1, 14, "service", Invalid)],
    },
    InvalidCase {
        name: "a missing comma",
        text: "{ \"service\": \"bidding\"\n  \"classes\": [\"bids\"] }",
        faults: &[fault(2, 3, "", Syntax)],
    },
    InvalidCase {
        name: "a missing value after a multi-byte character, with the column in characters",
        text: "{ \"é\": }",
        faults: &[fault(1, 8, "", Syntax)],
    },
    InvalidCase {
        name: "a root that is not an object",
        text: "[]",
        faults: &[fault(1, 1, "", WrongType)],
    },
];

#[test]
fn every_fault_of_a_broken_document_is_reported() {
    for case in &INVALID_CASES {
        let faults = Document::parse(case.text).expect_err(case.name);
        let found: Vec<_> = faults
            .iter()
            .map(|f| (f.line, f.column, f.key.as_str(), f.kind, f.hint.as_deref()))
            .collect();
        let expected: Vec<_> = case
            .faults
            .iter()
            .map(|f| (f.line, f.column, f.key, f.kind, f.hint))
            .collect();
        assert_eq!(found, expected, "{}: {faults:#?}", case.name);
    }
}

#[test]
fn a_fault_reads_as_one_line() {
    let text = r#"{ "service": "bidding", "classes": ["bids"], "retry_allowence": 1 }"#;
    let faults = Document::parse(text).expect_err("a mistyped key");
    let line = r#"1:46: retry_allowence: unknown key (did you mean "retry_allowance"?)"#;
    assert_eq!(faults[0].to_string(), line);
}

const VALID_DOCUMENT: &str = r#"{
  "service": "bidding",
  "classes": ["bids", "pages", "lookups"],
  "default_class": "lookups",
  "operations": [
    { "path": "/", "class": "pages", "method": "GET" },
    { "path": "/lots/*", "class": "pages" },
    { "path": "/lots/*/bids", "class": "bids", "method": "POST", "deadline_ms": 1500 },
    { "path": "/lots/special/*", "class": "lookups", "method": "POST", "idempotent": true },
    { "path": "/lots/*/bids/*", "class": "bids", "method": "DELETE", "idempotent": false },
    { "path": "/search", "method": "POST", "idempotent": true }
  ],
  "deadline_ms": 900
}"#;

struct ProfileCase {
    method: &'static str,
    path: &'static str,
    class: u8,
    idempotent: bool,
    deadline_ms: u64,
}

const fn call(
    method: &'static str,
    path: &'static str,
    class: u8,
    idempotent: bool,
    deadline_ms: u64,
) -> ProfileCase {
    ProfileCase {
        method,
        path,
        class,
        idempotent,
        deadline_ms,
    }
}

const PROFILE_CASES: [ProfileCase; 20] = [
    call("GET", "/", 1, true, 900),
    call("GET", "/anything/else?x=1", 1, true, 900),
    call("PUT", "/anything/else", 2, true, 900),
    call("PATCH", "/anything/else", 2, false, 900),
    call("BREW", "/anything/else", 2, false, 900),
    call("get", "/anything/else", 2, false, 900),
    call("GET", "/lots/7", 1, true, 900),
    call("POST", "/lots/7", 1, false, 900),
    call("BREW", "/lots/7", 1, false, 900),
    call("POST", "/lots", 2, false, 900),
    call("POST", "/lots/7/bids", 0, false, 1500),
    call("POST", "/lots/7/bids?lot=8", 0, false, 1500),
    call("POST", "/lots/7/bids/9", 0, false, 1500),
    call("POST", "/lots/7/bidsheet", 1, false, 900),
    // With the same number of segments, the pattern with the earlier literal segment wins.
    call("POST", "/lots/special/bids", 2, true, 900),
    call("DELETE", "/lots/7/bids/9", 0, false, 900),
    call("DELETE", "/lots/7/bids", 1, true, 900),
    call("POST", "/search", 2, true, 900),
    call("POST", "//lots//7/bids/", 0, false, 1500),
    call("POST", "/lots/7/%62ids", 0, false, 1500),
];

#[test]
fn the_most_specific_operation_decides() {
    let document = Document::parse(VALID_DOCUMENT).expect("a valid document");
    for case in &PROFILE_CASES {
        let profile = document.profile(case.method, case.path);
        let found = (profile.class, profile.idempotent, profile.deadline);
        let deadline = Duration::from_millis(case.deadline_ms);
        let expected = (Class(case.class), case.idempotent, deadline);
        assert_eq!(found, expected, "{} {}", case.method, case.path);
        let name = &document.classes[usize::from(case.class)];
        assert_eq!(profile.class_name, name.0, "{} {}", case.method, case.path);
    }
}

/// Guards against a bid that runs twice because node and target interpret a path differently.
///
/// `POST /search/../lots/7/bids` would match the idempotent search and be retried after its answer is lost, while the
/// target resolves the path to a bid both times.
#[test]
fn a_path_that_targets_read_differently_is_never_idempotent() {
    let document = Document::parse(VALID_DOCUMENT).expect("a valid document");
    let paths = [
        "/search/../lots/7/bids",
        "/search/%2e%2E/lots/7/bids",
        "/search/.%2e/lots/7/bids",
        "/./search",
        "/search%2f..%2flots/7/bids",
        "/search/..\\lots",
        "/search/%5c..",
        "/search;v=1",
        "/search%3bv=1",
        "/search%00",
        "/search/%252e%252e/lots",
    ];
    for path in paths {
        for method in ["GET", "POST"] {
            let profile = document.profile(method, path);
            assert!(!profile.idempotent, "{method} {path}");
            assert_eq!(profile.class, document.default_class, "{method} {path}");
        }
    }
    assert!(
        document
            .profile("POST", "/search/a..b/.well-known?x=/../")
            .idempotent
    );
}

#[test]
fn a_short_document_has_defaults() {
    let text = r#"{ "service": "bidding", "classes": ["bids", "lookups"], }"#;
    let document = Document::parse(text).expect("a valid document");
    assert_eq!(document.default_class, Class(1));
    assert_eq!(document.retry_allowance, 2);
    assert_eq!(document.deadline, Duration::from_secs(2));
    assert!(document.operations.is_empty());
    assert_eq!(document.target.slots, None);
}

/// Guards against bids being shed like the lookups of another service. This happens if a team publishes its document
/// under the key of another service and nodes apply it without comparing the key to the service in the document.
#[test]
fn a_document_under_the_key_of_another_service_is_refused() {
    let text = r#"{ "service": "bidding", "classes": ["bids"] }"#;
    assert!(Document::parse_for(&ServiceName::from("bidding"), text).is_ok());
    let faults = Document::parse_for(&ServiceName::from("orders"), text).expect_err("refused");
    assert_eq!((faults.len(), faults[0].key.as_str()), (1, "service"));
}

/// Guards against a document that crashes all nodes at once. The parser recurses once per opening bracket, so unlimited
/// nesting overflows the stack, which can't be caught.
#[test]
fn deep_nesting_is_a_fault_and_not_a_crash() {
    for open in ["[", "{\"a\":"] {
        let faults = Document::parse(&open.repeat(200_000)).expect_err("refused");
        assert_eq!(faults[0].kind, Syntax, "{open}");
    }
    let brackets = "[{".repeat(100);
    let harmless = r#"{ "service": "bidding", "classes": ["bids"] /* BRACKETS */ } // BRACKETS"#;
    assert!(Document::parse(&harmless.replace("BRACKETS", &brackets)).is_ok());
}

/// Guards against calls timing out on all instances for minutes after a document is published. With tens of thousands
/// of unknown keys and no limit on listed faults, each node would compute the position and nearest key of every one.
#[test]
fn faults_beyond_a_hundred_are_counted_and_not_listed() {
    let keys: Vec<String> = (0..50_000)
        .map(|number| format!("\"clas{number}\": 1"))
        .collect();
    let text = format!("{{ {} }}", keys.join(",\n"));
    let faults = Document::parse(&text).expect_err("refused");
    assert_eq!(faults.len(), 101);
    assert_eq!(
        (faults[100].kind, faults[100].message.as_str()),
        (Unlisted, "49902 further faults")
    );
}

#[test]
fn a_text_above_a_megabyte_is_refused() {
    let text = format!("{VALID_DOCUMENT}{}", " ".repeat(1024 * 1024));
    assert_eq!(
        Document::parse(&text).expect_err("refused")[0].kind,
        OutOfRange
    );
}

#[test]
fn every_example_is_valid_under_its_own_name() {
    let examples = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples");
    let services = [
        (
            "telmarino",
            ["bidding", "watchlists", "price-history", "lot-catalog"],
        ),
        ("nilestone", ["orders", "archive", "proofs", "workshop"]),
    ];
    for (team, names) in services {
        for name in names {
            let path = examples.join(team).join(format!("{name}.jsonc"));
            let text = std::fs::read_to_string(&path).expect("an example");
            let document = Document::parse_for(&ServiceName::from(name), &text);
            assert!(document.is_ok(), "{}: {document:#?}", path.display());
        }
    }
}

/// Generates documents with a few replaced characters, which cover far more of the parser than random text.
fn corrupted_documents() -> impl Strategy<Value = String> {
    let replacement = "[\\x00-~é\"{}\\[\\],:]";
    let replacements = prop::collection::vec((any::<prop::sample::Index>(), replacement), 1..6);
    replacements.prop_map(|replacements| {
        let mut chars: Vec<String> = VALID_DOCUMENT.chars().map(String::from).collect();
        for (index, replacement) in replacements {
            let index = index.index(chars.len());
            chars[index] = replacement;
        }
        chars.concat()
    })
}

fn runner() -> TestRunner {
    let config = Config {
        cases: 512,
        failure_persistence: None,
        ..Config::default()
    };
    TestRunner::new_with_rng(config, TestRng::from_seed(RngAlgorithm::ChaCha, &[7; 32]))
}

#[test]
fn a_damaged_document_is_read_whole_or_refused_with_a_place_in_the_text() {
    let result = runner().run(&corrupted_documents(), |text| {
        for fault in Document::parse(&text).err().into_iter().flatten() {
            let line = text.split('\n').nth(fault.line - 1);
            let columns = line.map(|line| line.chars().count() + 1);
            prop_assert!(
                columns.is_some_and(|columns| fault.column <= columns),
                "{fault}"
            );
        }
        prop_assert!(
            Document::parse(&text)
                .err()
                .is_none_or(|faults| !faults.is_empty())
        );
        Ok(())
    });
    result.expect("no counter-example");
}

#[test]
fn any_path_has_a_profile() {
    let document = Document::parse(VALID_DOCUMENT).expect("a valid document");
    let calls = ("[A-Z]{0,7}", "[/a-z%.*;?#0-9é]{0,40}");
    let result = runner().run(&calls, |(method, path)| {
        let profile = document.profile(&method, &path);
        prop_assert!(usize::from(profile.class.0) < document.classes.len());
        prop_assert!(!profile.class_name.is_empty());
        Ok(())
    });
    result.expect("no counter-example");
}
