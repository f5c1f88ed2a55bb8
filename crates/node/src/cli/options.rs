//! All commands with their options; the comments are the help that users read.

use std::net::{IpAddr, SocketAddr};
use std::path::PathBuf;
use std::str::FromStr;

use bpaf::Bpaf;
use coltsfootport_core::id::RequestId;
use coltsfootport_core::timeline::EventKind;

/// What to do.
#[derive(Clone, Debug, PartialEq, Eq, Bpaf)]
#[bpaf(ignore_rustdoc)]
pub enum Command {
    /// Run a node beside its target instance
    #[bpaf(command)]
    Node(#[bpaf(external(node_options))] NodeOptions),
    /// Run a node of a service mesh, which routes by host and path, beside its target instance
    #[bpaf(command)]
    Mesh(#[bpaf(external(mesh_options))] MeshOptions),
    /// Check a document or settings without running a node
    #[bpaf(command)]
    Check(#[bpaf(external(check_options))] CheckOptions),
    /// Show the state of nodes
    #[bpaf(command)]
    Status(#[bpaf(external(status_options))] StatusOptions),
    /// Show the events of nodes as one time line
    #[bpaf(command)]
    Timeline(#[bpaf(external(timeline_options))] TimelineOptions),
    /// Show the course of one request from the logs of mesh nodes
    #[bpaf(command)]
    Explain(#[bpaf(external(explain_options))] ExplainOptions),
    /// Make keys and certificates, printed as fragments of settings
    #[bpaf(command)]
    Keys(#[bpaf(external(keys_options))] KeysOptions),
    /// Send one request through a node and tell whether it ran
    #[bpaf(command)]
    Call(#[bpaf(external(call_options))] CallOptions),
}

/// Options of `node`.
#[derive(Clone, Debug, PartialEq, Eq, Bpaf)]
#[bpaf(ignore_rustdoc)]
pub struct NodeOptions {
    /// Settings, JSON with comments; `-` reads standard input
    #[bpaf(argument("FILE"))]
    pub settings: PathBuf,
}

/// Options of `mesh`.
#[derive(Clone, Debug, PartialEq, Eq, Bpaf)]
#[bpaf(ignore_rustdoc)]
pub struct MeshOptions {
    /// Settings, JSON with comments; read again on SIGHUP and when they change
    #[bpaf(argument("FILE"), env("COLTSFOOTPORT_SETTINGS"))]
    pub settings: PathBuf,
}

/// What `check` reads.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CheckSubject {
    /// The document of a service.
    Document,
    /// The settings of a node.
    Settings,
    /// The settings of a mesh node.
    Mesh,
}

/// Options of `check`.
#[derive(Clone, Debug, PartialEq, Eq, Bpaf)]
#[bpaf(ignore_rustdoc)]
pub struct CheckOptions {
    /// What the file holds: `document` for that of a service, `settings` for those of a node, `mesh` for those of a
    /// mesh node
    #[bpaf(positional("document|settings|mesh"))]
    pub subject: CheckSubject,
    /// The file; `-` reads standard input
    #[bpaf(positional("FILE"))]
    pub file: PathBuf,
}

/// Options of `status`.
#[derive(Clone, Debug, PartialEq, Eq, Bpaf)]
#[bpaf(ignore_rustdoc)]
pub struct StatusOptions {
    /// Operators address IP:PORT of a node; may be given several times
    #[bpaf(argument("ADDR"), some("at least one --operators IP:PORT is needed"))]
    pub operators: Vec<SocketAddr>,
    /// Ask the given nodes for the addresses of all others, and show those too
    pub all: bool,
    /// Print one JSON object a node and line instead of tables
    pub json: bool,
}

/// Options of `timeline`.
#[derive(Clone, Debug, PartialEq, Eq, Bpaf)]
#[bpaf(ignore_rustdoc)]
pub struct TimelineOptions {
    /// Operators address IP:PORT of a node; may be given several times
    #[bpaf(argument("ADDR"), some("at least one --operators IP:PORT is needed"))]
    pub operators: Vec<SocketAddr>,
    /// Ask the given nodes for the addresses of all others, and show those too
    pub all: bool,
    /// Only events of this request, the 32 digits of `coltsfootport-request`
    #[bpaf(argument("ID"))]
    pub request: Option<RequestId>,
    /// Only events of this kind, such as `shed`; may be given several times
    #[bpaf(argument("KIND"))]
    pub kind: Vec<EventKind>,
    /// Events a node at most: the newest ones
    #[bpaf(argument("N"), fallback(1000), display_fallback)]
    pub limit: usize,
    /// Go on with new events until interrupted
    pub follow: bool,
    /// Print JSON lines instead of text
    pub json: bool,
}

/// Options of `explain`.
#[derive(Clone, Debug, PartialEq, Eq, Bpaf)]
#[bpaf(ignore_rustdoc)]
pub struct ExplainOptions {
    /// Id of the request; the calls that its run made are shown too
    #[bpaf(argument("ID"))]
    pub request: String,
    /// Logs of any number of nodes; standard input where none is given or for `-`
    #[bpaf(positional("FILE"))]
    pub files: Vec<PathBuf>,
}

/// Options of `keys`.
#[derive(Clone, Debug, PartialEq, Eq, Bpaf)]
#[bpaf(ignore_rustdoc)]
pub enum KeysOptions {
    /// Print a fresh fleet secret, which authenticates tokens
    #[bpaf(command)]
    Fleet {
        /// Number of the secret; raise it at each rotation
        #[bpaf(long("id"), argument("N"), fallback(1), display_fallback)]
        id: u8,
    },
    /// Print a fresh certificate authority of the fleet with its private key
    #[bpaf(command)]
    Ca,
    /// Print a fresh certificate and private key for one node
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
    /// IP address of the node; may be given several times
    #[bpaf(argument("IP"), some("at least one --ip is needed"))]
    pub ip: Vec<IpAddr>,
    /// What `keys ca` printed; standard input where left out or `-`
    #[bpaf(argument("FILE"), fallback(PathBuf::from("-")))]
    pub ca: PathBuf,
}

/// How `call` comes by an idempotency token.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum TokenChoice {
    /// Ask the node for one before the call.
    Auto,
    /// Use this one.
    Given(String),
}

/// Options of `call`.
#[derive(Clone, Debug, PartialEq, Eq, Bpaf)]
#[bpaf(ignore_rustdoc)]
pub struct CallOptions {
    /// Method of the request
    #[bpaf(argument("METHOD"), fallback(String::from("GET")), display_fallback)]
    pub method: String,
    /// Idempotency token: `auto` asks the node for one, anything else is the token itself
    #[bpaf(argument("auto|TOKEN"))]
    pub token: Option<TokenChoice>,
    /// Number of the first sending of a given token, one above the last number that was used
    #[bpaf(long("try"), argument("N"), fallback(1), display_fallback)]
    pub first_try: u32,
    /// Time limit over all tries in milliseconds
    #[bpaf(argument("MS"), fallback(10_000), display_fallback)]
    pub deadline_ms: u64,
    /// Further tries, each after the time that the answer before it asked for
    #[bpaf(argument("N"), fallback(0), display_fallback)]
    pub retries: u32,
    /// Request header `NAME: VALUE`; may be given several times
    #[bpaf(argument("HEADER"))]
    pub header: Vec<String>,
    /// Body of the request; `@FILE` reads a file, `@-` standard input
    #[bpaf(argument("DATA"))]
    pub data: Option<String>,
    /// `http://IP:PORT/SERVICE/PATH` at the callers listener of any node
    #[bpaf(positional("URL"))]
    pub url: String,
}

impl FromStr for TokenChoice {
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
