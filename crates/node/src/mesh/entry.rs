//! A request from its caller to its answer.

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
use crate::mesh::journal::{Ending, Journal};
use crate::mesh::link::LinkHub;

/// When to come back where nothing better is known.
const BACK_DEFAULT: Duration = Duration::from_millis(400);

/// Share of its remaining time after which a caller is asked to come back at most.
const BACK_SHARE: f64 = 0.32;

/// What is needed to serve callers; cheap to clone.
#[derive(Clone)]
pub struct Entry {
    /// Decides.
    pub controller: ControllerHandle,
    /// Links to other nodes.
    pub links: LinkHub,
    /// The own target.
    pub host: Host,
    /// Header names.
    pub dialect: Arc<Dialect>,
    /// Time.
    pub clock: SharedClock,
    /// Lines about requests.
    pub journal: Journal,
    /// The service beside this node, as the settings tell it.
    pub service: watch::Receiver<ServiceName>,
    /// Turns true when a stopping node's grace period is nearly over.
    pub grace_over: watch::Receiver<bool>,
    /// How long requests wait for a target at most.
    pub queue_timeout: QueueTimeoutConfig,
    /// What is taken off the time limits of requests.
    pub limits: TimeLimits,
    /// Port at which nodes take requests of others.
    pub peers_port: u16,
    /// Recognises requests that are sent again.
    pub fingerprinter: Fingerprinter,
}

impl Entry {
    /// Serves a request.
    pub async fn serve(&self, mut req: CallerRequest) -> CallerAnswer {
        let credential = take_credential(&mut req.head.headers, &self.dialect);
        let id = text_header(&req.head.headers, self.dialect.request_id);
        let told = number_header(&req.head.headers, self.dialect.time_left_ms);
        let time_left = told.map(Duration::from_millis);
        let ask = AdmissionRequest {
            host: text_header(&req.head.headers, HOST.as_str()),
            path: SmolStr::new(req.head.path()),
            id: id.clone(),
            time_left,
            credential,
        };
        let arrived = req.arrived;
        let admitted = match self.controller.admit(ask).await {
            Ok(admitted) => admitted,
            Err(denied) => {
                let refused = Refused {
                    refusal: denied.refusal,
                    retry_after: denied.retry_after,
                };
                self.log_denied(&id, denied, arrived, time_left);
                return self.refuse(refused, &id, time_left);
            }
        };
        let mut attempts = Attempts::new(self, req, id, admitted, time_left);
        let limit = attempts
            .deadline
            .saturating_duration_since(self.clock.now());
        let (id, deadline) = (attempts.id.clone(), attempts.deadline);
        let result = {
            let served = pin!(timeout(limit, attempts.run()));
            self.log_if_unfinished(&id, deadline, served).await
        };
        let result = match result {
            Ok(result) => result,
            Err(_) => Err(attempts.expired()),
        };
        attempts.log(&result);
        attempts.settle_quota(&result);
        match result {
            Ok(answer) => CallerAnswer {
                status: answer.status,
                headers: answer.headers,
                body: answer.body,
                close: false,
            },
            Err(refused) => self.refuse(refused, &attempts.id, attempts.time_left()),
        }
    }

    /// Waits for a request, and logs it if it has not ended when the grace period is nearly over.
    async fn log_if_unfinished<F>(
        &self,
        id: &str,
        deadline: Instant,
        mut served: Pin<&mut F>,
    ) -> F::Output
    where
        F: Future,
    {
        let mut grace_over = self.grace_over.clone();
        tokio::select! {
            biased;
            done = &mut served => return done,
            _ = grace_over.wait_for(|is_over| *is_over) => {}
        }
        let left = deadline.saturating_duration_since(self.clock.now());
        self.journal.unfinished(id, "entry", left);
        served.await
    }

    /// The node's own answer.
    pub fn refuse(&self, refused: Refused, id: &str, time_left: Option<Duration>) -> CallerAnswer {
        let rule = refused.refusal.rule();
        let mut headers = HeaderMap::new();
        if let Ok(id) = HeaderValue::from_str(id) {
            headers.insert(HeaderName::from_static(self.dialect.request_id), id);
        }
        if rule.retry_after {
            let wait = refused.retry_after.unwrap_or(BACK_DEFAULT);
            let most = time_left.map(|left| left.mul_f64(BACK_SHARE));
            let wait = most.map_or(wait, |most| wait.min(most)).as_secs_f64();
            if let Ok(value) = HeaderValue::from_str(&format!("{wait:.3}")) {
                headers.insert(RETRY_AFTER, value);
            }
        }
        CallerAnswer {
            status: StatusCode::from_u16(rule.status).unwrap_or(StatusCode::SERVICE_UNAVAILABLE),
            headers,
            body: Body::empty(),
            close: false,
        }
    }

    fn log_denied(&self, id: &str, denied: Denial, arrived: Instant, time_left: Option<Duration>) {
        self.journal.ended(Ending {
            id,
            fingerprint: None,
            route: "",
            service: "",
            instance: "",
            status: denied.refusal.rule().status,
            refusal: denied.refusal.as_str(),
            attempts: 0,
            took: self.clock.now().saturating_duration_since(arrived),
            limit: time_left.unwrap_or_default(),
            config: denied.config_version,
            inner: false,
        });
    }
}

/// Takes the key out of a request, and with it what only nodes may say: the name of the workspace.
///
/// Passed on, a key would be known to every target that serves its holder, and a target would take a name that a caller has
/// made up for the word of a node.
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
        // Which of two keys counts would be a matter of who reads them.
        (Some(_), Some(_)) => Credential::Duplicate,
    };
    headers.remove(dialect.workspace_key);
    credential
}

fn text_header(headers: &HeaderMap, name: &str) -> SmolStr {
    let value = headers.get(name).and_then(|value| value.to_str().ok());
    SmolStr::new(value.unwrap_or_default())
}

fn number_header(headers: &HeaderMap, name: &str) -> Option<u64> {
    headers.get(name)?.to_str().ok()?.trim().parse().ok()
}
