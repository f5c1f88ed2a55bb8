//! Compares encoded frames with stored bytes, since nodes of two releases must be able to read each other's frames.

use std::path::Path;

use coltsfootport::wire::{
    CallFrame, ControlReply, ControlRequest, DigestFrame, EntryFrame, HeaderFrame, HelloFrame,
    NewsFrame, OnceFrame, PeerReply, PeerRequest, RefusalFrame, ReplyFrame, ReportFrame,
    StateReportFrame, VerdictFrame, VersionFrame,
};
use coltsfootport_core::dissemination::{Digest, Revision};
use coltsfootport_core::error_kind::ErrorKind;
use coltsfootport_core::id::Incarnation;
use coltsfootport_core::membership::NodeState;
use coltsfootport_core::once::{Tick, Token};
use coltsfootport_core::timeline::Stamp;
use serde::Serialize;
use serde::de::DeserializeOwned;

/// Environment variable that makes the test rewrite the stored bytes after an intended change of the protocol.
const UPDATE: &str = "COLTSFOOTPORT_UPDATE_REFERENCE";

struct Sample {
    name: &'static str,
    bytes: Vec<u8>,
}

const STAMP: Stamp = Stamp {
    wall_ms: 1_790_000_000_123,
    counter: 7,
};

fn sample<T>(name: &'static str, frame: &T) -> Sample
where
    T: Serialize + DeserializeOwned,
{
    let bytes = postcard::to_stdvec(frame).expect("a frame");
    let read: T = postcard::from_bytes(&bytes).expect("the same frame");
    assert_eq!(
        postcard::to_stdvec(&read).expect("a frame"),
        bytes,
        "{name}"
    );
    Sample { name, bytes }
}

fn token() -> Token {
    Token {
        id: 11,
        service: "bidding".into(),
        home: "bidding-1".into(),
        incarnation: Incarnation(12),
        tick: Tick(13),
    }
}

fn report() -> ReportFrame {
    ReportFrame {
        node: "bidding-1".into(),
        incarnation: 12,
        tick: 14,
        state: NodeState::Serving,
        in_flight: 3,
        queued: 4,
        limit: 80,
        level_class: 2,
        level_bucket: 99,
        revision: 21,
    }
}

fn state_report() -> StateReportFrame {
    StateReportFrame {
        node: "bidding-1".into(),
        incarnation: 12,
        state: NodeState::Leaving,
        tick: 15,
    }
}

fn headers() -> Vec<HeaderFrame> {
    vec![HeaderFrame {
        name: "accept".into(),
        value: b"text/plain".to_vec(),
    }]
}

fn call() -> CallFrame {
    CallFrame {
        stamp: STAMP,
        request: 1,
        attempt: 2,
        attempt_number: 1,
        service: "bidding".into(),
        method: "POST".into(),
        path: "/bids?lot=7".into(),
        headers: headers(),
        class: 0,
        class_name: "bid".into(),
        operation: "0".into(),
        remaining_us: 1_500_000,
        allowance: 2,
        depth: 1,
        idempotent: false,
        revision: 21,
        once: Some(OnceFrame {
            token: token(),
            number: 3,
        }),
        body_len: 5,
        body_crc: 6,
    }
}

fn reply(verdict: VerdictFrame) -> ReplyFrame {
    ReplyFrame {
        stamp: STAMP,
        attempt: 2,
        allowance_left: 1,
        verdict,
        report: report(),
        body_len: 0,
        body_crc: 0,
    }
}

fn entry() -> EntryFrame {
    EntryFrame {
        key: "documents/bidding".into(),
        revision: 21,
        value: "{}".into(),
    }
}

fn version() -> VersionFrame {
    VersionFrame {
        key: "documents/bidding".into(),
        revision: 21,
        in_force: Some(20),
    }
}

fn requests() -> Vec<Sample> {
    let hello = HelloFrame {
        stamp: STAMP,
        report: report(),
    };
    let digest = DigestFrame {
        state_report: state_report(),
        digest: Digest {
            highest: Revision(21),
            complete: Revision(20),
            count: 2,
            hash: 5,
        },
        list_revision: 9,
        config_age_ms: Some(100),
        list_age_ms: None,
    };
    let news = NewsFrame {
        node: "bidding-1".into(),
        notices: vec![version()],
        entries: vec![entry()],
    };
    let refuse = ControlRequest::Refuse {
        token: token(),
        up_to: 4,
    };
    let control = |name, request| sample(name, &PeerRequest::Control(request));
    vec![
        sample("call", &PeerRequest::Call(Box::new(call()))),
        control("greet", ControlRequest::Greet(hello.clone())),
        control("ping", ControlRequest::Ping),
        control("announce", ControlRequest::Announce(hello)),
        control("refuse", refuse),
        control("digest", ControlRequest::Digest(digest)),
        control("pull-since", ControlRequest::PullSince(20)),
        control(
            "pull-keys",
            ControlRequest::PullKeys(vec!["documents/bidding".into()]),
        ),
        control("versions", ControlRequest::Versions(vec![version()])),
        control("pull-list", ControlRequest::PullList(9)),
        control("news", ControlRequest::News(news)),
        control("entries", ControlRequest::Entries(vec![entry()])),
        control("words", ControlRequest::StateReports(vec![state_report()])),
    ]
}

fn replies() -> Vec<Sample> {
    let answered = VerdictFrame::Answered {
        status: 200,
        headers: headers(),
        replayed: true,
    };
    let refused = VerdictFrame::Refused {
        kind: ErrorKind::Shed,
        retry_after_ms: 750,
    };
    let ran = RefusalFrame::Ran {
        status: 200,
        headers: headers(),
        body: b"ok".to_vec(),
    };
    let entries = ControlReply::Entries {
        entries: vec![entry()],
        complete: Some(21),
    };
    let call = |name, verdict| sample(name, &PeerReply::Call(Box::new(reply(verdict))));
    let control = |name, reply| sample(name, &PeerReply::Control(reply));
    vec![
        call("reply-answered", answered),
        call("reply-refused", refused),
        control("reply-refuse-ran", ControlReply::Refuse(ran)),
        control(
            "reply-refused-for-good",
            ControlReply::Refuse(RefusalFrame::RefusedForGood),
        ),
        control("reply-entries", entries),
        control("reply-done", ControlReply::Done),
    ]
}

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

// Guards against incompatible frames during a rolling upgrade, where nodes of two releases reject each other's frames.
// This happens if a field is added in the middle of a frame or a variant before others: postcard encodes by position,
// without field names or explicit variant numbers.
#[test]
fn frames_are_read_as_they_were_stored() {
    let samples = requests().into_iter().chain(replies());
    let lines: String = samples
        .map(|sample| format!("{} {}\n", sample.name, hex(&sample.bytes)))
        .collect();
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/reference/frames.txt");
    if std::env::var_os(UPDATE).is_some() {
        std::fs::write(&path, &lines).expect("a file");
    }
    let stored = std::fs::read_to_string(&path).expect("the stored frames");
    for (now, before) in lines.lines().zip(stored.lines()) {
        assert_eq!(
            now, before,
            "a changed protocol needs a new protocol name, see ALPN in peers/tls.rs"
        );
    }
    assert_eq!(lines.lines().count(), stored.lines().count());
}
