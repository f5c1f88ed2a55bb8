//! What the handle to the gate says when the gate has ended.

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

// Symptom: a bid that ran is told "not run".
// Sequence: a node that stops has ended its gate and its table with it; the bid's next try arrives at its last moment.
// Cause: the handle answers for the gate as if the node had not yet started.
#[tokio::test]
async fn without_its_gate_a_home_does_not_know() {
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
