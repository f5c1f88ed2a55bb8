//! Replies of the gate handle after the gate has stopped.

use std::time::{Duration, Instant};

use coltsfootport::data::OnceCall;
use coltsfootport::gate::{AdmissionDecision, AdmissionRequest, GateHandle};
use coltsfootport_core::class::Class;
use coltsfootport_core::id::{Incarnation, RequestId};
use coltsfootport_core::once::{Tick, Token, Try};
use coltsfootport_core::outcome::Outcome;
use tokio::sync::mpsc;

fn request(once: Option<OnceCall>) -> AdmissionRequest {
    AdmissionRequest {
        request: RequestId::random(),
        class: Class::HIGHEST,
        class_name: "bid".into(),
        operation: "POST bids".into(),
        bucket: 0,
        deadline: Instant::now() + Duration::from_secs(10),
        depth: 0,
        sending: 1,
        allowance: 0,
        once,
    }
}

// Guards against reporting a call that ran as `not-run`. When a node stops, its token table ends with the gate. If the
// next try of a token arrives after that, the handle must not answer as if the node had not started yet.
#[tokio::test]
async fn tokens_are_unknown_after_the_gate_stopped() {
    let token = Token {
        id: 1,
        service: "bidding".into(),
        home: "bidding-1".into(),
        incarnation: Incarnation::random(),
        tick: Tick(0),
    };
    let once = OnceCall {
        token,
        number: Try(2),
    };
    for (once, outcome) in [(Some(once), Outcome::Unknown), (None, Outcome::NotRun)] {
        let (tx, rx) = mpsc::unbounded_channel();
        drop(rx);
        let decision = GateHandle::new(tx).admit(request(once)).await;
        let AdmissionDecision::Refused(refused) = decision else {
            panic!("{decision:?}");
        };
        assert_eq!(refused.kind.rule().outcome, outcome, "{refused:?}");
    }
}
