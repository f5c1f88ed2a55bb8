//! Downstream requests caused by the runs of a route.

use crate::collections::Map;
use crate::id::ServiceName;

/// Moving average of the number of requests that a run of a route causes at each downstream service.
///
/// Retrying a request repeats these too, so a retry costs their sum and not one.
#[derive(Clone, Debug, Default)]
pub struct Downstream {
    mean: Map<ServiceName, f64>,
}

/// Weight of a new run in the moving average, which settles within about ten runs.
const SAMPLE_WEIGHT: f64 = 0.1;

impl Downstream {
    /// Records the number of requests that one run caused at each service.
    pub fn record<'s, I>(&mut self, counts: I)
    where
        I: IntoIterator<Item = (&'s ServiceName, u32)>,
    {
        for mean in self.mean.values_mut() {
            *mean *= 1.0 - SAMPLE_WEIGHT;
        }
        for (service, count) in counts {
            let mean = self.mean.entry(service.clone()).or_insert(0.0);
            *mean += SAMPLE_WEIGHT * f64::from(count);
        }
    }

    /// Mean number of requests per run, by service.
    pub fn iter(&self) -> impl Iterator<Item = (&ServiceName, f64)> {
        self.mean.iter().map(|(service, mean)| (service, *mean))
    }
}
