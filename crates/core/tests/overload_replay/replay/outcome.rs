//! Results of a replay.

/// Counts of external requests that arrived within one second.
#[derive(Clone, Copy, Debug, Default)]
pub struct Second {
    pub arrived: u32,
    /// Served within the latency target.
    pub on_time: u32,
    pub late: u32,
    pub refused: u32,
    pub failed: u32,
    /// Urgent requests that arrived, and those served, on time or late.
    pub urgent: (u32, u32),
}

#[derive(Clone, Debug, Default)]
pub struct Outcome {
    pub seconds: Vec<Second>,
    /// Requests of each kind, and those of them served within the latency target.
    pub kinds: Vec<(u32, u32)>,
    /// Slot seconds spent on requests that were not served.
    pub wasted: f64,
    /// Slot seconds spent on all requests.
    pub used: f64,
    /// Requests refused at least once, and those of them refused at least twice.
    pub refusals: (u32, u32),
}

impl Outcome {
    /// Requests per second served within the latency target, counted by arrival in seconds `from..to`.
    pub fn goodput(&self, from: usize, to: usize) -> f64 {
        let on_time: u32 = self.seconds[from..to]
            .iter()
            .map(|second| second.on_time)
            .sum();
        f64::from(on_time) / (to - from) as f64
    }

    /// Share of the requests arriving in `from..to` that were served within the latency target.
    pub fn on_time_share(&self, from: usize, to: usize) -> f64 {
        let arrived: u32 = self.seconds[from..to]
            .iter()
            .map(|second| second.arrived)
            .sum();
        self.goodput(from, to) * (to - from) as f64 / f64::from(arrived.max(1))
    }

    /// Share of the urgent requests arriving in `from..to` that were served, on time or late.
    pub fn urgent_served_share(&self, from: usize, to: usize) -> f64 {
        let span = &self.seconds[from..to];
        let arrived: u32 = span.iter().map(|second| second.urgent.0).sum();
        let served: u32 = span.iter().map(|second| second.urgent.1).sum();
        f64::from(served) / f64::from(arrived.max(1))
    }

    /// Lowest share, over all kinds, of requests served within the latency target.
    pub fn worst_kind(&self) -> f64 {
        let arrived = self.kinds.iter().filter(|(arrived, _)| *arrived > 0);
        let shares = arrived.map(|(arrived, on_time)| f64::from(*on_time) / f64::from(*arrived));
        shares.fold(1.0, f64::min)
    }

    /// Seconds after `from` until at least 90% of the arrivals of a second are served on time.
    pub fn recovery(&self, from: usize) -> Option<usize> {
        let after = &self.seconds[from..self.seconds.len() - 1];
        let recovered = |second: &Second| second.on_time * 10 >= second.arrived * 9;
        after.iter().position(recovered)
    }

    /// Share of the used slot seconds spent on requests that were not served.
    pub fn wasted_share(&self) -> f64 {
        self.wasted / self.used.max(f64::MIN_POSITIVE)
    }

    /// Formats the results as one table row.
    pub fn table_row(&self, name: &str, span: (usize, usize), bound: f64) -> String {
        format!(
            "{name:<34} goodput {:>6.1}/s of {bound:>6.1}/s ({:.2})  urgent {:.2}  worst kind {:.2}  wasted {:.3}  refused again {} of {}  recovery {:?} s",
            self.goodput(span.0, span.1),
            self.goodput(span.0, span.1) / bound,
            self.urgent_served_share(span.0, span.1),
            self.worst_kind(),
            self.wasted_share(),
            self.refusals.1,
            self.refusals.0,
            self.recovery(span.1),
        )
    }
}
