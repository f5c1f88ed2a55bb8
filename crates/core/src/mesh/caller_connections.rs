//! Bound on the connections that callers keep open.

use std::collections::BTreeMap;

use slotmap::{SlotMap, new_key_type};

/// Settings of the bound.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CallerConnectionsConfig {
    /// Number of descriptors that the process may have open.
    pub descriptors: usize,
    /// Share of the descriptors that connections of callers may take; links, the target and the publisher need the rest.
    pub callers_share: f64,
    /// Share of the bound on callers' connections above which responses close theirs.
    pub crowded_share: f64,
}

impl Default for CallerConnectionsConfig {
    fn default() -> Self {
        Self {
            descriptors: 1024,
            callers_share: 0.5,
            crowded_share: 0.75,
        }
    }
}

new_key_type! {
    /// Identifies an open connection.
    pub struct CallerConnection;
}

/// Position in the order in which connections became idle.
type IdleOrder = u64;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    /// Requests are unanswered.
    Busy,
    /// No request is unanswered; ordered by the time at which that began.
    Idle(IdleOrder),
    /// Told to close.
    Evicted,
}

/// The open connections of callers.
///
/// A connection that waits to be accepted for lack of descriptors is invisible: neither the age of its request nor the
/// departure of its caller is known. So idle connections are closed before that happens, the longest idle ones first.
#[derive(Debug)]
pub struct CallerConnections {
    max: usize,
    crowded: usize,
    open: SlotMap<CallerConnection, State>,
    /// Idle connections, the longest idle one first.
    idle: BTreeMap<IdleOrder, CallerConnection>,
    evicted: usize,
    next_order: IdleOrder,
}

impl CallerConnections {
    /// Creates an empty set.
    pub fn new(cfg: CallerConnectionsConfig) -> Self {
        let max = (cfg.descriptors as f64 * cfg.callers_share) as usize;
        Self {
            max,
            crowded: (max as f64 * cfg.crowded_share) as usize,
            open: SlotMap::with_key(),
            idle: BTreeMap::new(),
            evicted: 0,
            next_order: 0,
        }
    }

    /// Adds a new connection, which is idle.
    pub fn open(&mut self) -> CallerConnection {
        let conn = self.open.insert(State::Busy);
        self.set_idle(conn);
        conn
    }

    /// Records that a request was read.
    pub fn set_busy(&mut self, conn: CallerConnection) {
        self.replace(conn, State::Busy);
    }

    /// Records that all requests have been answered.
    pub fn set_idle(&mut self, conn: CallerConnection) {
        let order = self.next_order;
        self.next_order += 1;
        self.replace(conn, State::Idle(order));
        if self.open.contains_key(conn) {
            self.idle.insert(order, conn);
        }
    }

    /// Removes a closed connection.
    pub fn close(&mut self, conn: CallerConnection) {
        self.replace(conn, State::Busy);
        self.open.remove(conn);
    }

    /// Returns the connection to close next if there are more than the bound allows. To be called until it returns
    /// `None`.
    pub fn evict_excess(&mut self) -> Option<CallerConnection> {
        match self.open.len() - self.evicted > self.max {
            true => self.evict_longest_idle(),
            false => None,
        }
    }

    /// Returns the longest idle connection, which is to be closed.
    pub fn evict_longest_idle(&mut self) -> Option<CallerConnection> {
        let (_, conn) = self.idle.pop_first()?;
        self.replace(conn, State::Evicted);
        Some(conn)
    }

    /// Whether a connection is still to be closed: no request was read since it was evicted.
    pub fn is_evicted(&self, conn: CallerConnection) -> bool {
        self.open.get(conn) == Some(&State::Evicted)
    }

    /// Whether there are so many connections that responses should close theirs.
    pub fn is_crowded(&self) -> bool {
        self.open.len() > self.crowded
    }

    /// Number of open connections, including those that are being closed.
    pub fn len(&self) -> usize {
        self.open.len()
    }

    /// Whether no connection is open.
    pub fn is_empty(&self) -> bool {
        self.open.is_empty()
    }

    fn replace(&mut self, conn: CallerConnection, new: State) {
        let Some(state) = self.open.get_mut(conn) else {
            return;
        };
        let old = std::mem::replace(state, new);
        self.evicted += usize::from(new == State::Evicted);
        match old {
            State::Idle(order) => drop(self.idle.remove(&order)),
            State::Evicted => self.evicted -= 1,
            State::Busy => {}
        }
    }
}
