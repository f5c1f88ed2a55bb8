//! Subcommands and their options; the doc comments of variants and options are the `--help` text.

use std::net::{IpAddr, SocketAddr};
use std::path::PathBuf;
use std::str::FromStr;

use bpaf::Bpaf;
use coltsfootport_core::id::RequestId;
use coltsfootport_core::timeline::EventKind;

/// Subcommand with its options.
#[derive(Clone, Debug, PartialEq, Eq, Bpaf)]
#[bpaf(ignore_rustdoc)]
pub enum Command {
    /// Run a node beside its target instance
    #[bpaf(command)]
    Node(#[bpaf(external(node_options))] NodeOptions),
    /// Run a service mesh node, which routes by host and path, beside its target instance
    #[bpaf(command)]
    Mesh(#[bpaf(external(mesh_options))] MeshOptions),
    /// Check a document or settings without running a node
    #[bpaf(command)]
    Check(#[bpaf(external(check_options))] CheckOptions),
    /// Show the status of nodes
    #[bpaf(command)]
    Status(#[bpaf(external(status_options))] StatusOptions),
    /// Show the events of nodes as one merged timeline
    #[bpaf(command)]
    Timeline(#[bpaf(external(timeline_options))] TimelineOptions),
    /// Trace one request through the logs of mesh nodes
    #[bpaf(command)]
    Explain(#[bpaf(external(explain_options))] ExplainOptions),
    /// Generate keys and certificates and print them as settings fragments
    #[bpaf(command)]
    Keys(#[bpaf(external(keys_options))] KeysOptions),
    /// Send one request through a node and report whether it ran
    #[bpaf(command)]
    Call(#[bpaf(external(call_options))] CallOptions),
}

/// Options of `node`.
#[derive(Clone, Debug, PartialEq, Eq, Bpaf)]
#[bpaf(ignore_rustdoc)]
pub struct NodeOptions {
    /// Settings file, JSON with comments; `-` reads standard input
    #[bpaf(argument("FILE"))]
    pub settings: PathBuf,
}

/// Options of `mesh`.
#[derive(Clone, Debug, PartialEq, Eq, Bpaf)]
#[bpaf(ignore_rustdoc)]
pub struct MeshOptions {
    /// Settings file, JSON with comments; reloaded on SIGHUP and when it changes
    #[bpaf(argument("FILE"), env("COLTSFOOTPORT_SETTINGS"))]
    pub settings: PathBuf,
}

/// Kind of file that `check` reads.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CheckSubject {
    /// Document of a service.
    Document,
    /// Settings of a node.
    Settings,
    /// Settings of a mesh node.
    Mesh,
}

/// Options of `check`.
#[derive(Clone, Debug, PartialEq, Eq, Bpaf)]
#[bpaf(ignore_rustdoc)]
pub struct CheckOptions {
    /// Kind of file: `document` of a service, `settings` of a node, or `mesh` for the settings of a mesh node
    #[bpaf(positional("document|settings|mesh"))]
    pub subject: CheckSubject,
    /// File to check; `-` reads standard input
    #[bpaf(positional("FILE"))]
    pub file: PathBuf,
}

/// Options of `status`.
#[derive(Clone, Debug, PartialEq, Eq, Bpaf)]
#[bpaf(ignore_rustdoc)]
pub struct StatusOptions {
    /// Operators address IP:PORT of a node; can be repeated
    #[bpaf(argument("ADDR"), some("at least one --operators IP:PORT is required"))]
    pub operators: Vec<SocketAddr>,
    /// Include all nodes known to the given nodes
    pub all: bool,
    /// Print one JSON object per node and line instead of a table
    pub json: bool,
}

/// Options of `timeline`.
#[derive(Clone, Debug, PartialEq, Eq, Bpaf)]
#[bpaf(ignore_rustdoc)]
pub struct TimelineOptions {
    /// Operators address IP:PORT of a node; can be repeated
    #[bpaf(argument("ADDR"), some("at least one --operators IP:PORT is required"))]
    pub operators: Vec<SocketAddr>,
    /// Include all nodes known to the given nodes
    pub all: bool,
    /// Show only events of this request: the 32 hexadecimal digits of its `coltsfootport-request` header
    #[bpaf(argument("ID"))]
    pub request: Option<RequestId>,
    /// Show only events of this kind, such as `shed`; can be repeated
    #[bpaf(argument("KIND"))]
    pub kind: Vec<EventKind>,
    /// Maximum number of events per node; the newest are shown
    #[bpaf(argument("N"), fallback(1000), display_fallback)]
    pub limit: usize,
    /// Keep showing new events until interrupted
    pub follow: bool,
    /// Print JSON lines instead of text
    pub json: bool,
}

/// Options of `explain`.
#[derive(Clone, Debug, PartialEq, Eq, Bpaf)]
#[bpaf(ignore_rustdoc)]
pub struct ExplainOptions {
    /// Id of the request; calls made on its behalf are included
    #[bpaf(argument("ID"))]
    pub request: String,
    /// Log files of any number of nodes; reads standard input if none is given or for `-`
    #[bpaf(positional("FILE"))]
    pub files: Vec<PathBuf>,
}

/// Options of `keys`.
#[derive(Clone, Debug, PartialEq, Eq, Bpaf)]
#[bpaf(ignore_rustdoc)]
pub enum KeysOptions {
    /// Print a new fleet secret, which authenticates tokens
    #[bpaf(command)]
    Fleet {
        /// Number of the secret; increment it at each rotation
        #[bpaf(long("id"), argument("N"), fallback(1), display_fallback)]
        id: u8,
    },
    /// Print a new certificate authority for the fleet with its private key
    #[bpaf(command)]
    Ca,
    /// Print a new certificate and private key for one node
    #[bpaf(command)]
    Node(#[bpaf(external(node_key_options))] NodeKeyOptions),
}

/// Options of `keys node`.
#[derive(Clone, Debug, PartialEq, Eq, Bpaf)]
#[bpaf(ignore_rustdoc)]
pub struct NodeKeyOptions {
    /// Name of the node, as in its settings
    #[bpaf(argument("NAME"))]
    pub name: String,
    /// IP address of the node; can be repeated
    #[bpaf(argument("IP"), some("at least one --ip is required"))]
    pub ip: Vec<IpAddr>,
    /// File with the output of `keys ca`; reads standard input if omitted or `-`
    #[bpaf(argument("FILE"), fallback(PathBuf::from("-")))]
    pub ca: PathBuf,
}

/// Source of the idempotency token of `call`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum TokenSource {
    /// Request a token from the node before the call.
    Auto,
    /// Use the given token.
    Given(String),
}

/// Options of `call`.
#[derive(Clone, Debug, PartialEq, Eq, Bpaf)]
#[bpaf(ignore_rustdoc)]
pub struct CallOptions {
    /// HTTP method of the request
    #[bpaf(argument("METHOD"), fallback(String::from("GET")), display_fallback)]
    pub method: String,
    /// Idempotency token: `auto` requests one from the node, any other value is the token itself
    #[bpaf(argument("auto|TOKEN"))]
    pub token: Option<TokenSource>,
    /// Try number to start with for a given token: one more than the last number used
    #[bpaf(long("try"), argument("N"), fallback(1), display_fallback)]
    pub first_try: u32,
    /// Deadline for all tries together, in milliseconds
    #[bpaf(argument("MS"), fallback(10_000), display_fallback)]
    pub deadline_ms: u64,
    /// Maximum number of retries, each sent after the delay that the previous answer requested
    #[bpaf(argument("N"), fallback(0), display_fallback)]
    pub retries: u32,
    /// Request header `NAME: VALUE`; can be repeated
    #[bpaf(argument("HEADER"))]
    pub header: Vec<String>,
    /// Request body; `@FILE` reads a file, `@-` reads standard input
    #[bpaf(argument("DATA"))]
    pub data: Option<String>,
    /// URL `http://IP:PORT/SERVICE/PATH` on the callers listener of any node
    #[bpaf(positional("URL"))]
    pub url: String,
}

impl FromStr for TokenSource {
    type Err = std::convert::Infallible;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text {
            "auto" => Ok(Self::Auto),
            _ => Ok(Self::Given(text.to_owned())),
        }
    }
}

impl FromStr for CheckSubject {
    type Err = &'static str;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text {
            "document" => Ok(Self::Document),
            "settings" => Ok(Self::Settings),
            "mesh" => Ok(Self::Mesh),
            _ => Err("expected `document`, `settings` or `mesh`"),
        }
    }
}
