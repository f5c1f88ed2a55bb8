//! Moments of a node's shutdown, and the tasks' view of them.

use tokio::sync::watch;

/// The moments that have come. Their order depends on the grace period.
#[derive(Clone, Copy, Debug, Default)]
struct Moments {
    stopping: bool,
    closing: bool,
    waiting_over: bool,
    grace_over: bool,
    kill_imminent: bool,
}

/// Creates the two sides of the shutdown of a node.
pub fn shutdown() -> (ShutdownSender, ShutdownWatch) {
    let (tx, rx) = watch::channel(Moments::default());
    (ShutdownSender(tx), ShutdownWatch(rx))
}

/// Announces the moments of the shutdown.
#[derive(Debug)]
pub struct ShutdownSender(watch::Sender<Moments>);

impl ShutdownSender {
    /// The shutdown starts.
    pub fn start(&self) {
        self.reach(|moments| &mut moments.stopping);
    }

    /// No request of another node is accepted any more, and the connections from other nodes are closed as soon as their
    /// replies have been written.
    pub fn close(&self) {
        self.reach(|moments| &mut moments.closing);
    }

    /// Requests no longer wait for slots; see [`waiting_end`](coltsfootport_core::mesh::waiting_end).
    pub fn end_waiting(&self) {
        self.reach(|moments| &mut moments.waiting_over);
    }

    /// The grace period is nearly over. Returns `false` if that was announced before.
    pub fn end_grace(&self) -> bool {
        self.reach(|moments| &mut moments.grace_over)
    }

    /// The supervisor is about to kill the process.
    pub fn expect_kill(&self) {
        self.reach(|moments| &mut moments.kill_imminent);
    }

    fn reach<F>(&self, moment: F) -> bool
    where
        F: FnOnce(&mut Moments) -> &mut bool,
    {
        self.0
            .send_if_modified(|moments| !std::mem::replace(moment(moments), true))
    }
}

/// Tells which moments of the shutdown have come; cheap to clone. The sender is dropped only as the process exits: what
/// has not come by then never does.
#[derive(Clone, Debug)]
pub struct ShutdownWatch(watch::Receiver<Moments>);

impl ShutdownWatch {
    /// Whether the node has started to shut down.
    pub fn is_stopping(&self) -> bool {
        self.0.borrow().stopping
    }

    /// Resolves when the node starts to shut down.
    pub async fn stopping(&self) {
        self.reached(|moments| moments.stopping).await;
    }

    /// Whether the stopping node gets requests from its own target only.
    pub fn is_closing(&self) -> bool {
        self.0.borrow().closing
    }

    /// Resolves when the stopping node accepts no further requests from peers.
    pub async fn closing(&self) {
        self.reached(|moments| moments.closing).await;
    }

    /// Whether the requests of the stopping node no longer wait for slots.
    pub fn is_waiting_over(&self) -> bool {
        self.0.borrow().waiting_over
    }

    /// Resolves when the requests of the stopping node no longer wait for slots.
    pub async fn waiting_over(&self) {
        self.reached(|moments| moments.waiting_over).await;
    }

    /// Resolves when the grace period of the stopping node is nearly over.
    pub async fn grace_over(&self) {
        self.reached(|moments| moments.grace_over).await;
    }

    /// Resolves when the supervisor is about to kill the stopping node.
    pub async fn kill_imminent(&self) {
        self.reached(|moments| moments.kill_imminent).await;
    }

    async fn reached<F>(&self, has_come: F)
    where
        F: Fn(&Moments) -> bool,
    {
        let mut moments = self.0.clone();
        if moments.wait_for(has_come).await.is_err() {
            std::future::pending().await
        }
    }
}
