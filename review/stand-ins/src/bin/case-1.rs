//! A planned stop ends a long upload at its time limit without telling the worker, which runs the received part as if it
//! were complete, or gets the bytes of other requests where the rest is due.

use std::net::SocketAddr;
use std::process::ExitCode;
use std::time::Duration;

use review_stand_ins::{
    Client, Conduct, Digest, Fleet, FleetSpec, Record, Rejected, Verdict, WorkerSpec, run, trouble,
};
use rustix::process::Signal;
use tokio::io::AsyncWriteExt;
use tokio::time::{Instant, sleep};

/// Uploads at the same time, and stops of the machine.
const UPLOADS: usize = 6;
const ROUNDS: usize = 3;

/// Size of an upload, below the configuration's `max_body_bytes`, and of its chunks.
const UPLOAD_BYTES: usize = 24 * 1024 * 1024;
const CHUNK_BYTES: usize = 32 * 1024;

/// Time limit of the clients.
const TIME_LIMIT: Duration = Duration::from_millis(1500);

/// Bytes after which the worker rejects an upload with a length.
const REJECTED_AFTER: u64 = 3_500_000;

/// Time from the first upload to the short requests to the same worker, their number and their time limit.
const NOTES_AFTER: Duration = Duration::from_millis(2000);
const NOTES: usize = 4;
const NOTE_LIMIT: Duration = Duration::from_millis(800);

/// Time for which the worker doesn't read a new connection.
const READ_PAUSE: Duration = Duration::from_millis(1600);

/// Time from the first upload to the stop.
const STOP_AFTER: Duration = Duration::from_millis(400);

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
        receive_buffer: 64 * 1024,
    };
    let slow = Conduct::ReadsLate {
        pause: READ_PAUSE,
        work: Duration::from_millis(20),
        rejects_after: REJECTED_AFTER,
    };
    let quick = Conduct::Work(Duration::from_millis(20));
    let spec = FleetSpec {
        workers: vec![
            (worker("i-uploads", "uploads", slow), "a"),
            (worker("i-pages-1", "pages", quick), "b"),
            (worker("i-pages-2", "pages", quick), "c"),
        ],
        config: String::from(
            r#"{"version":"r1","routes":[{"name":"r-upload","host":"up.example","prefix":"/up/","kind":"non_idempotent","timeout_s":5,"target_latency_s":2,"priority":0,"service":"uploads","max_attempts":2},{"name":"r-note","host":"up.example","prefix":"/note/","kind":"non_idempotent","timeout_s":5,"target_latency_s":2,"priority":0,"service":"uploads","max_attempts":2},{"name":"r-page","host":"up.example","prefix":"/page/","kind":"idempotent","timeout_s":5,"target_latency_s":2,"priority":1,"service":"pages","max_attempts":2}],"services":[{"name":"uploads","health_check_path":"/health","max_connections":748},{"name":"pages","health_check_path":"/health","max_connections":748}],"limits":{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout_s":3,"idle_timeout_s":15}}"#,
        ),
    };
    let mut fleet = Fleet::start(spec, record.clone()).await;
    let mut sent = Vec::new();
    for round in 1..=ROUNDS {
        let addr = fleet.machines[0].callers;
        let started = Instant::now();
        let uploads: Vec<_> = (1..=UPLOADS)
            .map(|n| {
                let id = format!("upload-{round}-{n}");
                let framing = if n % 2 == 0 {
                    Framing::Length
                } else {
                    Framing::Chunked
                };
                tokio::spawn(upload(addr, id, framing, record.clone()))
            })
            .collect();
        sleep(STOP_AFTER).await;
        if trouble() {
            fleet.signal(0, Signal::TERM);
        }
        tokio::time::sleep_until(started + NOTES_AFTER).await;
        let notes: Vec<_> = (1..=NOTES)
            .map(|n| tokio::spawn(note(addr, format!("note-{round}-{n}"), record.clone())))
            .collect();
        for note in notes {
            note.await.expect("a note");
        }
        for upload in uploads {
            sent.push(upload.await.expect("an upload"));
        }
        if trouble() {
            fleet.wait_for_end(0, Duration::from_secs(6)).await;
            fleet.start_node(0);
            fleet.wait_until_ready(0).await;
        } else {
            sleep(Duration::from_secs(3)).await;
        }
    }
    fleet.copy_logs(&["stopp", "\"msg\":\"started\""]);
    judge(&fleet, &sent, &record)
}

/// Compares what the worker has run with what the clients have sent.
fn judge(fleet: &Fleet, sent: &[Sent], record: &Record) -> Verdict {
    let worker = &fleet.machines[0].worker;
    let (mut runs, mut changed) = (0, 0);
    for run in worker.runs() {
        runs += 1;
        let Some(sent) = sent.iter().find(|sent| sent.id == run.id) else {
            record.line(&format!(
                "run: {} `{}`, ended {:?}",
                run.id, run.request_line, run.ended
            ));
            continue;
        };
        let is_whole = run.body_bytes == UPLOAD_BYTES as u64 && run.body_digest == sent.whole;
        changed += usize::from(!is_whole);
        record.line(&format!(
            "run: {} `{}` with a complete body of {} bytes, ended {:?}; the client's body has {UPLOAD_BYTES} bytes, of which it sent {}; it sent all of it: {}",
            run.id, run.request_line, run.body_bytes, run.ended, sent.bytes, sent.complete
        ));
    }
    for (id, bytes) in worker.truncated() {
        record.line(&format!(
            "not run: {id}, whose body ended early after {bytes} bytes"
        ));
    }
    let mut mixed = 0;
    for Rejected {
        id,
        length,
        received,
        requests_within,
    } in worker.rejected()
    {
        mixed += usize::from(!requests_within.is_empty());
        record.line(&format!(
            "rejected: {id}, a body of {length} bytes; where the rest was due arrived up to byte {received}, with these requests: {requests_within:?}"
        ));
    }
    record.result(&format!(
        "{} uploads sent; {runs} requests run, {changed} of them uploads with a changed body; {mixed} rejected uploads got other requests as the rest of their body",
        sent.len()
    ));
    match changed + mixed {
        0 => Verdict::Held,
        _ => Verdict::Broken,
    }
}

/// How the length of an upload is told.
#[derive(Clone, Copy)]
enum Framing {
    Chunked,
    Length,
}

/// What a client has sent of an upload.
struct Sent {
    id: String,
    bytes: usize,
    /// Whether it has sent all of the body.
    complete: bool,
    /// Digest of the whole body.
    whole: Digest,
}

/// Sends an upload until an answer comes, and closes the connection then.
async fn upload(addr: SocketAddr, id: String, framing: Framing, record: Record) -> Sent {
    let body: Vec<u8> = (0..UPLOAD_BYTES).map(|at| (at / 251 + at) as u8).collect();
    let mut whole = Digest::default();
    whole.add(&body);
    let mut client = Client::connect(addr).await.expect("a connection");
    let deadline = Instant::now() + TIME_LIMIT + Duration::from_millis(200);
    let length = match framing {
        Framing::Chunked => String::from("Transfer-Encoding: chunked"),
        Framing::Length => format!("Content-Length: {UPLOAD_BYTES}"),
    };
    let head = format!(
        "POST /up/{id} HTTP/1.1\r\nHost: up.example\r\nAttempt-Id: {id}\r\nDeadline-Remaining: {}\r\n{length}\r\n\r\n",
        TIME_LIMIT.as_millis()
    );
    client
        .stream()
        .write_all(head.as_bytes())
        .await
        .expect("a head written");
    record.line(&format!("sent: {id}, the head, {length}"));
    let (mut bytes, mut complete) = (0, false);
    let (read, mut write) = client.stream().split();
    let sending = async {
        for chunk in body.chunks(CHUNK_BYTES) {
            let text = match framing {
                Framing::Chunked => {
                    [format!("{:x}\r\n", chunk.len()).as_bytes(), chunk, b"\r\n"].concat()
                }
                Framing::Length => chunk.to_vec(),
            };
            if write.write_all(&text).await.is_err() {
                return std::future::pending().await;
            }
            bytes += chunk.len();
        }
        complete = match framing {
            Framing::Chunked => write.write_all(b"0\r\n\r\n").await.is_ok(),
            Framing::Length => true,
        };
        std::future::pending::<()>().await;
    };
    tokio::select! {
        () = sending => {}
        _ = read.readable() => {}
        () = tokio::time::sleep_until(deadline) => {}
    }
    let (outcome, _) = client.answer(deadline).await;
    let line =
        format!("answered: {id} {outcome:?}, after {bytes} bytes sent, complete: {complete}");
    record.line(&line);
    Sent {
        id,
        bytes,
        complete,
        whole,
    }
}

/// Sends a short request to the service of the uploads.
async fn note(addr: SocketAddr, id: String, record: Record) {
    let request = format!(
        "POST /note/{id} HTTP/1.1\r\nHost: up.example\r\nAttempt-Id: {id}\r\nDeadline-Remaining: {}\r\nContent-Length: 4\r\n\r\nnote",
        NOTE_LIMIT.as_millis()
    );
    record.line(&format!("sent: {id}"));
    let outcome = Client::once(addr, &request, NOTE_LIMIT).await;
    record.line(&format!("answered: {id} {outcome:?}"));
}
