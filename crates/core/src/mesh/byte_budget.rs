//! Budget of the bytes that a process holds for its peers.

use slotmap::{SlotMap, new_key_type};

/// Settings of the budget.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ByteBudgetConfig {
    /// Bytes that may be held for all connections together.
    pub limit: usize,
    /// Number of requests that take up the limit even if they are small, since each of them needs descriptors as well.
    pub requests: usize,
    /// Share of the limit above which connections that hold more than their part of it are read no further.
    pub crowded_share: f64,
    /// Share of the limit that new requests may fill. What the requests at work still need takes the rest.
    pub admission_share: f64,
    /// Bytes that a connection may hold in any case while the process is crowded, enough for one request.
    pub smallest_part: usize,
    /// Factor by which a connection must hold more than a new request needs, to be closed for it.
    pub eviction_ratio: usize,
}

impl Default for ByteBudgetConfig {
    fn default() -> Self {
        Self {
            limit: 32 * 1024 * 1024,
            requests: 1024,
            crowded_share: 0.5,
            admission_share: 0.9,
            smallest_part: 96 * 1024,
            eviction_ratio: 4,
        }
    }
}

new_key_type! {
    /// Identifies a connection for which bytes are held.
    pub struct Holder;
}

/// Position in the order of changes.
type ChangeOrder = u64;

/// What is held for one connection.
#[derive(Clone, Copy, Debug, Default)]
struct Holding {
    bytes: usize,
    /// When it last changed.
    changed: ChangeOrder,
    /// Whether the connection has been told to close, so that its bytes are on their way out.
    evicted: bool,
}

/// What a process holds for its peers: input, requests, and responses that have not been read.
///
/// A bound on each connection bounds nothing where connections are many, and a bound on all of them lets one keep the
/// others out. So a connection with little is always read on, one with more than its part pauses while the process is
/// crowded, and at the limit the one with the most is closed.
#[derive(Debug)]
pub struct ByteBudget {
    cfg: ByteBudgetConfig,
    holders: SlotMap<Holder, Holding>,
    /// Bytes of all holders.
    held: usize,
    /// Bytes of the holders that have not been evicted.
    kept: usize,
    /// Number of the holders that hold anything and have not been evicted.
    active: usize,
    next_change: ChangeOrder,
}

impl ByteBudget {
    /// Creates a budget of which nothing is used.
    pub fn new(cfg: ByteBudgetConfig) -> Self {
        Self {
            cfg,
            holders: SlotMap::with_key(),
            held: 0,
            kept: 0,
            active: 0,
            next_change: 0,
        }
    }

    /// Adds a connection.
    pub fn open(&mut self) -> Holder {
        self.holders.insert(Holding::default())
    }

    /// Removes a connection with all that it holds.
    pub fn close(&mut self, holder: Holder) {
        self.set(holder, 0);
        self.holders.remove(holder);
    }

    /// Records that further bytes are held for a connection, whether or not there is room for them.
    pub fn hold(&mut self, holder: Holder, bytes: usize) {
        self.set(holder, self.held_by(holder).saturating_add(bytes));
    }

    /// Records that bytes are no longer held for a connection.
    pub fn release(&mut self, holder: Holder, bytes: usize) {
        self.set(holder, self.held_by(holder).saturating_sub(bytes));
    }

    /// Least number of bytes that count as held for a request.
    pub fn smallest_request(&self) -> usize {
        self.cfg.limit / self.cfg.requests.max(1)
    }

    /// Whether a request that needs this many further bytes may start. It may if there is room, or if another connection
    /// holds so much more than this one that it is closed instead.
    pub fn admits(&self, holder: Holder, bytes: usize) -> bool {
        if self.held.saturating_add(bytes) <= self.share_of_limit(self.cfg.admission_share) {
            return true;
        }
        let needed = self.held_by(holder).saturating_add(bytes);
        let most = self.greediest().map_or(0, |most| self.held_by(most));
        most > needed.saturating_mul(self.cfg.eviction_ratio)
    }

    /// Whether more may be read from a connection.
    pub fn may_read(&self, holder: Holder) -> bool {
        !self.is_crowded() || self.held_by(holder) < self.fair_part()
    }

    /// Whether the connections that hold more than their part pause.
    pub fn is_crowded(&self) -> bool {
        self.held > self.crowded_limit()
    }

    /// Evicts the connection that holds the most if the limit is exceeded. To be called until it returns `None`.
    pub fn evict_excess(&mut self) -> Option<Holder> {
        match self.kept > self.cfg.limit {
            true => self.evict_greediest(),
            false => None,
        }
    }

    /// Evicts the connection that holds the most.
    pub fn evict_greediest(&mut self) -> Option<Holder> {
        let holder = self
            .greediest()
            .filter(|holder| self.held_by(*holder) > 0)?;
        let holding = self.holders.get_mut(holder)?;
        holding.evicted = true;
        self.kept -= holding.bytes;
        self.active -= 1;
        Some(holder)
    }

    /// Bytes held for all connections, including those that have been told to close.
    pub fn held(&self) -> usize {
        self.held
    }

    /// Bytes held for the connections that have not been told to close.
    pub fn kept(&self) -> usize {
        self.kept
    }

    /// Bytes held for one connection.
    pub fn held_by(&self, holder: Holder) -> usize {
        self.holders.get(holder).map_or(0, |holding| holding.bytes)
    }

    /// The connection to evict next: among those that hold at least half as much as the one with the most, the one for
    /// which nothing has moved for the longest time.
    fn greediest(&self) -> Option<Holder> {
        let kept = || self.holders.iter().filter(|(_, holding)| !holding.evicted);
        let most = kept().map(|(_, holding)| holding.bytes).max()?;
        let greedy = kept().filter(|(_, holding)| holding.bytes >= most / 2);
        greedy
            .min_by_key(|(_, holding)| holding.changed)
            .map(|(holder, _)| holder)
    }

    /// Bytes that each connection may hold while the process is crowded.
    fn fair_part(&self) -> usize {
        (self.crowded_limit() / self.active.max(1)).max(self.cfg.smallest_part)
    }

    fn crowded_limit(&self) -> usize {
        self.share_of_limit(self.cfg.crowded_share)
    }

    fn share_of_limit(&self, share: f64) -> usize {
        (self.cfg.limit as f64 * share) as usize
    }

    fn set(&mut self, holder: Holder, bytes: usize) {
        let Some(holding) = self.holders.get_mut(holder) else {
            return;
        };
        let old = std::mem::replace(&mut holding.bytes, bytes);
        holding.changed = self.next_change;
        self.next_change += 1;
        self.held = self.held - old + bytes;
        if holding.evicted {
            return;
        }
        self.kept = self.kept - old + bytes;
        self.active = self.active + usize::from(bytes > 0) - usize::from(old > 0);
    }
}
