//! Task that owns the state of the platform.

use smol_str::SmolStr;
use tokio::sync::{mpsc, oneshot, watch};

use crate::platform::state::{ConfigStore, InstanceStore};
use crate::platform::{
    ConfigAnswer, Counts, FaultRequest, FaultScope, Faulty, Instance, InstancesAnswer, ReadOutcome,
    Seed, WriteResponse,
};

/// Capacity of the command channel.
const COMMAND_QUEUE_LEN: usize = 1024;

/// A read call in progress.
#[derive(Clone, Copy, Debug)]
pub struct Call {
    /// Sequence number of the call among those of its kind.
    pub sequence: u64,
    /// The last revision that the reader has seen.
    pub after: u64,
}

/// Resource requested by a read call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReadKind {
    /// `GET /config`.
    Config,
    /// `GET /instances`.
    Instances,
}

/// Current response to a read call.
#[derive(Debug)]
pub enum ReadAnswer {
    /// Entries of the configuration service.
    Config(ConfigAnswer),
    /// The instance list.
    Instances(InstancesAnswer),
    /// Nothing is newer. A watch keeps waiting; a plain read responds with the contained value.
    Unchanged(Box<ReadAnswer>),
    /// The read fails.
    Down {
        /// Whether the connection is closed without a response, rather than answered with `503`.
        drop: bool,
    },
}

/// Commands sent to the owner.
#[derive(Debug)]
pub enum Command {
    /// A read call arrived. Replies with its sequence number.
    Begin {
        kind: ReadKind,
        waits: bool,
        reply: oneshot::Sender<u64>,
    },
    /// Get the current response to a read call.
    Read {
        kind: ReadKind,
        call: Call,
        reply: oneshot::Sender<ReadAnswer>,
    },
    /// A read call was answered with `503` or its connection was closed.
    Failed,
    /// Write a key.
    PutKey {
        key: SmolStr,
        value: SmolStr,
        reply: oneshot::Sender<WriteResponse>,
    },
    /// Replace the instance list.
    PutInstances {
        instances: Vec<Instance>,
        reply: oneshot::Sender<WriteResponse>,
    },
    /// Set or clear a fault.
    Fault(FaultRequest),
    /// Get the call counts.
    Counts(oneshot::Sender<Counts>),
}

/// Handle to the owner.
#[derive(Clone, Debug)]
pub struct OwnerHandle {
    /// Sends commands to the owner.
    pub tx: mpsc::Sender<Command>,
    /// Changes with each write and fault, so that waiting calls read again.
    pub changes: watch::Receiver<u64>,
}

/// Starts the owner, which stops when its last handle is dropped.
pub fn start(seed: Seed) -> OwnerHandle {
    let (tx, rx) = mpsc::channel(COMMAND_QUEUE_LEN);
    let (changed, changes) = watch::channel(0);
    tokio::spawn(Owner::new(seed, changed).run(rx));
    OwnerHandle { tx, changes }
}

struct Owner {
    config: Faulty<ConfigStore>,
    instances: Faulty<InstanceStore>,
    counts: Counts,
    changed: watch::Sender<u64>,
}

impl Owner {
    fn new(seed: Seed, changed: watch::Sender<u64>) -> Self {
        let mut config = ConfigStore::default();
        for entry in seed.config {
            config.write(entry.key, entry.value);
        }
        let mut instances = InstanceStore::default();
        if !seed.instances.is_empty() {
            instances.write(seed.instances);
        }
        Self {
            config: Faulty::new(config),
            instances: Faulty::new(instances),
            counts: Counts::default(),
            changed,
        }
    }

    async fn run(mut self, mut rx: mpsc::Receiver<Command>) {
        while let Some(command) = rx.recv().await {
            self.on_command(command);
        }
    }

    /// Errors from sending a reply are ignored, since they only mean that the caller has gone away.
    fn on_command(&mut self, command: Command) {
        match command {
            Command::Begin { kind, waits, reply } => {
                let _ = reply.send(self.begin(kind, waits));
            }
            Command::Read { kind, call, reply } => {
                let _ = reply.send(self.read(kind, call));
            }
            Command::Failed => self.counts.failed += 1,
            Command::PutKey { key, value, reply } => {
                let revision = self.config.current_mut().write(key, value);
                self.notify();
                let _ = reply.send(WriteResponse { revision });
            }
            Command::PutInstances { instances, reply } => {
                let revision = self.instances.current_mut().write(instances);
                self.notify();
                let _ = reply.send(WriteResponse { revision });
            }
            Command::Fault(fault) => {
                self.set_fault(fault);
                self.notify();
            }
            Command::Counts(reply) => {
                let _ = reply.send(self.counts);
            }
        }
    }

    fn begin(&mut self, kind: ReadKind, waits: bool) -> u64 {
        self.counts.calls += 1;
        match waits {
            true => self.counts.watches += 1,
            false => self.counts.reads += 1,
        }
        // Calls are numbered per kind, so that `Flap` alternates independently for each kind.
        let sequence = match kind {
            ReadKind::Config => &mut self.counts.config,
            ReadKind::Instances => &mut self.counts.instances,
        };
        *sequence += 1;
        *sequence
    }

    fn read(&self, kind: ReadKind, call: Call) -> ReadAnswer {
        match kind {
            ReadKind::Config => match self.config.read(call.sequence) {
                ReadOutcome::Down { drop } => ReadAnswer::Down { drop },
                ReadOutcome::State(store) => config_answer(store, call.after),
            },
            ReadKind::Instances => match self.instances.read(call.sequence) {
                ReadOutcome::Down { drop } => ReadAnswer::Down { drop },
                ReadOutcome::State(store) => instances_answer(store, call.after),
            },
        }
    }

    fn set_fault(&mut self, fault: FaultRequest) {
        if fault.scope != FaultScope::Instances {
            self.config.set(fault.mode, fault.drop);
        }
        if fault.scope != FaultScope::Config {
            self.instances.set(fault.mode, fault.drop);
        }
    }

    fn notify(&self) {
        self.changed.send_modify(|version| *version += 1);
    }
}

fn config_answer(store: &ConfigStore, after: u64) -> ReadAnswer {
    let answer = store.read(after);
    match answer.entries.is_empty() {
        true => ReadAnswer::Unchanged(Box::new(ReadAnswer::Config(answer))),
        false => ReadAnswer::Config(answer),
    }
}

fn instances_answer(store: &InstanceStore, after: u64) -> ReadAnswer {
    let answer = ReadAnswer::Instances(store.read(after));
    match store.is_newer(after) {
        true => answer,
        false => ReadAnswer::Unchanged(Box::new(answer)),
    }
}
