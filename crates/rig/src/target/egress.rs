//! Calls of a target to downstream services through its node's egress listener.

use std::net::SocketAddr;
use std::time::Duration;

use http::{HeaderMap, HeaderValue};
use smol_str::SmolStr;
use tokio::task::JoinSet;

use crate::http::{Client, ClientAnswer, ClientCall, MethodPath};
use crate::target::{DownstreamEcho, DownstreamMode, Echo, KEY_HEADER, Settings};

/// Header that a target copies into its downstream calls.
pub const CONTEXT_HEADER: &str = "coltsfootport-context";

/// Header that states whether a call ran, as far as known.
const OUTCOME_HEADER: &str = "coltsfootport-outcome";

/// Headers that downstream calls inherit from the call that causes them.
#[derive(Clone, Debug, Default)]
pub struct ParentCall {
    /// The call's `x-rig-key`.
    pub key: SmolStr,
    /// The call's `coltsfootport-context`.
    pub context: Option<HeaderValue>,
}

/// Client for calls to downstream services.
#[derive(Clone, Debug)]
pub struct Egress {
    client: Client,
    addr: Option<SocketAddr>,
}

impl Egress {
    /// Creates a client that calls through the egress listener at `addr`.
    pub fn new(client: Client, addr: Option<SocketAddr>) -> Self {
        Self { client, addr }
    }

    /// Makes every downstream call that the settings configure for this path.
    pub async fn call_all(
        &self,
        parent: &ParentCall,
        path: &str,
        settings: &Settings,
    ) -> Vec<DownstreamEcho> {
        let calls = settings.calls_for(path);
        match settings.downstream_mode {
            DownstreamMode::Sequential => self.call_sequentially(parent, calls, settings).await,
            DownstreamMode::Parallel => self.call_in_parallel(parent, calls, settings).await,
        }
    }

    async fn call_sequentially(
        &self,
        parent: &ParentCall,
        calls: &[MethodPath],
        settings: &Settings,
    ) -> Vec<DownstreamEcho> {
        let mut echoes = Vec::new();
        for (index, downstream) in calls.iter().enumerate() {
            let echo = self
                .clone()
                .call(downstream, parent.for_downstream(index), settings)
                .await;
            let is_aborted = settings.downstream_required && !echo.is_success();
            echoes.push(echo);
            if is_aborted {
                break;
            }
        }
        echoes
    }

    /// Runs the calls as tasks of a `JoinSet`, which is dropped with the caller so that cancellation reaches each call.
    async fn call_in_parallel(
        &self,
        parent: &ParentCall,
        calls: &[MethodPath],
        settings: &Settings,
    ) -> Vec<DownstreamEcho> {
        let mut running = JoinSet::new();
        for (index, downstream) in calls.iter().cloned().enumerate() {
            let (egress, parent, settings) =
                (self.clone(), parent.for_downstream(index), settings.clone());
            running
                .spawn(async move { (index, egress.call(&downstream, parent, &settings).await) });
        }
        let mut echoes = vec![DownstreamEcho::default(); calls.len()];
        while let Some(ended) = running.join_next().await {
            if let Ok((index, echo)) = ended {
                echoes[index] = echo;
            }
        }
        echoes
    }

    async fn call(
        self,
        downstream: &MethodPath,
        parent: ParentCall,
        settings: &Settings,
    ) -> DownstreamEcho {
        let mut echo = DownstreamEcho {
            path: downstream.path.clone(),
            ..DownstreamEcho::default()
        };
        let Some(addr) = self.addr else {
            return echo;
        };
        let call = ClientCall {
            headers: parent.headers(),
            timeout: Duration::from_millis(settings.downstream_timeout_ms),
            ..ClientCall::new(addr, downstream.method.clone(), downstream.path.as_str())
        };
        while echo.sent <= settings.downstream_retries && !echo.is_success() {
            echo.sent += 1;
            match self.client.send(call.clone()).await {
                Ok(answer) => record_response(&mut echo, &answer),
                Err(_) => echo.status = 0,
            }
        }
        echo
    }
}

impl ParentCall {
    fn for_downstream(&self, index: usize) -> Self {
        Self {
            key: Echo::downstream_key(&self.key, index),
            context: self.context.clone(),
        }
    }

    fn headers(&self) -> HeaderMap {
        let mut headers = HeaderMap::new();
        if let Some(context) = &self.context {
            headers.insert(CONTEXT_HEADER, context.clone());
        }
        if let Some(key) = HeaderValue::from_str(&self.key)
            .ok()
            .filter(|key| !key.is_empty())
        {
            headers.insert(KEY_HEADER, key);
        }
        headers
    }
}

fn record_response(echo: &mut DownstreamEcho, answer: &ClientAnswer) {
    echo.status = answer.status.as_u16();
    echo.outcome = answer.header(OUTCOME_HEADER).map(SmolStr::from);
    if answer.status.is_success() {
        echo.echo = serde_json::from_slice(&answer.body).ok();
    }
}
