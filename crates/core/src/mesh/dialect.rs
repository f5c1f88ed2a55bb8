//! Header names and paths used between callers, targets and nodes of a mesh.

/// Header names, in lower case, and paths of a deployment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Dialect {
    /// Request and response: id of the request, new for each attempt of a caller.
    pub request_id: &'static str,
    /// Request: time in milliseconds that the sender will wait for the response.
    pub time_left_ms: &'static str,
    /// Request to a target: id of the only instance that may execute it.
    pub only_instance: &'static str,
    /// Request to a target: service of the machine on which the request originated.
    pub origin_service: &'static str,
    /// Request: key of the caller's workspace; removed by the entry node and never forwarded.
    pub workspace_key: &'static str,
    /// Request to a target: name of the workspace that the request belongs to.
    pub workspace: &'static str,
    /// Response of a target: the request was not executed.
    pub not_run: &'static str,
    /// Response of a target: proves that the response was produced by the target.
    pub signature: &'static str,
    /// Response of a target: requests per second, as a decimal number, that it takes from all nodes together for as
    /// long as it names them.
    pub rate_limit: &'static str,
    /// Response of a target: it is leaving.
    pub leaving: &'static str,
    /// Path of the node's readiness endpoint.
    pub ready_path: &'static str,
}

impl Dialect {
    /// The names defined by this project.
    pub const DEFAULT: Self = Self {
        request_id: "coltsfootport-request",
        time_left_ms: "coltsfootport-time-left-ms",
        only_instance: "coltsfootport-only-instance",
        origin_service: "coltsfootport-origin",
        workspace_key: "coltsfootport-key",
        workspace: "coltsfootport-workspace",
        not_run: "coltsfootport-not-run",
        signature: "coltsfootport-signature",
        rate_limit: "coltsfootport-rate-limit",
        leaving: "coltsfootport-leaving",
        ready_path: "/ready",
    };
}
