//! Which calls of a target's own count as repeats of a failed one.

use coltsfootport::gate::{DownstreamPermit, GateMessage, InFlightKey, RepeatDetector};
use tokio::sync::{mpsc, oneshot};

/// What the target does; numbers are calls in the order in which they were sent.
#[derive(Clone, Copy, Debug)]
enum Step {
    /// It sends the call.
    Send,
    /// It gets an answer without error to the call.
    Success(usize),
    /// It gets an error, or gives the call up and closes its connection.
    Failure(usize),
}

use Step::{Failure, Send, Success};

struct Case {
    name: &'static str,
    steps: &'static [Step],
    /// For each call that was sent: whether it is a repeat; none where it still waits or was given up before.
    repeats: &'static [Option<bool>],
}

const CASES: &[Case] = &[
    Case {
        name: "one call",
        steps: &[Send],
        repeats: &[Some(false)],
    },
    Case {
        name: "the same again after a success",
        steps: &[Send, Success(0), Send],
        repeats: &[Some(false), Some(false)],
    },
    Case {
        name: "the same again after a failure, and after the repeat's success",
        steps: &[Send, Failure(0), Send, Success(1), Send],
        repeats: &[Some(false), Some(true), Some(false)],
    },
    Case {
        name: "the same at once waits",
        steps: &[Send, Send, Send],
        repeats: &[Some(false), None, None],
    },
    Case {
        name: "the same at once after a success",
        steps: &[Send, Send, Success(0)],
        repeats: &[Some(false), Some(false)],
    },
    Case {
        name: "a second try that is heard before the end of the first",
        steps: &[Send, Send, Failure(0)],
        repeats: &[Some(false), Some(true)],
    },
    Case {
        name: "a waiting call that is given up is passed over",
        steps: &[Send, Send, Send, Failure(1), Success(0)],
        repeats: &[Some(false), None, Some(false)],
    },
];

/// A target's calls as its connections hold them.
#[derive(Default)]
struct Calls {
    detector: RepeatDetector,
    waiting: Vec<Option<oneshot::Receiver<DownstreamPermit>>>,
    running: Vec<Option<DownstreamPermit>>,
    repeats: Vec<Option<bool>>,
}

impl Calls {
    fn take(&mut self, step: Step, tx: &mpsc::UnboundedSender<GateMessage>) {
        match step {
            Send => {
                let (reply, begun) = oneshot::channel();
                self.detector.acquire(InFlightKey::default(), 1, reply, tx);
                self.waiting.push(Some(begun));
                self.running.push(None);
                self.repeats.push(None);
            }
            Success(n) => self.running[n].take().expect("a running call").succeeded(),
            Failure(n) => {
                self.waiting[n] = None;
                self.running[n] = None;
            }
        }
    }

    fn note_begun(&mut self) {
        for (n, waiting) in self.waiting.iter_mut().enumerate() {
            if let Some(permit) = waiting.as_mut().and_then(|begun| begun.try_recv().ok()) {
                self.repeats[n] = Some(permit.is_repeat());
                self.running[n] = Some(permit);
                *waiting = None;
            }
        }
    }
}

/// Symptom: a target that retries by itself sends more calls than the allowance of its request pays for.
/// Sequence: it gives a call up and sends it again; its node hears of the second call before it hears that the first ended.
/// Cause: whether a call repeats a failed one is judged while the other's end is not known.
#[test]
fn a_repeat_is_known_as_one_in_any_order() {
    for case in CASES {
        let (tx, mut rx) = mpsc::unbounded_channel();
        let mut calls = Calls::default();
        for step in case.steps {
            calls.take(*step, &tx);
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
            calls.note_begun();
        }
        assert_eq!(calls.repeats, case.repeats, "{}", case.name);
    }
}
