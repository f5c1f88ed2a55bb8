//! What a replay brought.

/// Requests from outside that began within one second.
#[derive(Clone, Copy, Debug, Default)]
pub struct Second {
    pub asked: u32,
    /// Served within the latency target.
    pub well: u32,
    pub late: u32,
    pub refused: u32,
    pub failed: u32,
    /// Urgent ones that were asked, and served at all.
    pub urgent: (u32, u32),
}

#[derive(Clone, Debug, Default)]
pub struct Outcome {
    pub seconds: Vec<Second>,
    /// Requests of each kind, and those of them served within the latency target.
    pub kinds: Vec<(u32, u32)>,
    /// Slot seconds of requests that were not served.
    pub wasted: f64,
    pub used: f64,
    /// Requests that came back as they were told, and those of them that were refused again.
    pub back: (u32, u32),
}

impl Outcome {
    /// Requests a second served within their latency target, of those that began in a span.
    pub fn goodput(&self, from: usize, to: usize) -> f64 {
        let well: u32 = self.seconds[from..to]
            .iter()
            .map(|second| second.well)
            .sum();
        f64::from(well) / (to - from) as f64
    }

    /// Share that was served within the latency target.
    pub fn served(&self, from: usize, to: usize) -> f64 {
        let asked: u32 = self.seconds[from..to]
            .iter()
            .map(|second| second.asked)
            .sum();
        self.goodput(from, to) * (to - from) as f64 / f64::from(asked.max(1))
    }

    /// Share of urgent requests that were served.
    pub fn urgent(&self, from: usize, to: usize) -> f64 {
        let span = &self.seconds[from..to];
        let asked: u32 = span.iter().map(|second| second.urgent.0).sum();
        let served: u32 = span.iter().map(|second| second.urgent.1).sum();
        f64::from(served) / f64::from(asked.max(1))
    }

    /// Share that was served within the latency target of the kind that was served least.
    pub fn worst_kind(&self) -> f64 {
        let asked = self.kinds.iter().filter(|(asked, _)| *asked > 0);
        let shares = asked.map(|(asked, well)| f64::from(*well) / f64::from(*asked));
        shares.fold(1.0, f64::min)
    }

    /// Seconds after `from` until nine in ten are served again.
    pub fn recovery(&self, from: usize) -> Option<usize> {
        let after = &self.seconds[from..self.seconds.len() - 1];
        let is_well = |second: &Second| second.well * 10 >= second.asked * 9;
        after.iter().position(is_well)
    }

    /// Share of the used slot seconds that went to requests which were not served.
    pub fn waste(&self) -> f64 {
        self.wasted / self.used.max(f64::MIN_POSITIVE)
    }

    /// One line for a table.
    pub fn line(&self, name: &str, span: (usize, usize), bound: f64) -> String {
        format!(
            "{name:<34} goodput {:>6.1}/s of {bound:>6.1}/s ({:.2})  urgent {:.2}  worst kind {:.2}  wasted {:.3}  refused again {} of {}  recovery {:?} s",
            self.goodput(span.0, span.1),
            self.goodput(span.0, span.1) / bound,
            self.urgent(span.0, span.1),
            self.worst_kind(),
            self.waste(),
            self.back.1,
            self.back.0,
            self.recovery(span.1),
        )
    }
}
