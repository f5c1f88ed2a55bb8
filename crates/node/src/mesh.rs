//! Mesh node: a sidecar of one target that routes requests of a service mesh by host and path.

mod body_channel;
pub mod boot_clock;
mod call;
mod callers;
mod conn_reuse;
mod connection_registry;
mod controller;
mod entry;
mod feed;
mod findings;
mod held_bytes;
mod host;
pub mod journal;
mod lifecycle;
mod link;
mod metrics;
mod open_request;
mod policy;
mod quotas;
mod ready;
mod resource_shares;
mod run;
mod settings;
mod settings_file;
mod shutdown;
mod target;

pub use metrics::MeshMetrics;
pub use policy::PolicySettings;
pub use run::{MeshError, run};
pub use settings::{
    LoadSettings, MeshNodeSettings, MeshSettings, PublisherKind, PublisherSettings, RetrySettings,
};
