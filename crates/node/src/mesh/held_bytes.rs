//! Bytes that the process holds for callers and other nodes.

mod cost;

use std::fmt;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use coltsfootport_core::mesh::{ByteBudget, ByteBudgetConfig, Holder};
use prometheus::IntGauge;
use slotmap::SecondaryMap;
use tokio::sync::Notify;
use tokio::time::timeout;

use cost::request_bytes;
pub use cost::{STREAM_BYTES, answer_bytes};

use crate::h1::RequestHead;

/// Budget of the bytes held for all connections of the process; cheap to clone.
#[derive(Clone, Debug)]
pub struct ByteLimiter {
    state: Arc<Mutex<State>>,
    held: IntGauge,
}

#[derive(Debug)]
struct State {
    budget: ByteBudget,
    signals: SecondaryMap<Holder, Arc<Signals>>,
}

/// Wakes the tasks of one connection.
#[derive(Debug, Default)]
struct Signals {
    evicted: Notify,
    released: Notify,
}

/// What is held for one connection; cheap to clone. The connection leaves the budget with the last clone.
#[derive(Clone)]
pub struct Account(Arc<AccountInner>);

struct AccountInner {
    limiter: ByteLimiter,
    holder: Holder,
    signals: Arc<Signals>,
}

/// Bytes that are held until this is dropped.
pub struct Held {
    account: Account,
    bytes: usize,
}

impl ByteLimiter {
    /// Creates a budget; `held` follows the bytes that are held.
    pub fn new(cfg: ByteBudgetConfig, held: IntGauge) -> Self {
        let state = State {
            budget: ByteBudget::new(cfg),
            signals: SecondaryMap::new(),
        };
        Self {
            state: Arc::new(Mutex::new(state)),
            held,
        }
    }

    /// Opens the account of a new connection.
    pub fn open(&self) -> Account {
        let signals = Arc::new(Signals::default());
        let mut state = self.state();
        let holder = state.budget.open();
        state.signals.insert(holder, Arc::clone(&signals));
        drop(state);
        Account(Arc::new(AccountInner {
            limiter: self.clone(),
            holder,
            signals,
        }))
    }

    /// Evicts the connection that holds the most.
    pub fn evict_greediest(&self) {
        let mut state = self.state();
        if let Some(holder) = state.budget.evict_greediest() {
            state.notify_evicted(holder);
        }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn record(&self, state: &State) {
        self.held
            .set(i64::try_from(state.budget.held()).unwrap_or(i64::MAX));
    }
}

impl State {
    fn hold(&mut self, holder: Holder, bytes: usize) {
        self.budget.hold(holder, bytes);
        while let Some(evicted) = self.budget.evict_excess() {
            self.notify_evicted(evicted);
        }
    }

    fn notify_evicted(&self, holder: Holder) {
        if let Some(signals) = self.signals.get(holder) {
            signals.evicted.notify_one();
        }
    }
}

impl Account {
    /// Holds bytes that are there already.
    pub fn hold(&self, bytes: usize) -> Held {
        let mut held = Held {
            account: self.clone(),
            bytes: 0,
        };
        held.resize(bytes);
        held
    }

    /// Holds what a request needs that can still be refused; `None` if there is no room for it.
    pub fn try_hold_request(&self, head: &RequestHead) -> Option<Held> {
        let state = self.state();
        let bytes = request_bytes(head).max(state.budget.smallest_request());
        let is_admitted = state.budget.admits(self.0.holder, bytes);
        drop(state);
        is_admitted.then(|| self.hold(bytes))
    }

    /// Whether more may be read from the connection.
    pub fn may_read(&self) -> bool {
        self.state().budget.may_read(self.0.holder)
    }

    /// Waits until the connection holds less, for at most `limit`.
    pub async fn released(&self, limit: Duration) {
        // More may have been released by other connections in either case.
        let _ = timeout(limit, self.0.signals.released.notified()).await;
    }

    /// Resolves when the connection should be closed because it holds more than others.
    pub async fn evicted(&self) {
        self.0.signals.evicted.notified().await;
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.0.limiter.state()
    }
}

impl fmt::Debug for Account {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_tuple("Account").field(&self.0.holder).finish()
    }
}

impl Drop for AccountInner {
    fn drop(&mut self) {
        let mut state = self.limiter.state();
        state.signals.remove(self.holder);
        state.budget.close(self.holder);
        self.limiter.record(&state);
    }
}

impl Held {
    /// Number of bytes that are held.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Changes the number of bytes that are held.
    pub fn resize(&mut self, bytes: usize) {
        let inner = &self.account.0;
        let old = std::mem::replace(&mut self.bytes, bytes);
        if old == bytes {
            return;
        }
        let mut state = inner.limiter.state();
        match bytes.checked_sub(old) {
            Some(more) => state.hold(inner.holder, more),
            None => state.budget.release(inner.holder, old - bytes),
        }
        inner.limiter.record(&state);
        drop(state);
        if bytes < old {
            inner.signals.released.notify_waiters();
        }
    }
}

impl fmt::Debug for Held {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_tuple("Held").field(&self.bytes).finish()
    }
}

impl Drop for Held {
    fn drop(&mut self) {
        self.resize(0);
    }
}
