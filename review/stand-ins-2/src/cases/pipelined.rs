//! Clients pipeline downloads, and some workers cut off a few of their answers.

use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use tokio::task::JoinSet;

use crate::Verdict;
use crate::client::{Client, Outcome, head};
use crate::record::Record;
use crate::site::{Bounds, HOST, Site, config, route};
use crate::worker::Behavior;

/// Bytes of each answer.
const ANSWER: usize = 150_000;

const WORK: Duration = Duration::from_millis(60);

/// Each of the faulty workers, half of all, cuts off one of this many answers: a share of 0.02.
const CUT_ONE_OF: usize = 50;

/// Requests that a client sends at once.
const DEPTH: usize = 4;

const CLIENTS: usize = 8;
const LOAD: Duration = Duration::from_secs(10);
const LIMIT: Duration = Duration::from_secs(5);

/// A request without a whole answer.
struct Failed {
    id: String,
    place: usize,
    /// Whether its connection has carried answers before.
    is_kept: bool,
    what: String,
    /// Whether no byte of its answer came.
    unanswered: bool,
}

pub async fn run(trouble: bool, record: &Record) -> io::Result<Verdict> {
    let routes = [route("doc", "/doc/", "idempotent", "docs", 5.0)];
    let services = ["front", "docs", "docs", "docs", "docs"];
    let names = ["front", "docs"];
    let site = Site::start(&services, &config(1, &names, &routes), Bounds::default()).await?;
    let faulty = 2;
    for (at, machine) in site.machines[1..].iter().enumerate() {
        let count = AtomicUsize::new(0);
        let cuts = trouble && at < faulty;
        machine.worker.choose(Box::new(move |_| {
            let nth = count.fetch_add(1, Ordering::SeqCst) + 1;
            match cuts && nth % CUT_ONE_OF == 0 {
                true => Behavior::Cut(WORK, ANSWER),
                false => Behavior::Work(WORK, ANSWER),
            }
        }));
    }
    let failed = Arc::new(Mutex::new(Vec::new()));
    let sent = Arc::new(AtomicUsize::new(0));
    let ends = Instant::now() + LOAD;
    let mut clients = JoinSet::new();
    for at in 0..CLIENTS {
        let callers = site.machines[0].callers;
        clients.spawn(pipeline(
            at,
            callers,
            ends,
            Arc::clone(&failed),
            Arc::clone(&sent),
        ));
    }
    while clients.join_next().await.is_some() {}
    let mut by_id = HashMap::new();
    for (at, machine) in site.machines.iter().enumerate() {
        for arrival in machine.worker.arrivals() {
            by_id.insert(arrival.id().to_owned(), (at, arrival.answered.is_some()));
        }
    }
    let mut lost = 0;
    for Failed {
        id,
        place,
        is_kept,
        what,
        unanswered,
    } in &*failed.lock().expect("no panic beside the lock")
    {
        let (text, is_sound) = match by_id.get(id) {
            Some((at, answered)) => {
                let is_sound = *at > faulty;
                (
                    format!(
                        "passed on to worker {at}, sound {is_sound}, answered there {answered}"
                    ),
                    is_sound,
                )
            }
            None => ("not passed on".into(), false),
        };
        record.line(format!(
            "{id}, place {place} of four sent at once, connection kept {is_kept}: {what}; {text}"
        ));
        lost += usize::from(*unanswered && is_sound && *is_kept);
    }
    record.line(format!(
        "{} requests; {lost} were passed on to a sound worker and lost with their kept connection, without an answer (bound 3)",
        sent.load(Ordering::SeqCst)
    ));
    Ok(match lost > 3 {
        true => Verdict::Broken,
        false => Verdict::Held,
    })
}

/// Sends several requests at once on a kept connection, reads their answers, and starts again.
async fn pipeline(
    at: usize,
    callers: SocketAddr,
    ends: Instant,
    failed: Arc<Mutex<Vec<Failed>>>,
    sent: Arc<AtomicUsize>,
) {
    let mut kept: Option<Client> = None;
    let mut round = 0;
    while Instant::now() < ends {
        round += 1;
        let is_kept = kept.is_some();
        let mut client = match kept.take() {
            Some(client) => client,
            None => match Client::connect(callers).await {
                Ok(client) => client,
                Err(_) => continue,
            },
        };
        let ids: Vec<String> = (0..DEPTH).map(|n| format!("c{at}r{round}n{n}")).collect();
        let mut bytes = Vec::new();
        for id in &ids {
            let path = format!("/doc/{id}");
            bytes.extend_from_slice(head("GET", HOST, &path, id, LIMIT, "").as_bytes());
        }
        if client.send(&bytes).await.is_err() {
            continue;
        }
        sent.fetch_add(DEPTH, Ordering::SeqCst);
        let mut is_open = true;
        for (place, id) in ids.into_iter().enumerate() {
            let outcome = match is_open {
                true => client.outcome(LIMIT).await,
                false => Outcome::Closed("its connection had ended".into()),
            };
            is_open &= matches!(&outcome, Outcome::Whole(head, _) if head.get("connection") != Some("close"));
            if !matches!(outcome, Outcome::Whole(..)) {
                let unanswered = matches!(outcome, Outcome::Closed(_));
                let what = outcome.describe();
                let one = Failed {
                    id,
                    place: place + 1,
                    is_kept,
                    what,
                    unanswered,
                };
                failed.lock().expect("no panic beside the lock").push(one);
            }
        }
        if is_open {
            kept = Some(client);
        }
    }
}
