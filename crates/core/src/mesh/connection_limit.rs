//! Bound on the open connections of a listener.

use std::collections::BTreeMap;

use slotmap::{SecondaryMap, SlotMap, new_key_type};

/// Settings of the bound.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ConnectionLimitConfig {
    /// Number of descriptors that the process may have open.
    pub descriptors: usize,
    /// Share of the descriptors that the connections of this listener may take; others need the rest.
    pub share: f64,
    /// Share of the bound above which responses close theirs.
    pub crowded_share: f64,
}

impl Default for ConnectionLimitConfig {
    fn default() -> Self {
        Self {
            descriptors: 1024,
            share: 0.5,
            crowded_share: 0.75,
        }
    }
}

new_key_type! {
    /// Identifies an open connection.
    pub struct ConnectionKey;
}

/// Position in the order in which connections became idle.
type IdleOrder = u64;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    /// Requests are at work.
    Busy,
    /// No request is at work; ordered by the time at which that began, or at which the head of one was read last.
    Idle(IdleOrder),
    /// Told to close.
    Evicted,
}

/// The open connections of a listener.
///
/// A connection that waits to be accepted for lack of descriptors is invisible: neither the age of its request nor the
/// departure of its caller is known. So idle connections are closed before that happens, the longest idle ones first.
#[derive(Debug)]
pub struct ConnectionLimit {
    max: usize,
    crowded: usize,
    open: SlotMap<ConnectionKey, State>,
    /// Idle connections, the longest idle one first.
    idle: BTreeMap<IdleOrder, ConnectionKey>,
    /// Connections whose eviction was deferred since they became idle.
    deferred: SecondaryMap<ConnectionKey, ()>,
    /// Connections that were evicted although they had deferred it, since no others were left.
    last_choices: SecondaryMap<ConnectionKey, ()>,
    evicted: usize,
    next_order: IdleOrder,
}

impl ConnectionLimit {
    /// Creates an empty set.
    pub fn new(cfg: ConnectionLimitConfig) -> Self {
        let max = (cfg.descriptors as f64 * cfg.share) as usize;
        Self {
            max,
            crowded: (max as f64 * cfg.crowded_share) as usize,
            open: SlotMap::with_key(),
            idle: BTreeMap::new(),
            deferred: SecondaryMap::new(),
            last_choices: SecondaryMap::new(),
            evicted: 0,
            next_order: 0,
        }
    }

    /// Adds a new connection, which is idle.
    pub fn open(&mut self) -> ConnectionKey {
        let conn = self.open.insert(State::Busy);
        self.set_idle(conn);
        conn
    }

    /// Records that a request was started.
    pub fn set_busy(&mut self, conn: ConnectionKey) {
        self.replace(conn, State::Busy);
    }

    /// Records that all requests that were started have been answered, or that the head of another one was read.
    pub fn set_idle(&mut self, conn: ConnectionKey) {
        self.deferred.remove(conn);
        self.last_choices.remove(conn);
        self.insert_idle(conn);
    }

    /// Defers an eviction as long as others can be evicted in its place. Returns `false` if there were none left, or if
    /// the connection is not evicted.
    pub fn defer_eviction(&mut self, conn: ConnectionKey) -> bool {
        if !self.is_evicted(conn) || self.last_choices.contains_key(conn) {
            return false;
        }
        self.deferred.insert(conn, ());
        self.insert_idle(conn);
        true
    }

    /// Removes a closed connection.
    pub fn close(&mut self, conn: ConnectionKey) {
        self.replace(conn, State::Busy);
        self.deferred.remove(conn);
        self.last_choices.remove(conn);
        self.open.remove(conn);
    }

    /// Returns the connection to close next if there are more than the bound allows. To be called until it returns
    /// `None`.
    pub fn evict_excess(&mut self) -> Option<ConnectionKey> {
        match self.has_excess() {
            true => self.evict_longest_idle(),
            false => None,
        }
    }

    /// Whether there are more connections than the bound allows, besides those that are being closed.
    pub fn has_excess(&self) -> bool {
        self.open.len() - self.evicted > self.max
    }

    /// Returns the longest idle connection, which is to be closed.
    pub fn evict_longest_idle(&mut self) -> Option<ConnectionKey> {
        let mut idle = self.idle.values().copied();
        let conn = idle.find(|conn| !self.deferred.contains_key(*conn));
        let conn = match conn {
            Some(conn) => conn,
            // The last choice, which may not be deferred again.
            None => {
                let (_, conn) = self.idle.first_key_value()?;
                self.last_choices.insert(*conn, ());
                *conn
            }
        };
        self.replace(conn, State::Evicted);
        Some(conn)
    }

    /// Whether a connection is still to be closed: no request was started since it was evicted.
    pub fn is_evicted(&self, conn: ConnectionKey) -> bool {
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

    fn insert_idle(&mut self, conn: ConnectionKey) {
        let order = self.next_order;
        self.next_order += 1;
        self.replace(conn, State::Idle(order));
        if self.open.contains_key(conn) {
            self.idle.insert(order, conn);
        }
    }

    fn replace(&mut self, conn: ConnectionKey, new: State) {
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
