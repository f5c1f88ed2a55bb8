//! Decision logic of a service mesh node, which routes requests by host name and path.
//!
//! A mesh has one configuration for all services and a published list of instances. Every node runs next to a
//! target and acts in two roles: as an entry node it accepts requests that originate on its machine, and as a host it
//! executes requests of other nodes at its target. The entry of an instance is its record in the published list.

mod announced_leaving;
mod announcement;
mod authentication;
mod balance;
mod caller_connections;
mod caller_limits;
mod config;
mod dialect;
mod downstream;
mod drain;
mod entry_effect;
mod entry_fault;
mod fleet;
mod fleet_config;
mod headroom;
mod instance;
mod lapsed;
mod level;
mod member_state;
mod position;
mod publisher;
mod publisher_health;
mod queue_timeout;
mod rate_limit;
mod readers;
mod refusal;
mod restored;
mod retry_budget;
mod route;
mod route_latency;
mod route_table;
mod send_outcome;
mod service_times;
mod shedder;
mod target_gate;
mod time_limits;
mod update;
mod weighted_round_robin;

pub use announcement::Announcement;
pub use authentication::{AuthenticationRequest, PresentedKey, authenticate};
pub use balance::InstanceStats;
pub use caller_connections::{CallerConnection, CallerConnections, CallerConnectionsConfig};
pub use caller_limits::CallerLimits;
pub use config::{ConfigVersion, MeshConfig, MeshConfigError, RouteKey};
pub use dialect::Dialect;
pub use downstream::Downstream;
pub use drain::{Drain, DrainConfig};
pub use entry_effect::{PutEffect, RemoveEffect};
pub use entry_fault::EntryFault;
pub use fleet::{Fleet, InstanceKey, SelectedInstance};
pub use fleet_config::FleetConfig;
pub use instance::Instance;
pub use level::{Backlog, LevelConfig, LevelControl};
pub use member_state::MemberState;
pub use position::{Era, Position};
pub use publisher::{Publisher, PublisherError};
pub use queue_timeout::{QueueTimeoutConfig, QueueTimeoutRequest};
pub use rate_limit::RateLimit;
pub use readers::{ReadPlan, ReadPlanner, ReadersConfig, ReadersView};
pub use refusal::{Refusal, RefusalRule};
pub use retry_budget::{RetryBudget, RetryBudgetConfig};
pub use route::{Idempotency, Route, WeightedService};
pub use route_latency::RouteLatency;
pub use route_table::RouteTable;
pub use send_outcome::SendOutcome;
pub use service_times::{RequestKind, ServiceTimes};
pub use shedder::{Shed, Shedder, ShedderConfig};
pub use target_gate::{Admission, GateConfig, SlotRequest, TargetGate, Ticket};
pub use time_limits::{Margin, RequestLimits, TimeLimits};
pub use update::{Update, UpdateBatch};
pub use weighted_round_robin::WeightedRoundRobin;
