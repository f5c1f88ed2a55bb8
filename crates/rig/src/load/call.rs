//! Executes one call, including its retries.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, HeaderValue};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use smol_str::SmolStr;
use tokio::time::sleep;

use crate::error::RigError;
use crate::http::{Client, ClientAnswer, ClientCall};
use crate::load::ending::ExpectedAnswer;
use crate::load::token_pool::TokenPool;
use crate::load::{Behaviour, Ending, LoadPlan, Operation};
use crate::target::KEY_HEADER;

const DEADLINE_HEADER: &str = "coltsfootport-deadline-ms";
const TOKEN_HEADER: &str = "coltsfootport-token";
const TRY_HEADER: &str = "coltsfootport-try";
const RETRY_AFTER_MS_HEADER: &str = "coltsfootport-retry-after-ms";

/// State shared by all calls of a run.
#[derive(Clone, Debug)]
pub struct CallContext {
    /// Plan of the run.
    pub plan: Arc<LoadPlan>,
    /// HTTP client that sends the calls.
    pub client: Client,
    /// Pool of idempotency tokens for non-idempotent operations.
    pub tokens: TokenPool,
}

/// Ending of a call and its number of attempts.
#[derive(Clone, Copy, Debug)]
pub struct CallResult {
    /// Ending of the last attempt.
    pub ending: Ending,
    /// Number of attempts.
    pub sent: u32,
}

/// An idempotency token and the number of the next attempt that uses it.
struct NumberedToken {
    token: SmolStr,
    next_try: u32,
}

/// Whether to retry after an attempt, and after which delay.
enum RetryDecision {
    Stop,
    Retry(Duration),
}

/// Sends the call and retries it as the plan's client behaviour demands.
pub async fn execute_call(
    context: CallContext,
    operation: usize,
    key: String,
    seed: u64,
) -> CallResult {
    let plan = Arc::clone(&context.plan);
    let operation = &plan.operations[operation];
    let mut rng = StdRng::seed_from_u64(seed);
    let body = Bytes::from(vec![b'b'; operation.body_bytes]);
    let expected = ExpectedAnswer {
        key,
        path: operation.call.path.to_string(),
        body_crc32: crc32fast::hash(&body),
    };
    let mut token = None;
    if operation.non_idempotent {
        let Some(first_token) = context.tokens.take(operation.service().into()).await else {
            return CallResult {
                ending: Ending::NoToken,
                sent: 0,
            };
        };
        token = Some(NumberedToken {
            token: first_token,
            next_try: 1,
        });
    }
    let mut sent = 0;
    loop {
        sent += 1;
        let entry = plan.entries[rng.random_range(0..plan.entries.len())];
        let call = ClientCall {
            headers: headers(&plan, &expected.key, &mut token),
            ..client_call(&plan, operation, entry, body.clone())
        };
        let result = context.client.send(call).await;
        let ending = Ending::of(&result, &expected);
        match retry_decision(plan.behaviour, sent, ending, &result) {
            RetryDecision::Stop => return CallResult { ending, sent },
            RetryDecision::Retry(delay) => sleep(delay).await,
        }
        adopt_replacement_token(&mut token, &result);
    }
}

fn client_call(
    plan: &LoadPlan,
    operation: &Operation,
    entry: SocketAddr,
    body: Bytes,
) -> ClientCall {
    let method = operation.call.method.clone();
    let timeout = Duration::from_millis(plan.timeout_ms);
    ClientCall {
        body,
        timeout,
        ..ClientCall::new(entry, method, operation.call.path.as_str())
    }
}

fn headers(plan: &LoadPlan, key: &str, token: &mut Option<NumberedToken>) -> HeaderMap {
    let mut headers = HeaderMap::new();
    // Keys and tokens are plain text. A value that is not valid in a header is left out, and its absence shows at the
    // receiver.
    if let Ok(key) = HeaderValue::from_str(key) {
        headers.insert(KEY_HEADER, key);
    }
    if let Some(deadline_ms) = plan.deadline_ms {
        headers.insert(DEADLINE_HEADER, deadline_ms.into());
    }
    if let Some(token) = token {
        if let Ok(text) = HeaderValue::from_str(&token.token) {
            headers.insert(TOKEN_HEADER, text);
        }
        headers.insert(TRY_HEADER, token.next_try.into());
        token.next_try += 1;
    }
    headers
}

fn retry_decision(
    behaviour: Behaviour,
    sent: u32,
    ending: Ending,
    result: &Result<ClientAnswer, RigError>,
) -> RetryDecision {
    // A wrong answer is reported as a fault; a retry could hide it.
    if matches!(ending, Ending::Whole | Ending::Wrong) || sent >= behaviour.tries() {
        return RetryDecision::Stop;
    }
    match behaviour {
        Behaviour::Once => RetryDecision::Stop,
        Behaviour::HardRetry { .. } => RetryDecision::Retry(Duration::ZERO),
        Behaviour::Polite { .. } if ending != Ending::NotRun => RetryDecision::Stop,
        Behaviour::Polite { .. } => match retry_after(result) {
            Some(delay) => RetryDecision::Retry(delay),
            None => RetryDecision::Stop,
        },
    }
}

fn retry_after(result: &Result<ClientAnswer, RigError>) -> Option<Duration> {
    let answer = result.as_ref().ok()?;
    let ms = answer.header(RETRY_AFTER_MS_HEADER)?.parse().ok()?;
    Some(Duration::from_millis(ms))
}

/// Replaces a token that can no longer be used with the one in the answer, and restarts attempt numbers at 1.
fn adopt_replacement_token(
    token: &mut Option<NumberedToken>,
    result: &Result<ClientAnswer, RigError>,
) {
    let replacement = result
        .as_ref()
        .ok()
        .and_then(|answer| answer.header(TOKEN_HEADER));
    if let (Some(token), Some(replacement)) = (token, replacement) {
        *token = NumberedToken {
            token: replacement.into(),
            next_try: 1,
        };
    }
}
