//! A worker starts again under its id after the time of day has jumped back; its node and the others ignore what it says
//! of itself, so that it gets requests long after it has reported that it is draining.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::process::ExitCode;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::{Duration, Instant, SystemTime};

use review_stand_ins::{
    Client, Conduct, Ended, Fleet, FleetSpec, Outcome, Record, Verdict, WorkerSpec, run, trouble,
};
use tokio::time::sleep;

/// How far the time of day of the third machine is ahead until it jumps back.
const CLOCK_STEP: Duration = Duration::from_millis(2400);

/// Time from the start to the crash of the third worker, and until it starts again.
const CRASH_AFTER: Duration = Duration::from_millis(1000);
const DOWNTIME: Duration = Duration::from_millis(300);

/// Calm time before the worker reports that it is draining; longer than `stable_window_s`.
const CALM: Duration = Duration::from_secs(6);

/// `drain_s` of the site.
const DRAIN: Duration = Duration::from_secs(2);

/// How long the worker serves on after it has reported that it is draining.
const SERVES_ON: Duration = Duration::from_secs(8);

/// Time that a request takes.
const WORK: Duration = Duration::from_millis(200);

/// Clients of each kind on each machine, and the pause between two requests of a client.
const CLIENTS: usize = 4;
const PAUSE: Duration = Duration::from_millis(40);

/// Time limit of the clients.
const TIME_LIMIT: Duration = Duration::from_secs(5);

fn main() -> ExitCode {
    run(case)
}

async fn case(record: Record) -> Verdict {
    let worker = |id: &str, service: &str, ahead| WorkerSpec {
        id: id.into(),
        service: service.into(),
        slots: 64,
        conduct: Conduct::Work(WORK),
        born: Some(time_of_day(ahead)),
        receive_buffer: 0,
    };
    let ahead = if trouble() {
        CLOCK_STEP
    } else {
        Duration::ZERO
    };
    let spec = FleetSpec {
        workers: vec![
            (worker("i-1", "desk", Duration::ZERO), "a"),
            (worker("i-2", "desk", Duration::ZERO), "b"),
            (worker("i-3", "desk", ahead), "c"),
            (worker("i-4", "front", Duration::ZERO), "c"),
        ],
        config: String::from(
            r#"{"version":"r1","routes":[{"name":"r-read","host":"desk.example","prefix":"/read/","kind":"idempotent","timeout_s":5,"target_latency_s":2,"priority":1,"service":"desk","max_attempts":2},{"name":"r-bid","host":"desk.example","prefix":"/bid/","kind":"non_idempotent","timeout_s":5,"target_latency_s":2,"priority":0,"service":"desk","max_attempts":2}],"services":[{"name":"desk","health_check_path":"/health","max_connections":748},{"name":"front","health_check_path":"/health","max_connections":748}],"limits":{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout_s":3,"idle_timeout_s":15}}"#,
        ),
    };
    let mut fleet = Fleet::start(spec, record.clone()).await;
    let stop = Arc::new(AtomicBool::new(false));
    let counts = Arc::new(Counts::default());
    let mut clients = Vec::new();
    for machine in &fleet.machines {
        for n in 0..2 * CLIENTS {
            let client = TestClient {
                addr: machine.callers,
                name: format!("{}-{n}", machine.name),
                is_bid: n % 2 == 0,
                stop: Arc::clone(&stop),
                counts: Arc::clone(&counts),
                record: record.clone(),
            };
            clients.push(tokio::spawn(client.run()));
        }
    }
    sleep(CRASH_AFTER).await;
    record.line("the time of day of node-3's machine is true again");
    fleet.restart_worker(2, DOWNTIME).await;
    let born = time_of_day(Duration::ZERO);
    fleet.publish(&fleet.machines[2], "ready", Some(born));
    sleep(CALM).await;
    fleet.machines[2].worker.leave();
    fleet.publish(&fleet.machines[2], "draining", Some(born));
    let acked = Instant::now();
    record.line("the store has accepted the report");
    sleep(SERVES_ON).await;
    fleet.machines[2].worker.end();
    fleet.store.remove_entry("i-3");
    record.line("i-3 has ended, and its entry is removed");
    sleep(Duration::from_secs(2)).await;
    stop.store(true, Ordering::SeqCst);
    for client in clients {
        client.await.expect("a client");
    }
    fleet.copy_logs(&["instance seen", "instance gone", "\"msg\":\"started\""]);
    judge(&fleet, acked, &counts, &record)
}

fn judge(fleet: &Fleet, acked: Instant, counts: &Counts, record: &Record) -> Verdict {
    let (mut late, mut late_bids, mut cut_bids) = (0, 0, 0);
    let mut by_machine = BTreeMap::new();
    let worker = &fleet.machines[2].worker;
    let runs = worker.runs();
    for run in runs.iter().filter(|run| run.arrived > acked + DRAIN) {
        late += 1;
        let is_bid = run.request_line.starts_with("POST");
        let machine = run.id.get(..6).unwrap_or_default();
        *by_machine.entry(machine).or_insert(0) += 1;
        late_bids += usize::from(is_bid);
        cut_bids += usize::from(is_bid && run.ended == Ended::WorkerGone);
        if late <= 200 {
            let after = (run.arrived - acked).as_secs_f64();
            record.line(&format!(
                "run at i-3 {after:.3} s after the ack: {} `{}` {:?}",
                run.id, run.request_line, run.ended
            ));
        }
    }
    let of = |count: &AtomicUsize| count.load(Ordering::SeqCst);
    record.result(&format!(
        "{} requests sent, {} answered with success; {} ran at i-3 since it started again, {late} of them later than {DRAIN:?} after the ack of `draining`, {late_bids} of these not idempotent, of which {cut_bids} were cut by the worker's end",
        of(&counts.sent), of(&counts.served), runs.len()
    ));
    record.result(&format!(
        "these late requests by the machine of their clients: {by_machine:?}"
    ));
    match late {
        0 => Verdict::Held,
        _ => Verdict::Broken,
    }
}

#[derive(Default)]
struct Counts {
    sent: AtomicUsize,
    served: AtomicUsize,
}

/// A client that sends one request after another on a kept connection.
struct TestClient {
    addr: SocketAddr,
    name: String,
    is_bid: bool,
    stop: Arc<AtomicBool>,
    counts: Arc<Counts>,
    record: Record,
}

impl TestClient {
    async fn run(self) {
        let mut conn = None;
        for n in 0.. {
            if self.stop.load(Ordering::SeqCst) {
                return;
            }
            let id = format!("{}-{n}", self.name);
            let outcome = self.request(&mut conn, &id).await;
            self.counts.sent.fetch_add(1, Ordering::SeqCst);
            match outcome {
                Outcome::Answered {
                    status: 200,
                    signed: true,
                    ..
                } => {
                    self.counts.served.fetch_add(1, Ordering::SeqCst);
                }
                other => self.record.line(&format!("answered: {id} {other:?}")),
            }
            sleep(PAUSE).await;
        }
    }

    async fn request(&self, conn: &mut Option<Client>, id: &str) -> Outcome {
        let (method, path, body) = match self.is_bid {
            true => ("POST", "bid", "Content-Length: 3\r\n\r\nbid"),
            false => ("GET", "read", "\r\n"),
        };
        let text = format!(
            "{method} /{path}/{id} HTTP/1.1\r\nHost: desk.example\r\nAttempt-Id: {id}\r\nDeadline-Remaining: {}\r\n{body}",
            TIME_LIMIT.as_millis()
        );
        let mut client = match conn.take() {
            Some(client) => client,
            None => match Client::connect(self.addr).await {
                Some(client) => client,
                None => return Outcome::Unreachable,
            },
        };
        let (outcome, keeps) = client.request(&text, TIME_LIMIT).await;
        if keeps {
            *conn = Some(client);
        }
        outcome
    }
}

/// Unix time in milliseconds by a clock that is ahead by this much.
fn time_of_day(ahead: Duration) -> u64 {
    let now = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    let now = now.expect("a clock") + ahead;
    u64::try_from(now.as_millis()).expect("a time")
}
