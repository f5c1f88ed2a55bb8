//! A planned stop of two machines: the one beside the worker ends while long answers pass through it.

use std::net::SocketAddr;
use std::process::ExitCode;
use std::time::{Duration, Instant};

use review_stand_ins::{
    Client, Conduct, Ended, Fleet, FleetSpec, Outcome, Record, Run, Verdict, WorkerSpec, run,
    trouble,
};
use rustix::process::Signal;
use tokio::time::sleep;

/// Downloads at the same time.
const DOWNLOADS: usize = 10;

/// Size of an answer, and the time that the worker takes to send it.
const ANSWER_BYTES: usize = 2 * 1024 * 1024;
const ANSWER_TIME: Duration = Duration::from_millis(4200);

/// Time limit of the clients; the route's timeout is the same.
const TIME_LIMIT: Duration = Duration::from_secs(8);

/// Time from the first download to the stop. All answers are complete within five sixths of the grace period after it.
const STOP_AFTER: Duration = Duration::from_millis(300);

/// Grace period of the platform.
const GRACE: Duration = Duration::from_secs(6);

/// Time without any start or stop before the requests; longer than `stable_window_s`.
const CALM: Duration = Duration::from_secs(4);

fn main() -> ExitCode {
    run(case)
}

async fn case(record: Record) -> Verdict {
    let worker = |id: &str, service: &str, conduct| WorkerSpec {
        id: id.into(),
        service: service.into(),
        slots: 32,
        conduct,
        born: None,
        receive_buffer: 0,
    };
    let streams = Conduct::Streams {
        bytes: ANSWER_BYTES,
        time: ANSWER_TIME,
    };
    let quick = Conduct::Work(Duration::from_millis(20));
    let spec = FleetSpec {
        workers: vec![
            (worker("i-desk", "desk", quick), "a"),
            (worker("i-archive-1", "archive", streams), "b"),
            (worker("i-archive-2", "archive", streams), "c"),
        ],
        config: String::from(
            r#"{"version":"r1","routes":[{"name":"r-archive","host":"down.example","prefix":"/archive/","kind":"idempotent","timeout_s":8,"target_latency_s":5,"priority":0,"service":"archive","max_attempts":2}],"services":[{"name":"desk","health_check_path":"/health","max_connections":748},{"name":"archive","health_check_path":"/health","max_connections":748}],"limits":{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout_s":3,"idle_timeout_s":15}}"#,
        ),
    };
    let mut fleet = Fleet::start(spec, record.clone()).await;
    let mut answers = Vec::new();
    // The two machines beside the archive's workers are stopped in turn, each together with the one of the clients.
    for beside in [1, 2] {
        sleep(CALM).await;
        let addr = fleet.machines[0].callers;
        let downloads: Vec<_> = (1..=DOWNLOADS)
            .map(|n| {
                let id = format!("download-{beside}-{n}");
                tokio::spawn(download(addr, id, record.clone()))
            })
            .collect();
        sleep(STOP_AFTER).await;
        let stopped = Instant::now();
        if trouble() {
            fleet.signal(0, Signal::TERM);
            fleet.signal(beside, Signal::TERM);
        }
        for download in downloads {
            let (id, outcome, ended) = download.await.expect("a download");
            // The rule excuses answers at which a worker is still at work in the last sixth of the grace period.
            let is_excused = trouble() && ended > stopped + GRACE.mul_f64(5.0 / 6.0);
            answers.push((id, outcome, is_excused));
        }
        if trouble() {
            for at in [0, beside] {
                fleet.wait_for_end(at, GRACE).await;
                fleet.start_node(at);
            }
            for at in [0, beside] {
                fleet.wait_until_ready(at).await;
            }
        }
    }
    fleet.copy_logs(&["stopp", "\"msg\":\"started\"", "grace"]);
    judge(&fleet, &answers, &record)
}

fn judge(fleet: &Fleet, answers: &[(String, Outcome, bool)], record: &Record) -> Verdict {
    let runs: Vec<Run> = fleet
        .machines
        .iter()
        .flat_map(|machine| machine.worker.runs())
        .collect();
    let mut lost = 0;
    for (id, outcome, is_excused) in answers {
        let of_id: Vec<&Run> = runs.iter().filter(|run| run.id == *id).collect();
        for run in &of_id {
            let took = run.ended_at.map(|at| at - run.arrived);
            record.line(&format!("run: {id}, ended {:?} after {took:?}", run.ended));
        }
        // A worker's connection that ended under it was closed by the node beside it.
        let is_passed_on = of_id.iter().any(|run| run.ended != Ended::WorkerGone);
        let is_incomplete = matches!(outcome, Outcome::CutShort { .. } | Outcome::Closed);
        lost += usize::from(is_passed_on && is_incomplete && !is_excused);
    }
    let text = format!(
        "{} downloads sent, {lost} passed on to a worker and ended without a complete answer",
        answers.len()
    );
    record.result(&text);
    match lost {
        0 => Verdict::Held,
        _ => Verdict::Broken,
    }
}

async fn download(addr: SocketAddr, id: String, record: Record) -> (String, Outcome, Instant) {
    let request = format!(
        "GET /archive/{id} HTTP/1.1\r\nHost: down.example\r\nAttempt-Id: {id}\r\nDeadline-Remaining: {}\r\n\r\n",
        TIME_LIMIT.as_millis()
    );
    record.line(&format!("sent: {id}"));
    let outcome = Client::once(addr, &request, TIME_LIMIT).await;
    record.line(&format!("answered: {id} {outcome:?}"));
    (id, outcome, Instant::now())
}
