//! Slot time that the requests of a route need at each service.

use crate::collections::Map;
use crate::id::ServiceName;

/// Slot time, in seconds, that a whole request of a route needs at each service on its path, learned from the replies
/// to its requests.
#[derive(Clone, Debug, Default)]
pub struct RouteCosts {
    /// Requests recorded, up to [`WINDOW`].
    requests: u32,
    services: Map<ServiceName, ServiceUse>,
}

/// How a route uses a service.
#[derive(Clone, Copy, Debug, Default)]
struct ServiceUse {
    /// Share of the requests that use the service.
    share: f64,
    /// Requests with a known slot time, up to [`WINDOW`].
    samples: u32,
    /// Mean slot time of the requests that use the service, in seconds.
    work: f64,
}

/// Number of requests after which a mean becomes a moving average. With fewer, a single request out of a hundred would
/// put a service on the path.
const WINDOW: u32 = 100;

/// Number of requests from which the path is considered known.
const MIN_REQUESTS: u32 = 5;

/// Share of the requests below which a service is not on the path.
const MIN_PATH_SHARE: f64 = 0.05;

/// Share of the requests below which a service is forgotten; bounds memory.
const MIN_KEPT_SHARE: f64 = 0.001;

/// Highest slot time of one request at one service, in seconds. No time limit of a request is longer than a few
/// minutes, so a higher value is forged or faulty.
const MAX_WORK: f64 = 300.0;

impl RouteCosts {
    /// Records an answered request: each service that it used, with its slot time there in seconds, or 0 if the reply
    /// does not say.
    pub fn record<'s, I>(&mut self, used: I)
    where
        I: IntoIterator<Item = (&'s ServiceName, f64)>,
    {
        self.requests = (self.requests + 1).min(WINDOW);
        let weight = 1.0 / f64::from(self.requests);
        for service in self.services.values_mut() {
            service.share *= 1.0 - weight;
        }
        for (name, work) in used {
            if !self.services.contains_key(name) {
                self.services.insert(name.clone(), ServiceUse::default());
            }
            let service = self.services.get_mut(name).expect("inserted above");
            service.share = (service.share + weight).min(1.0);
            if work > 0.0 {
                service.samples = (service.samples + 1).min(WINDOW);
                service.work += (work.min(MAX_WORK) - service.work) / f64::from(service.samples);
            }
        }
        self.services
            .retain(|_, service| service.share >= MIN_KEPT_SHARE);
    }

    /// Whether enough requests were recorded to know the path.
    pub fn is_known(&self) -> bool {
        self.requests >= MIN_REQUESTS
    }

    /// Services on the path, with the mean slot time of a request there in seconds; `None` if no reply has told it.
    pub fn path(&self) -> impl Iterator<Item = (&ServiceName, Option<f64>)> {
        let on_path = self
            .services
            .iter()
            .filter(|(_, service)| service.share >= MIN_PATH_SHARE);
        on_path.map(|(name, service)| {
            let cost = (service.samples > 0).then_some(service.share * service.work);
            (name, cost)
        })
    }

    /// Removes services that `keep` rejects.
    pub fn retain<F>(&mut self, mut keep: F)
    where
        F: FnMut(&ServiceName) -> bool,
    {
        self.services.retain(|service, _| keep(service));
    }
}
