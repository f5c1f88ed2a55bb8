//! Workers crash and come back, while clients read the same document again and again.

use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use tokio::task::JoinSet;
use tokio::time::sleep;

use crate::Verdict;
use crate::client::{Client, Outcome, head};
use crate::record::Record;
use crate::site::{Bounds, HOST, Site, config, route};
use crate::worker::{Behavior, Worker};

/// What a case does.
pub struct Plan {
    /// Number of workers of the service.
    pub workers: usize,
    /// Bytes of the document.
    pub document: usize,
    /// The workers that crash at the same time, by turns.
    pub crashes: &'static [&'static [usize]],
    /// How long they are down.
    pub downtime: Duration,
    /// Time between two crashes.
    pub interval: Duration,
}

/// One worker after the other, and a long document.
pub const BY_TURNS: Plan = Plan {
    workers: 4,
    document: 150_000,
    crashes: &[
        &[1],
        &[2],
        &[3],
        &[4],
        &[1],
        &[2],
        &[3],
        &[4],
        &[1],
        &[2],
        &[3],
        &[4],
    ],
    downtime: Duration::from_millis(1000),
    interval: Duration::from_millis(2000),
};

/// All workers at once, and a short document.
pub const ALL_AT_ONCE: Plan = Plan {
    workers: 6,
    document: 2000,
    crashes: &[&[1, 2, 3, 4, 5, 6]],
    downtime: Duration::from_millis(3000),
    interval: Duration::from_millis(3000),
};

/// Work of a worker on each request.
const WORK: Duration = Duration::from_millis(150);

/// Time of the load before the first crash, and after the last worker is back.
const BEFORE: Duration = Duration::from_secs(2);
const AFTERWARDS: Duration = Duration::from_secs(6);

/// Time for which `stable_window_s` asks.
const STABLE: Duration = Duration::from_secs(3);

/// Time after which the platform removes the entry of a silent worker: three status report intervals of 1.5 s.
const ENTRY_LIFETIME: Duration = Duration::from_millis(4500);

/// Time limit of each request.
const LIMIT: Duration = Duration::from_secs(5);

const CLIENTS_PER_MACHINE: usize = 3;
const PATH: &str = "/doc/closing";

/// A request and what came back for it.
struct Seen {
    sent: Instant,
    id: String,
    outcome: Outcome,
}

impl Seen {
    fn is_served(&self) -> bool {
        let signed = matches!(&self.outcome, Outcome::Whole(head, _) if head.get("server-signature").is_some());
        signed && self.outcome.status() == Some(200)
    }

    /// Whether the system ended it with a 3xx or 4xx of its own, other than 408, 421 and 429.
    fn is_denied(&self) -> bool {
        let Outcome::Whole(head, _) = &self.outcome else {
            return false;
        };
        let is_own = head.get("server-signature").is_none();
        let status = self.outcome.status().unwrap_or_default();
        is_own && (300..500).contains(&status) && ![408, 421, 429].contains(&status)
    }
}

pub async fn run(plan: &Plan, trouble: bool, record: &Record) -> io::Result<Verdict> {
    let routes = [route("doc", "/doc/", "idempotent", "docs", 5.0)];
    let mut services = vec!["front"];
    services.resize(plan.workers + 1, "docs");
    let config = config(1, &["front", "docs"], &routes);
    let mut site = Site::start(&services, &config, Bounds::default()).await?;
    for machine in &site.machines {
        serve(&machine.worker, plan);
    }
    let seen = Arc::new(Mutex::new(Vec::new()));
    let turns = plan.interval * plan.crashes.len() as u32;
    let ends = Instant::now() + BEFORE + turns + AFTERWARDS;
    let mut clients = JoinSet::new();
    for at in 0..site.machines.len() * CLIENTS_PER_MACHINE {
        let callers = site.machines[at % site.machines.len()].callers;
        clients.spawn(read_again(at, callers, ends, Arc::clone(&seen)));
    }
    sleep(BEFORE).await;
    let mut back = Instant::now();
    if trouble {
        for (turn, workers) in plan.crashes.iter().enumerate() {
            crash(&mut site, plan, turn, workers, record).await?;
            back = Instant::now();
            sleep(plan.interval - plan.downtime).await;
        }
    }
    while clients.join_next().await.is_some() {}
    let mut seen = std::mem::take(&mut *seen.lock().expect("no panic beside the lock"));
    seen.sort_by_key(|one| one.sent);
    for one in &seen {
        record.line(format!(
            "{} sent {} from the last return: {}",
            one.id,
            seconds(one.sent, back),
            one.outcome.describe()
        ));
    }
    let denied = seen.iter().filter(|one| one.is_denied()).count();
    let late = seen.iter().filter(|one| one.sent > back + STABLE);
    let (served, late) = (
        late.clone().filter(|one| one.is_served()).count(),
        late.count(),
    );
    let bound = 5 + seen.len() / 500;
    record.line(format!(
        "{} requests; {denied} were ended with a 3xx or 4xx of the system's own (bound {bound}); of {late} sent later than \
         3 s after the last worker was back, {served} were served",
        seen.len()
    ));
    Ok(match denied > bound {
        true => Verdict::Broken,
        false => Verdict::Held,
    })
}

/// Crashes these workers. Each comes back at its address under a new id.
async fn crash(
    site: &mut Site,
    plan: &Plan,
    turn: usize,
    workers: &[usize],
    record: &Record,
) -> io::Result<()> {
    let mut ended = Vec::new();
    for at in workers {
        let worker = &site.machines[*at].worker;
        let working = worker.arrivals();
        let working = working
            .iter()
            .filter(|arrival| arrival.answered.is_none() && !arrival.broken);
        record.line(format!(
            "worker {} crashes, with {} requests at work",
            worker.id,
            working.count()
        ));
        worker.end();
        ended.push(worker.id.clone());
    }
    sleep(plan.downtime).await;
    for at in workers {
        let address = site.machines[*at].worker.addr.to_string();
        let worker = Worker::start_at(&address, &format!("i-{at:04}-{turn}")).await?;
        serve(&worker, plan);
        record.line(format!("worker {} runs in its place", worker.id));
        site.machines[*at].worker = worker;
        site.list(*at, "ready");
    }
    let store = site.store.clone();
    let silent = ENTRY_LIFETIME.saturating_sub(plan.downtime);
    tokio::spawn(async move {
        sleep(silent).await;
        for id in ended {
            store.remove(&format!("servers/{id}"));
        }
    });
    Ok(())
}

fn serve(worker: &Worker, plan: &Plan) {
    let document = plan.document;
    worker.choose(Box::new(move |_| Behavior::Work(WORK, document)));
}

fn seconds(at: Instant, from: Instant) -> String {
    match at >= from {
        true => format!("+{:.3} s", (at - from).as_secs_f64()),
        false => format!("-{:.3} s", (from - at).as_secs_f64()),
    }
}

/// Reads the document until the end of the load. After a failure it waits, as long as it is told to.
async fn read_again(at: usize, callers: SocketAddr, ends: Instant, seen: Arc<Mutex<Vec<Seen>>>) {
    let mut kept: Option<Client> = None;
    for n in 0.. {
        if Instant::now() >= ends {
            return;
        }
        let client = match kept.take() {
            Some(client) => Ok(client),
            None => Client::connect(callers).await,
        };
        let Ok(mut client) = client else {
            sleep(Duration::from_millis(200)).await;
            continue;
        };
        let id = format!("c{at}n{n}");
        let request = head("GET", HOST, PATH, &id, LIMIT, "");
        let sent = Instant::now();
        let outcome = client.request(request.as_bytes(), LIMIT).await;
        let mut pause = Duration::ZERO;
        if let Outcome::Whole(head, _) = &outcome {
            let told = head.get("retry-after").and_then(|text| text.parse().ok());
            pause = told.map_or(Duration::ZERO, Duration::from_secs_f64);
            if head.get("connection") != Some("close") {
                kept = Some(client);
            }
        }
        let one = Seen { sent, id, outcome };
        if !one.is_served() {
            pause = pause.max(Duration::from_millis(100));
        }
        seen.lock().expect("no panic beside the lock").push(one);
        sleep(pause).await;
    }
}
