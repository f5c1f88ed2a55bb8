//! Detection of downstream calls that repeat a failed one.

use coltsfootport::gate::{DownstreamPermit, GateMessage, InFlightKey, RepeatDetector};
use tokio::sync::{mpsc, oneshot};

/// An action of the target; calls are numbered in the order in which they are sent.
#[derive(Clone, Copy, Debug)]
enum Step {
    /// Sends the call.
    Send,
    /// Receives a successful answer to the call.
    Success(usize),
    /// Receives an error, or gives up on the call and closes its connection.
    Failure(usize),
}

use Step::{Failure, Send, Success};

struct Case {
    name: &'static str,
    steps: &'static [Step],
    /// For each call sent: whether it is a repeat. `None` if it is still waiting or was cancelled while waiting.
    repeats: &'static [Option<bool>],
}

const CASES: &[Case] = &[
    Case {
        name: "single call",
        steps: &[Send],
        repeats: &[Some(false)],
    },
    Case {
        name: "identical call after a success",
        steps: &[Send, Success(0), Send],
        repeats: &[Some(false), Some(false)],
    },
    Case {
        name: "identical calls after a failure and after the repeat's success",
        steps: &[Send, Failure(0), Send, Success(1), Send],
        repeats: &[Some(false), Some(true), Some(false)],
    },
    Case {
        name: "identical concurrent calls wait",
        steps: &[Send, Send, Send],
        repeats: &[Some(false), None, None],
    },
    Case {
        name: "waiting identical call after a success",
        steps: &[Send, Send, Success(0)],
        repeats: &[Some(false), Some(false)],
    },
    Case {
        name: "second try received before the end of the first",
        steps: &[Send, Send, Failure(0)],
        repeats: &[Some(false), Some(true)],
    },
    Case {
        name: "cancelled waiting call is skipped",
        steps: &[Send, Send, Send, Failure(1), Success(0)],
        repeats: &[Some(false), None, Some(false)],
    },
];

/// Downstream calls of a target and the permits that they wait for or hold.
#[derive(Default)]
struct Calls {
    detector: RepeatDetector,
    waiting: Vec<Option<oneshot::Receiver<DownstreamPermit>>>,
    running: Vec<Option<DownstreamPermit>>,
    repeats: Vec<Option<bool>>,
}

impl Calls {
    fn apply(&mut self, step: Step, tx: &mpsc::UnboundedSender<GateMessage>) {
        match step {
            Send => {
                let (reply, permit_rx) = oneshot::channel();
                self.detector.acquire(InFlightKey::default(), 1, reply, tx);
                self.waiting.push(Some(permit_rx));
                self.running.push(None);
                self.repeats.push(None);
            }
            Success(n) => self.running[n].take().expect("call is running").succeeded(),
            Failure(n) => {
                self.waiting[n] = None;
                self.running[n] = None;
            }
        }
    }

    fn collect_permits(&mut self) {
        for (n, waiting) in self.waiting.iter_mut().enumerate() {
            if let Some(permit) = waiting.as_mut().and_then(|rx| rx.try_recv().ok()) {
                self.repeats[n] = Some(permit.is_repeat());
                self.running[n] = Some(permit);
                *waiting = None;
            }
        }
    }
}

/// Guards against a target that retries on its own and thereby exceeds the retry allowance of its request. The target
/// gives up on a call and sends it again, and the node receives the second call before the end of the first. Deciding
/// at that point whether the second call is a repeat would miss the retry.
#[test]
fn repeats_are_detected_in_any_order() {
    for case in CASES {
        let (tx, mut rx) = mpsc::unbounded_channel();
        let mut calls = Calls::default();
        for step in case.steps {
            calls.apply(*step, &tx);
            while let Ok(message) = rx.try_recv() {
                let GateMessage::ReleasePermit {
                    key,
                    fingerprint,
                    succeeded,
                } = message
                else {
                    panic!("{}: {message:?}", case.name);
                };
                calls.detector.release(key, fingerprint, succeeded, &tx);
            }
            calls.collect_permits();
        }
        assert_eq!(calls.repeats, case.repeats, "{}", case.name);
    }
}
