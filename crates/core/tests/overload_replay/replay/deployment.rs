//! Deployments and load patterns for the replays.

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

/// Size of a service and its behaviour near saturation.
#[derive(Clone, Debug)]
pub struct ServiceSpec {
    pub hosts: usize,
    pub slots: u32,
    /// Factor on the service time of a run that starts with nearly all slots of its host in use.
    pub saturation_slowdown: f64,
}

/// A kind of external request or of call between services.
#[derive(Clone, Debug)]
pub struct KindSpec {
    pub service: usize,
    pub rank: u8,
    /// Number of ranks that are shed before this one.
    pub shed_order: usize,
    pub work_ms: f64,
    pub timeout_ms: u64,
    pub latency_target_ms: u64,
    /// External requests per second under calm load; 0 for calls between services.
    pub calm_rate_per_s: f64,
    /// Kinds called in sequence, each with its number of calls.
    pub calls: Vec<(usize, u32)>,
}

/// A set of services and the kinds of request that they handle.
#[derive(Clone, Debug)]
pub struct Deployment {
    pub services: Vec<ServiceSpec>,
    pub kinds: Vec<KindSpec>,
}

fn external_kind(
    service: usize,
    rank: u8,
    work_ms: f64,
    (timeout_ms, latency_target_ms): (u64, u64),
    calm_rate_per_s: f64,
) -> KindSpec {
    KindSpec {
        service,
        rank,
        shed_order: usize::from(rank == 0),
        work_ms,
        timeout_ms,
        latency_target_ms,
        calm_rate_per_s,
        calls: Vec::new(),
    }
}

fn call_kind(service: usize, work_ms: f64, timeout_ms: u64) -> KindSpec {
    external_kind(service, 0, work_ms, (timeout_ms, timeout_ms), 0.0)
}

impl Deployment {
    /// Four services in a chain. The last one is called up to eight times per request, saturates at twice the calm load
    /// and slows down near saturation.
    pub fn chain() -> Self {
        let service = |slots, saturation_slowdown| ServiceSpec {
            hosts: 4,
            slots,
            saturation_slowdown,
        };
        let mut kinds = vec![
            external_kind(0, 2, 200.0, (1200, 1500), 115.0),
            external_kind(1, 0, 290.0, (1500, 2000), 63.0),
            external_kind(2, 0, 150.0, (1000, 500), 46.0),
            external_kind(3, 2, 880.0, (5000, 2500), 26.0),
            call_kind(1, 15.0, 2500),
            call_kind(2, 15.0, 2000),
            call_kind(3, 55.0, 700),
        ];
        kinds[0].calls = vec![(4, 1)];
        kinds[1].calls = vec![(5, 2)];
        kinds[4].calls = vec![(5, 1)];
        kinds[5].calls = vec![(6, 4)];
        Self {
            services: vec![
                service(108, 1.0),
                service(108, 1.0),
                service(108, 1.0),
                service(35, 1.3),
            ],
            kinds,
        }
    }

    /// A deep chain with short timeouts. A request with a timeout of 800 ms calls the last service eight times over
    /// three hops and needs 480 ms without queueing. Under calm load the last service uses 0.75 of its slots.
    pub fn short_limits() -> Self {
        let service = |hosts, slots, saturation_slowdown| ServiceSpec {
            hosts,
            slots,
            saturation_slowdown,
        };
        let mut kinds = vec![
            external_kind(0, 2, 130.0, (800, 1500), 100.0),
            external_kind(1, 0, 170.0, (1200, 1500), 40.0),
            external_kind(3, 1, 53.0, (1000, 250), 28.0),
            call_kind(1, 15.0, 2500),
            call_kind(2, 15.0, 2000),
            call_kind(3, 33.0, 700),
        ];
        kinds[0].calls = vec![(3, 2)];
        kinds[1].calls = vec![(4, 1)];
        kinds[3].calls = vec![(4, 1)];
        kinds[4].calls = vec![(5, 4)];
        Self {
            services: vec![
                service(8, 30, 1.0),
                service(6, 31, 1.0),
                service(8, 30, 1.0),
                service(2, 22, 1.3),
            ],
            kinds,
        }
    }

    /// Large services in front of a small one, which is the only bottleneck. Under calm load it uses 0.87 of its slots;
    /// a request calls it four times in sequence.
    pub fn short_last_service() -> Self {
        let service = |hosts, slots, saturation_slowdown| ServiceSpec {
            hosts,
            slots,
            saturation_slowdown,
        };
        let mut kinds = vec![
            external_kind(0, 2, 120.0, (800, 1500), 193.0),
            external_kind(1, 0, 160.0, (1000, 1500), 229.0),
            external_kind(2, 2, 300.0, (1500, 800), 72.0),
            external_kind(3, 1, 48.0, (600, 150), 163.0),
            call_kind(1, 15.0, 2500),
            call_kind(2, 15.0, 2000),
            call_kind(3, 30.0, 700),
            call_kind(2, 15.0, 2000),
            // Stands for two calls at a time.
            call_kind(3, 60.0, 700),
        ];
        kinds[1].shed_order = 2;
        kinds[3].shed_order = 1;
        kinds[0].calls = vec![(4, 1)];
        kinds[4].calls = vec![(5, 1)];
        kinds[5].calls = vec![(6, 4)];
        kinds[1].calls = vec![(7, 1)];
        kinds[7].calls = vec![(8, 4)];
        Self {
            services: vec![
                service(6, 92, 1.0),
                service(10, 55, 1.0),
                service(6, 92, 1.0),
                service(5, 20, 1.3),
            ],
            kinds,
        }
    }

    /// A short service that two routes of one rank use, with 0.10 s and 0.38 s of slot time per request, and a third
    /// route of that rank that does not use it. Under calm load it uses 0.6 of its slots.
    pub fn two_costs() -> Self {
        let mut kinds = vec![
            external_kind(0, 1, 20.0, (2000, 1000), 60.0),
            external_kind(0, 1, 20.0, (2500, 1500), 32.0),
            external_kind(0, 1, 50.0, (1000, 500), 60.0),
            call_kind(1, 24.0, 700),
            call_kind(1, 380.0, 1500),
        ];
        kinds[0].calls = vec![(3, 4)];
        kinds[1].calls = vec![(4, 1)];
        let service = |hosts, slots| ServiceSpec {
            hosts,
            slots,
            saturation_slowdown: 1.0,
        };
        Self {
            services: vec![service(4, 60), service(3, 10)],
            kinds,
        }
    }

    /// Generates a chain of two to four services from a seed. The last one uses half of its slots under calm load.
    pub fn random(seed: u64) -> Self {
        let mut rng = SmallRng::seed_from_u64(seed);
        let depth = rng.random_range(2..=4_usize);
        let last = depth - 1;
        let mut kinds = Vec::new();
        for service in 0..depth {
            let rank = if rng.random_bool(0.5) { 0 } else { 2 };
            let work = rng.random_range(40.0..400.0);
            let aim = (work * rng.random_range(4.0..8.0)) as u64 + 400;
            kinds.push(external_kind(
                service,
                rank,
                work,
                (aim * 2, aim),
                rng.random_range(30.0..120.0),
            ));
        }
        kinds[last].rank = 2;
        kinds[last].shed_order = 0;
        let calls = kinds.len();
        for service in 1..depth {
            kinds.push(call_kind(service, rng.random_range(10.0..60.0), 1500));
        }
        for service in 0..last {
            let times = rng.random_range(1..=3);
            kinds[service].calls = vec![(calls + service, times)];
            if service > 0 {
                kinds[calls + service - 1].calls = vec![(calls + service, 1)];
            }
        }
        let mut deployment = Self {
            services: Vec::new(),
            kinds,
        };
        for service in 0..depth {
            let demand = deployment.demand(service, |_| 1.0).max(4.0);
            let share = if service == last { 0.5 } else { 0.15 };
            let hosts = rng.random_range(3..=5);
            deployment.services.push(ServiceSpec {
                hosts,
                slots: (demand / share / hosts as f64).ceil() as u32,
                saturation_slowdown: if rng.random_bool(0.5) { 1.3 } else { 1.0 },
            });
        }
        deployment
    }

    /// The same services with `factor` times as many hosts and requests.
    pub fn scaled(mut self, factor: usize) -> Self {
        for service in &mut self.services {
            service.hosts *= factor;
        }
        for kind in &mut self.kinds {
            kind.calm_rate_per_s *= factor as f64;
        }
        self
    }

    /// Slots that a service needs when each kind of external request arrives at `share` times its calm rate.
    pub fn demand<S>(&self, service: usize, share: S) -> f64
    where
        S: Fn(&KindSpec) -> f64,
    {
        let external = self.kinds.iter().filter(|kind| kind.calm_rate_per_s > 0.0);
        external
            .map(|kind| kind.calm_rate_per_s * share(kind) * self.work_at(kind, service))
            .sum()
    }

    /// Requests per second that arrive at a service when each kind of external request arrives at `share` times its
    /// calm rate.
    pub fn arrivals<S>(&self, service: usize, share: S) -> f64
    where
        S: Fn(&KindSpec) -> f64,
    {
        let kinds = self.kinds.iter();
        kinds
            .map(|kind| kind.calm_rate_per_s * share(kind) * self.arrivals_of(kind, service))
            .sum()
    }

    fn arrivals_of(&self, kind: &KindSpec, service: usize) -> f64 {
        let below = kind.calls.iter().map(|(called, times)| {
            f64::from(*times) * self.arrivals_of(&self.kinds[*called], service)
        });
        f64::from(u8::from(kind.service == service)) + below.sum::<f64>()
    }

    /// Total slots over all hosts of a service.
    pub fn capacity(&self, service: usize) -> f64 {
        let spec = &self.services[service];
        spec.hosts as f64 * f64::from(spec.slots)
    }

    /// Seconds of slot time that one request needs at a service, without the time spent waiting for calls.
    fn work_at(&self, kind: &KindSpec, service: usize) -> f64 {
        let own = match kind.service == service {
            true => kind.work_ms / 1000.0,
            false => 0.0,
        };
        let below = kind.calls.iter();
        own + below
            .map(|(called, times)| f64::from(*times) * self.work_at(&self.kinds[*called], service))
            .sum::<f64>()
    }

    /// Upper bound on requests served per second at `load` times the calm load, given the capacity of the last service:
    /// urgent requests first, then as many of the others as fit.
    pub fn bound(&self, load: f64, capacity: f64) -> f64 {
        let last = self.services.len() - 1;
        let urgent = self.demand(last, |kind| if kind.rank == 0 { load } else { 0.0 });
        let others = self.demand(last, |kind| if kind.rank == 0 { 0.0 } else { load });
        let share = ((capacity - urgent) / others).clamp(0.0, 1.0);
        let rate = |kind: &KindSpec| match kind.rank {
            0 => kind.calm_rate_per_s * load,
            // Requests that do not reach the last service use none of its capacity.
            _ if self.work_at(kind, last) == 0.0 => kind.calm_rate_per_s * load,
            _ => kind.calm_rate_per_s * load * share,
        };
        self.kinds.iter().map(rate).sum()
    }
}

/// Load changes and faults added to the calm load. Times are in seconds from the start of the replay.
#[derive(Clone, Debug, Default)]
pub struct Pattern {
    /// Surges as (start, end, multiple of the calm load).
    pub surges: Vec<(f64, f64, f64)>,
    /// Host restarts as (index within the last service, start, end). The host takes no requests until the end and then
    /// starts cold.
    pub restarts: Vec<(usize, f64, f64)>,
    /// Slowdown of the last service as (start, end, factor on the service time).
    pub slowdown: Option<(f64, f64, f64)>,
    /// Share of the clients that ignore the retry delay and retry up to three times, at once.
    pub immediate_retry_share: f64,
    /// Probability that a client disconnects after half of the latency target.
    pub disconnect_share: f64,
    /// Partition from the publisher as (hosts of the last service, start, end). The entries of these hosts lapse.
    pub partition: Option<(usize, f64, f64)>,
    /// Rate limits that hosts of the last service name, as (hosts, start, end, requests per second of each).
    pub rate_limit: Option<(usize, f64, f64, f64)>,
    /// Seconds that each hop subtracts from the deadline it passes to its calls.
    pub hop_margin: f64,
    /// Duration of the replay.
    pub end: f64,
}

impl Pattern {
    /// Multiple of the calm load at a time.
    pub fn load(&self, at: f64) -> f64 {
        let within = |surge: &&(f64, f64, f64)| (surge.0..surge.1).contains(&at);
        self.surges.iter().find(within).map_or(1.0, |surge| surge.2)
    }
}
