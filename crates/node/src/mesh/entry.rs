//! Entry of requests into the mesh: handles a caller's request from its arrival to the response.

mod attempts;

use std::pin::{Pin, pin};
use std::sync::Arc;
use std::time::{Duration, Instant};

use coltsfootport_core::id::ServiceName;
use coltsfootport_core::mesh::{Dialect, QueueTimeoutConfig, TimeLimits};
use coltsfootport_core::quarantine::Fingerprinter;
use http::header::{HOST, HeaderName, HeaderValue, RETRY_AFTER};
use http::{HeaderMap, StatusCode};
use smol_str::SmolStr;
use tokio::sync::watch;
use tokio::time::timeout;

use self::attempts::Attempts;
use crate::clock::SharedClock;
use crate::mesh::call::{Body, CallerAnswer, CallerRequest, Refused};
use crate::mesh::controller::{AdmissionRequest, ControllerHandle, Credential, Denial};
use crate::mesh::host::Host;
use crate::mesh::journal::{Journal, RequestSummary};
use crate::mesh::link::PeerPool;
use crate::mesh::shutdown::ShutdownWatch;

/// Retry delay that is announced to callers if no better estimate is known.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_millis(400);

/// Longest retry delay that is announced to a caller, as a share of the time that the caller has left.
const MAX_RETRY_AFTER_SHARE: f64 = 0.32;

/// Everything needed to serve callers. Cheap to clone.
#[derive(Clone)]
pub struct Entry {
    /// Decides on admission, instances and retries.
    pub controller: ControllerHandle,
    /// Links to other nodes.
    pub links: PeerPool,
    /// Runs requests at the local target.
    pub host: Host,
    /// Header names.
    pub dialect: Arc<Dialect>,
    /// Clock.
    pub clock: SharedClock,
    /// Journal in which the end of each request is logged.
    pub journal: Journal,
    /// Service of the local target, taken from the settings.
    pub service: watch::Receiver<ServiceName>,
    /// Progress of the node's shutdown.
    pub shutdown: ShutdownWatch,
    /// Limits on the time that requests wait in the queue of a target.
    pub queue_timeout: QueueTimeoutConfig,
    /// Safety margins subtracted from the time limits of requests.
    pub limits: TimeLimits,
    /// Port on which nodes accept requests from other nodes.
    pub peers_port: u16,
    /// Computes fingerprints, by which retries of a request are recognised.
    pub fingerprinter: Fingerprinter,
}

impl Entry {
    /// Serves a caller's request. `ready_behind` resolves when a response is ready that has to wait for this one.
    ///
    /// When the grace period of a stopping node is nearly over, a request with a response behind it is given up. A call
    /// that a run of its target made late is given up as the node is about to be killed, so that the run learns that the
    /// call may have run.
    pub async fn serve<F>(&self, mut req: CallerRequest, ready_behind: F) -> CallerAnswer
    where
        F: Future<Output = ()>,
    {
        let credential = take_credential(&mut req.head.headers, &self.dialect);
        let time_left_ms = number_header(&req.head.headers, self.dialect.time_left_ms);
        let time_left = time_left_ms.map(Duration::from_millis);
        let admission = AdmissionRequest {
            host: text_header(&req.head.headers, HOST.as_str()),
            path: SmolStr::new(req.head.path()),
            id: req.id.clone(),
            time_left,
            credential,
        };
        let is_late_call = self.shutdown.is_closing();
        let admitted = match self.controller.admit(admission).await {
            Ok(admitted) => admitted,
            Err(denial) => {
                let refused = Refused {
                    refusal: denial.refusal,
                    retry_after: denial.retry_after,
                };
                self.log_denial(&req.id, denial, req.arrived, time_left);
                return self.refuse(refused, &req.id, time_left);
            }
        };
        let mut attempts = Attempts::new(self, req, admitted, time_left);
        let limit = attempts
            .deadline
            .saturating_duration_since(self.clock.now());
        let (id, deadline) = (attempts.id.clone(), attempts.deadline);
        let result = {
            let served = pin!(timeout(limit, attempts.run()));
            tokio::select! {
                biased;
                result = self.log_if_unfinished(&id, deadline, served) => Some(result),
                () = self.wait_until_given_up(ready_behind, is_late_call) => None,
            }
        };
        let result = match result {
            Some(Ok(result)) => result,
            Some(Err(_)) => Err(attempts.expired()),
            None => Err(attempts.given_up()),
        };
        attempts.log(&result);
        attempts.refund_quota(&result);
        let passed_on = attempts.was_passed_on(&result);
        match result {
            Ok(answer) => CallerAnswer {
                id,
                deadline: Some(deadline),
                passed_on,
                status: answer.status,
                headers: answer.headers,
                body: answer.body,
                held: Some(answer.held),
            },
            Err(refused) => CallerAnswer {
                passed_on,
                ..self.refuse(refused, &attempts.id, attempts.time_left())
            },
        }
    }

    /// Waits for a request, and logs it if it is still unfinished when the grace period is nearly over.
    async fn log_if_unfinished<F>(
        &self,
        id: &str,
        deadline: Instant,
        mut served: Pin<&mut F>,
    ) -> F::Output
    where
        F: Future,
    {
        tokio::select! {
            biased;
            done = &mut served => return done,
            () = self.shutdown.grace_over() => {}
        }
        let left = deadline.saturating_duration_since(self.clock.now());
        self.journal.unfinished(id, "entry", left);
        served.await
    }

    /// Resolves when the grace period is nearly over and `ready_behind` has resolved, or when the node is about to be
    /// killed and the request is a late call.
    async fn wait_until_given_up<F>(&self, ready_behind: F, is_late_call: bool)
    where
        F: Future<Output = ()>,
    {
        let holds_back = async {
            ready_behind.await;
            self.shutdown.grace_over().await;
        };
        tokio::select! {
            () = holds_back => {}
            () = self.shutdown.kill_imminent(), if is_late_call => {}
        }
    }

    /// Builds the response by which the node itself refuses a request.
    pub fn refuse(&self, refused: Refused, id: &str, time_left: Option<Duration>) -> CallerAnswer {
        let rule = refused.refusal.rule();
        let mut headers = HeaderMap::new();
        if let Ok(id) = HeaderValue::from_str(id) {
            headers.insert(HeaderName::from_static(self.dialect.request_id), id);
        }
        if rule.retry_after {
            let wait = refused.retry_after.unwrap_or(DEFAULT_RETRY_AFTER);
            let max_wait = time_left.map(|left| left.mul_f64(MAX_RETRY_AFTER_SHARE));
            let wait = max_wait
                .map_or(wait, |max_wait| wait.min(max_wait))
                .as_secs_f64();
            if let Ok(value) = HeaderValue::from_str(&format!("{wait:.3}")) {
                headers.insert(RETRY_AFTER, value);
            }
        }
        CallerAnswer {
            id: SmolStr::new(id),
            deadline: None,
            passed_on: false,
            status: StatusCode::from_u16(rule.status).unwrap_or(StatusCode::SERVICE_UNAVAILABLE),
            headers,
            body: Body::empty(),
            held: None,
        }
    }

    fn log_denial(&self, id: &str, denial: Denial, arrived: Instant, time_left: Option<Duration>) {
        self.journal.request_answered(RequestSummary {
            id,
            fingerprint: None,
            route: "",
            service: "",
            instance: "",
            status: denial.refusal.rule().status,
            refusal: denial.refusal.as_str(),
            attempts: 0,
            elapsed: self.clock.now().saturating_duration_since(arrived),
            limit: time_left.unwrap_or_default(),
            config: denial.config_version,
            inner: false,
        });
    }
}

/// Removes the API key from the headers and returns it. Also removes the workspace name, which only nodes may set.
///
/// If the key were forwarded, every target that serves its owner would learn it. If a workspace name sent by a caller
/// were forwarded, targets would trust it as if a node had set it.
fn take_credential(headers: &mut HeaderMap, dialect: &Dialect) -> Credential {
    headers.remove(dialect.workspace);
    let mut keys = headers.get_all(dialect.workspace_key).iter();
    let credential = match (keys.next(), keys.next()) {
        (None, _) => Credential::Missing,
        (Some(key), None) => {
            let mut key = key.clone();
            key.set_sensitive(true);
            Credential::Key(key)
        }
        // With two keys, which one counts would depend on the reader.
        (Some(_), Some(_)) => Credential::Duplicate,
    };
    headers.remove(dialect.workspace_key);
    credential
}

/// Value of a header as text; empty if it is missing or not text.
pub fn text_header(headers: &HeaderMap, name: &str) -> SmolStr {
    let value = headers.get(name).and_then(|value| value.to_str().ok());
    SmolStr::new(value.unwrap_or_default())
}

fn number_header(headers: &HeaderMap, name: &str) -> Option<u64> {
    headers.get(name)?.to_str().ok()?.trim().parse().ok()
}
