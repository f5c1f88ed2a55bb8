//! Property test of the token table with random interleavings of calls, refusals, suspensions and restarts.

use std::time::{Duration, Instant};

use coltsfootport_core::error_kind::ErrorKind;
use coltsfootport_core::id::Incarnation;
use coltsfootport_core::invariant::Invariant;
use coltsfootport_core::once::{
    Arrival, Identity, Minter, OnceConfig, OnceTable, RecordKey, Refusal, Token, Try,
};
use coltsfootport_core::outcome::Outcome;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const RETENTION_MS: u64 = 1_000;
const MARGIN_MS: u64 = 100;
const ANSWER_LIMIT: usize = 50;

/// Kind of a generated step.
#[derive(Clone, Copy, Debug)]
enum Action {
    ReportHome,
    Mint,
    /// The caller sends a token through an entry that may be suspended before it forwards the call.
    Send,
    /// An entry sheds a try without asking the home.
    ShedAtEntry,
    /// An entry that lost contact requests a refusal.
    AskRefusal,
    /// A message reaches the home; a copy of it may remain in transit.
    Deliver,
    Dispatch,
    Answer,
    Lose,
    Withdraw,
    Expire,
    Sleep(u64),
    Restart,
}

#[derive(Clone, Debug)]
struct Op {
    action: Action,
    /// Selects the token, message or job.
    pick: usize,
    /// Time since the task read the clock of the home.
    lag_ms: u64,
    /// Whether a copy remains in transit, or whether the deadline has passed.
    flag: bool,
    size: usize,
}

fn op() -> impl Strategy<Value = Op> {
    let sleep = prop_oneof![4 => 1..50_u64, 1 => 1..2 * RETENTION_MS];
    let action = prop_oneof![
        2 => Just(Action::ReportHome),
        3 => Just(Action::Mint),
        8 => Just(Action::Send),
        1 => Just(Action::ShedAtEntry),
        3 => Just(Action::AskRefusal),
        12 => Just(Action::Deliver),
        6 => Just(Action::Dispatch),
        3 => Just(Action::Answer),
        1 => Just(Action::Lose),
        2 => Just(Action::Withdraw),
        1 => Just(Action::Expire),
        2 => sleep.prop_map(Action::Sleep),
        1 => Just(Action::Restart),
    ];
    let lag_ms = prop_oneof![3 => Just(0), 1 => 1..2 * RETENTION_MS];
    let flag = prop::bool::weighted(0.3);
    let rest = (0..1_000_usize, lag_ms, flag, 0..2 * ANSWER_LIMIT);
    (action, rest).prop_map(|(action, (pick, lag_ms, flag, size))| Op {
        action,
        pick,
        lag_ms,
        flag,
        size,
    })
}

/// Expected state of a token, tracked independently of the table.
struct TokenHistory {
    token: Token,
    numbered: bool,
    sent: u32,
    not_run_up_to: u32,
    /// Highest try that the current incarnation of the home has refused.
    refused_up_to: u32,
    dispatches: u32,
    /// Index of the latest job of the token at the current incarnation.
    job: Option<usize>,
}

#[derive(Clone, Copy)]
enum Message {
    Call { token: usize, number: u32 },
    Refuse { token: usize, up_to: u32 },
}

#[derive(Clone, PartialEq, Debug)]
enum Phase {
    Waiting,
    Running,
    Ran(Vec<u8>),
    Lost,
    Closed,
}

struct Job {
    key: RecordKey,
    token: usize,
    seen: u32,
    phase: Phase,
}

struct Model {
    cfg: OnceConfig,
    start: Instant,
    now_ms: u64,
    latest_ms: u64,
    boot_ms: u64,
    restarts: u128,
    table: OnceTable<Vec<u8>>,
    minter: Minter,
    histories: Vec<TokenHistory>,
    messages: Vec<Message>,
    jobs: Vec<Job>,
}

impl Model {
    fn new(cfg: OnceConfig) -> Self {
        let start = Instant::now();
        let mut model = Self {
            table: OnceTable::new(cfg.clone(), Incarnation(0), start),
            cfg,
            start,
            now_ms: 0,
            latest_ms: 0,
            boot_ms: 0,
            restarts: 0,
            minter: Minter::new(),
            histories: Vec::new(),
            messages: Vec::new(),
            jobs: Vec::new(),
        };
        model.report_home();
        model
    }

    /// Returns the time as read by a task that was then suspended for `lag_ms`.
    fn at(&mut self, lag_ms: u64) -> Instant {
        let ms = self.now_ms.saturating_sub(lag_ms).max(self.boot_ms);
        self.latest_ms = self.latest_ms.max(ms);
        self.start + Duration::from_millis(ms)
    }

    fn apply(&mut self, op: &Op) {
        let pick = |len: usize| op.pick.checked_rem(len);
        let (token, job) = (pick(self.histories.len()), pick(self.jobs.len()));
        match (op.action, token, job) {
            (Action::ReportHome, ..) => self.report_home(),
            (Action::Mint, ..) => self.mint(),
            (Action::Sleep(ms), ..) => self.now_ms += ms,
            (Action::Restart, ..) => self.restart(),
            (Action::Expire, ..) => {
                let now = self.at(op.lag_ms);
                self.table.expire(now);
            }
            (Action::Send, Some(token), _) => {
                let number = self.histories[token].next_number();
                self.messages.push(Message::Call { token, number });
            }
            (Action::AskRefusal, Some(token), _) => {
                let up_to = self.histories[token].last_number();
                self.messages.push(Message::Refuse { token, up_to });
            }
            (Action::ShedAtEntry, Some(token), _) => self.shed_at_entry(token),
            (Action::Deliver, ..) => self.deliver(op),
            (Action::Dispatch, _, Some(job)) => self.dispatch(job, op.flag),
            (Action::Answer, _, Some(job)) => self.answer(job, op.size),
            (Action::Lose, _, Some(job)) => self.lose(job),
            (Action::Withdraw, _, Some(job)) => self.withdraw(job),
            _ => {}
        }
        let bound = self.cfg.capacity + self.cfg.refusal_capacity;
        assert!(self.table.len() <= bound, "{} records", self.table.len());
        assert!(self.table.answer_bytes() <= self.cfg.answer_bytes);
    }

    fn report_home(&mut self) {
        let now = self.at(0);
        let (incarnation, tick) = (self.table.incarnation(), self.table.tick(now));
        self.minter.update_home("n".into(), incarnation, tick, now);
    }

    fn mint(&mut self) {
        let now = self.start + Duration::from_millis(self.now_ms);
        let token = self.minter.mint(&"n".into(), &"s".into(), now);
        self.histories.push(TokenHistory {
            token: token.expect("the home is known"),
            numbered: !self.histories.len().is_multiple_of(4),
            sent: 0,
            not_run_up_to: 0,
            refused_up_to: 0,
            dispatches: 0,
            job: None,
        });
    }

    fn deliver(&mut self, op: &Op) {
        let Some(index) = op.pick.checked_rem(self.messages.len()) else {
            return;
        };
        let message = self.messages[index];
        if !op.flag {
            self.messages.swap_remove(index);
        }
        match message {
            Message::Call { token, number } => self.call(token, number, op.lag_ms),
            Message::Refuse { token, up_to } => self.refuse(token, up_to, op.lag_ms),
        }
    }

    fn restart(&mut self) {
        self.restarts += 1;
        self.boot_ms = self.now_ms;
        self.latest_ms = self.now_ms;
        let now = self.at(0);
        self.table = OnceTable::new(self.cfg.clone(), Incarnation(self.restarts), now);
        self.jobs.clear();
        self.histories
            .iter_mut()
            .for_each(|history| history.job = None);
    }

    fn report_not_run(&mut self, token: usize, up_to: u32) {
        let history = &mut self.histories[token];
        assert_eq!(
            history.dispatches, 0,
            "token {token} was reported as not run, but ran"
        );
        history.not_run_up_to = history.not_run_up_to.max(up_to);
    }

    fn shed_at_entry(&mut self, token: usize) {
        let number = self.histories[token].next_number();
        let header = self.histories[token].numbered.then_some(Try(number));
        if Identity::of(true, header).outcome_unsent(ErrorKind::Shed) == Outcome::NotRun {
            self.report_not_run(token, number);
        }
    }

    fn call(&mut self, index: usize, number: u32, lag_ms: u64) {
        let now = self.at(lag_ms);
        let token = self.histories[index].token.clone();
        let arrival = self.table.arrive(&token, Try(number), now);
        self.check_arrival(index, number, &arrival);
        match arrival {
            Arrival::Run(key) => {
                let job = Job {
                    key,
                    token: index,
                    seen: number,
                    phase: Phase::Waiting,
                };
                self.histories[index].job = Some(self.jobs.len());
                self.jobs.push(job);
            }
            Arrival::Refused(kind) if kind.rule().outcome == Outcome::NotRun => {
                self.histories[index].refused_up_to =
                    self.histories[index].refused_up_to.max(number);
                self.report_not_run(index, number);
            }
            Arrival::Join(_) | Arrival::Replay(_) | Arrival::Refused(_) => {}
        }
    }

    /// Checks the decision against the expected state. With a large table the expected decision is exact.
    fn check_arrival(&mut self, index: usize, number: u32, arrival: &Arrival<Vec<u8>>) {
        use Arrival::{Join, Refused, Replay, Run};
        let history = &self.histories[index];
        if history.token.incarnation != self.table.incarnation() {
            return assert_eq!(*arrival, Refused(ErrorKind::HomeLost));
        }
        if self.latest_ms - self.boot_ms < history.token.tick.0 {
            return assert_eq!(*arrival, Refused(ErrorKind::BadToken));
        }
        if self.latest_ms - self.boot_ms > history.token.tick.0 + RETENTION_MS {
            return assert_eq!(*arrival, Refused(ErrorKind::TokenExpired));
        }
        let refused_up_to = history.refused_up_to;
        let job = history
            .job
            .map(|job| &mut self.jobs[job])
            .filter(|job| job.phase != Phase::Closed);
        let Some(job) = job else {
            match arrival {
                Run(_) => assert!(
                    number > refused_up_to,
                    "try {number} runs although tries up to {refused_up_to} were refused"
                ),
                Refused(ErrorKind::TokenRefused) => {
                    assert!(
                        number <= refused_up_to || !self.cfg.is_large(),
                        "try {number} was refused without reason"
                    );
                }
                Refused(ErrorKind::TableFull) => assert!(!self.cfg.is_large()),
                other => panic!("unexpected {other:?} for a call that never ran"),
            }
            return;
        };
        match &job.phase {
            Phase::Waiting => {
                job.seen = job.seen.max(number);
                let refused = job.seen <= refused_up_to;
                let want = if refused {
                    Refused(ErrorKind::TokenRefused)
                } else {
                    Join(job.key)
                };
                assert_eq!(*arrival, want);
            }
            Phase::Running => assert_eq!(*arrival, Join(job.key)),
            Phase::Lost => assert_eq!(*arrival, Refused(ErrorKind::AnswerLost)),
            Phase::Ran(answer) if *arrival == Refused(ErrorKind::AnswerGone) => {
                assert!(answer.len() > ANSWER_LIMIT || !self.cfg.is_large());
            }
            Phase::Ran(answer) => assert_eq!(*arrival, Replay(answer.clone())),
            Phase::Closed => unreachable!("filtered above"),
        }
    }

    fn refuse(&mut self, index: usize, up_to: u32, lag_ms: u64) {
        let now = self.at(lag_ms);
        let token = self.histories[index].token.clone();
        let phase = self.histories[index].job.map(|job| &self.jobs[job].phase);
        let live = matches!(phase, Some(Phase::Waiting | Phase::Running));
        assert_eq!(self.table.is_live(&token), live);
        let refusal = self.table.refuse(&token, Try(up_to), now);
        match (&refusal, phase) {
            (Refusal::RefusedForGood, None | Some(Phase::Waiting | Phase::Closed)) => {
                self.histories[index].refused_up_to =
                    self.histories[index].refused_up_to.max(up_to);
                self.report_not_run(index, up_to);
            }
            (Refusal::Running, Some(Phase::Running)) | (Refusal::Unknown, _) => {}
            (Refusal::Ran(told), Some(Phase::Ran(answer))) => assert_eq!(told, answer),
            (Refusal::AnswerGone, Some(Phase::Ran(_))) => {}
            (refusal, phase) => panic!("unexpected {refusal:?} for a call in phase {phase:?}"),
        }
    }

    fn dispatch(&mut self, index: usize, late: bool) {
        let now = self.at(0);
        let deadline = if late {
            now
        } else {
            now + Duration::from_millis(1)
        };
        let job = &mut self.jobs[index];
        let history = &mut self.histories[job.token];
        let result = self.table.dispatch(job.key, deadline, now);
        let was_sent = matches!(job.phase, Phase::Running | Phase::Ran(_) | Phase::Lost);
        let breach = self.table.take_breach();
        assert!(
            was_sent || breach.is_none(),
            "{breach:?} without a second dispatch"
        );
        match result {
            Ok(()) => {
                history.dispatches += 1;
                assert_eq!(history.dispatches, 1, "dispatched twice");
                assert!(
                    job.seen > history.not_run_up_to,
                    "ran after it was reported as not run"
                );
                assert!(!late);
                job.phase = Phase::Running;
            }
            Err(kind) => {
                let live = self.cfg.is_large() && job.phase == Phase::Waiting && !late;
                assert!(
                    !live || job.seen <= history.refused_up_to,
                    "unexpected {kind:?} for a call that may run"
                );
                if was_sent {
                    // After the record has expired, no breach is reported, but nothing can run either.
                    assert!(breach.is_none_or(|breach| breach == Invariant::DispatchedTwice));
                    return assert_eq!(kind.rule().outcome, Outcome::Unknown);
                }
                job.phase = Phase::Closed;
                if kind.rule().outcome == Outcome::NotRun {
                    history.refused_up_to = history.refused_up_to.max(job.seen);
                    let (token, seen) = (job.token, job.seen);
                    self.report_not_run(token, seen);
                }
            }
        }
    }

    fn answer(&mut self, index: usize, size: usize) {
        let now = self.at(0);
        let job = &mut self.jobs[index];
        let answer = vec![job.token as u8; size];
        self.table.answered(job.key, answer.clone(), now);
        if matches!(job.phase, Phase::Running | Phase::Lost) {
            job.phase = Phase::Ran(answer);
        }
    }

    fn lose(&mut self, index: usize) {
        if self.jobs[index].phase != Phase::Running {
            return;
        }
        let now = self.at(0);
        let job = &mut self.jobs[index];
        self.table.lost(job.key, now);
        job.phase = Phase::Lost;
    }

    fn withdraw(&mut self, index: usize) {
        let now = self.at(0);
        let job = &mut self.jobs[index];
        self.table.withdrawn(job.key, now);
        match job.phase {
            Phase::Waiting => {
                job.phase = Phase::Closed;
                let (token, seen) = (job.token, job.seen);
                self.histories[token].refused_up_to = self.histories[token].refused_up_to.max(seen);
                self.report_not_run(token, seen);
            }
            Phase::Running => job.phase = Phase::Lost,
            Phase::Ran(_) | Phase::Lost | Phase::Closed => {}
        }
    }

    /// Ends all calls and lets all tokens expire, after which the table must be empty.
    fn finish(mut self) {
        for index in 0..self.jobs.len() {
            self.withdraw(index);
        }
        self.now_ms += RETENTION_MS + MARGIN_MS + 1;
        let now = self.at(0);
        self.table.expire(now);
        assert!(
            self.table.is_empty(),
            "{} records were not removed",
            self.table.len()
        );
        assert_eq!(self.table.answer_bytes(), 0);
    }
}

impl TokenHistory {
    fn next_number(&mut self) -> u32 {
        self.sent += 1;
        self.last_number()
    }

    fn last_number(&self) -> u32 {
        if self.numbered { self.sent.max(1) } else { 1 }
    }
}

/// Distinguishes configurations whose limits no run of this test can reach.
trait TableSize {
    fn is_large(&self) -> bool;
}

impl TableSize for OnceConfig {
    fn is_large(&self) -> bool {
        self.capacity > 100
    }
}

fn large_table() -> OnceConfig {
    OnceConfig {
        retention: Duration::from_millis(RETENTION_MS),
        record_margin: Duration::from_millis(MARGIN_MS),
        answer_limit: ANSWER_LIMIT,
        ..OnceConfig::default()
    }
}

fn small_table() -> OnceConfig {
    OnceConfig {
        capacity: 3,
        refusal_capacity: 2,
        watermarks: 2,
        answer_bytes: 80,
        ..large_table()
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 1_024,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(2),
        ..ProptestConfig::default()
    })]

    // Guards against a call that runs twice, or runs after its caller was told "not run", in any order of tries,
    // copies, refusals, suspensions, restarts and late answers. This happens if a record is dropped or reopened while a
    // copy of its call is still in transit.
    #[test]
    fn a_token_runs_at_most_once(ops in prop::collection::vec(op(), 1..250), small in any::<bool>()) {
        let mut model = Model::new(if small { small_table() } else { large_table() });
        for op in &ops {
            model.apply(op);
        }
        model.finish();
    }
}
