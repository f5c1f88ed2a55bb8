//! A worker answers some uploads before it has read the whole body.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use tokio::io::AsyncWriteExt;
use tokio::task::JoinSet;
use tokio::time::{sleep, timeout};

use crate::Verdict;
use crate::client::{Client, Outcome, head};
use crate::record::Record;
use crate::site::{Bounds, HOST, Site, config, route};
use crate::worker::Behavior;

/// Bytes of each upload's body.
const UPLOAD: usize = 1_000_000;

/// It is written in parts of this many bytes, with a pause behind each: 32 MB a second.
const UPLOAD_PART: usize = 64_000;
const UPLOAD_PAUSE: Duration = Duration::from_millis(2);

/// Bytes of each answer.
const ANSWER: usize = 200_000;

const CLIENTS: usize = 4;
const UPLOADS_PER_CLIENT: usize = 200;

/// One of the two workers answers one of this many uploads early: a share of 0.02.
const EARLY_ONE_OF: usize = 50;

/// Time after which it reads on.
const READS_ON_AFTER: Duration = Duration::from_millis(300);

/// One-way delay between the zones of the machines.
const DELAY: Duration = Duration::from_micros(1400);

const WORK: Duration = Duration::from_millis(5);
const LIMIT: Duration = Duration::from_secs(5);

pub async fn run(trouble: bool, record: &Record) -> io::Result<Verdict> {
    let routes = [
        route("upload", "/up/", "upload", "intake", 5.0),
        route("read", "/read/", "idempotent", "intake", 5.0),
    ];
    let services = ["front", "intake", "intake"];
    let config = config(1, &["front", "intake"], &routes);
    let bounds = Bounds {
        delay: DELAY,
        ..Bounds::default()
    };
    let site = Site::start(&services, &config, bounds).await?;
    for (at, machine) in site.machines[1..].iter().enumerate() {
        let uploads = AtomicUsize::new(0);
        machine.worker.choose(Box::new(move |head| {
            if !head.first.starts_with("POST") {
                return Behavior::Work(WORK, 100);
            }
            let nth = uploads.fetch_add(1, Ordering::SeqCst) + 1;
            match trouble && at == 0 && nth % EARLY_ONE_OF == 0 {
                true => Behavior::Early(ANSWER, READS_ON_AFTER),
                false => Behavior::Work(WORK, ANSWER),
            }
        }));
    }
    let sent = Arc::new(AtomicUsize::new(0));
    let mut clients = JoinSet::new();
    for at in 0..CLIENTS {
        clients.spawn(upload_again(
            at,
            site.machines[0].callers,
            Arc::clone(&sent),
        ));
    }
    let failed: Vec<(String, Outcome)> = clients.join_all().await.into_iter().flatten().collect();
    let arrivals: Vec<_> = site.machines[1..]
        .iter()
        .flat_map(|machine| machine.worker.arrivals())
        .collect();
    let (mut lost, mut unknown) = (0, 0);
    for (id, outcome) in &failed {
        let arrival = arrivals.iter().find(|arrival| arrival.id() == id);
        let at_worker = match arrival {
            None => "not passed on",
            Some(arrival) if arrival.answered.is_some() => "passed on, answered 200 by its worker",
            Some(_) => "passed on, its worker's connection was closed within its answer 200",
        };
        record.line(format!(
            "{id}: {at_worker}; its client got {}",
            outcome.describe()
        ));
        let is_answer = matches!(outcome, Outcome::Whole(..));
        let is_closed = matches!(outcome, Outcome::Cut(..) | Outcome::Closed(_));
        lost += usize::from(arrival.is_some() && is_closed);
        unknown += usize::from(arrival.is_some() && is_answer);
    }
    record.line(format!(
        "{} uploads, each behind a request on its kept connection; of those that were passed on to a sound worker, {lost} \
         had their connection closed without a whole answer (bound 3), {unknown} got an answer of the system's own",
        sent.load(Ordering::SeqCst)
    ));
    Ok(match lost > 3 {
        true => Verdict::Broken,
        false => Verdict::Held,
    })
}

/// Sends uploads on kept connections, and returns those that were not answered with 200.
async fn upload_again(
    at: usize,
    callers: SocketAddr,
    sent: Arc<AtomicUsize>,
) -> Vec<(String, Outcome)> {
    let mut failed = Vec::new();
    let mut kept: Option<Client> = None;
    for n in 0..UPLOADS_PER_CLIENT {
        let mut client = match kept.take() {
            Some(client) => client,
            None => {
                let Ok(mut client) = Client::connect(callers).await else {
                    continue;
                };
                let read = head("GET", HOST, "/read/x", &format!("c{at}r{n}"), LIMIT, "");
                // Only a connection that has carried an answer is a kept one.
                let first = client.request(read.as_bytes(), LIMIT).await;
                if !matches!(first, Outcome::Whole(..)) {
                    continue;
                }
                client
            }
        };
        let id = format!("c{at}u{n}");
        let outcome = upload(&mut client, &id).await;
        sent.fetch_add(1, Ordering::SeqCst);
        match &outcome {
            Outcome::Whole(head, _) if head.get("connection") != Some("close") => {
                kept = Some(client)
            }
            _ => {}
        }
        if outcome.status() != Some(200) || !matches!(outcome, Outcome::Whole(..)) {
            failed.push((id, outcome));
        }
    }
    failed
}

/// Sends an upload, and reads its answer meanwhile.
async fn upload(client: &mut Client, id: &str) -> Outcome {
    let length = format!("Content-Length: {UPLOAD}\r\n");
    let mut bytes = head("POST", HOST, "/up/x", id, LIMIT, &length).into_bytes();
    bytes.resize(bytes.len() + UPLOAD, b'u');
    let Client { stream, buf } = client;
    let (mut rx, mut tx) = stream.split();
    let sending = timeout(LIMIT, async {
        for part in bytes.chunks(UPLOAD_PART) {
            if tx.write_all(part).await.is_err() {
                return;
            }
            sleep(UPLOAD_PAUSE).await;
        }
    });
    let answer = Client::outcome_from(&mut rx, buf, LIMIT);
    let (_, outcome) = tokio::join!(sending, answer);
    outcome
}
