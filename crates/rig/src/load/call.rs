//! One call with its retries.

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

/// What all calls share.
#[derive(Clone, Debug)]
pub struct Caller {
    /// The plan.
    pub plan: Arc<LoadPlan>,
    /// Connections.
    pub client: Client,
    /// Tokens.
    pub tokens: TokenPool,
}

/// How a call ended and how often it was sent.
#[derive(Clone, Copy, Debug)]
pub struct CallEnd {
    /// The ending of the last sending.
    pub ending: Ending,
    /// Sendings.
    pub sent: u32,
}

/// A token and the number of the next sending under it.
struct NumberedToken {
    token: SmolStr,
    next_try: u32,
}

/// What to do after a sending.
enum Next {
    End,
    SendAgain(Duration),
}

/// Sends the call until its client's behaviour ends it.
pub async fn perform(caller: Caller, operation: usize, key: String, seed: u64) -> CallEnd {
    let plan = Arc::clone(&caller.plan);
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
        let Some(taken) = caller.tokens.take(operation.service().into()).await else {
            return CallEnd {
                ending: Ending::NoToken,
                sent: 0,
            };
        };
        token = Some(NumberedToken {
            token: taken,
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
        let result = caller.client.send(call).await;
        let ending = Ending::of(&result, &expected);
        match next(plan.behaviour, sent, ending, &result) {
            Next::End => return CallEnd { ending, sent },
            Next::SendAgain(pause) => sleep(pause).await,
        }
        take_fresh_token(&mut token, &result);
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
    // Keys and tokens are plain text; another value couldn't be sent and would be missed by its reader.
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

fn next(
    behaviour: Behaviour,
    sent: u32,
    ending: Ending,
    result: &Result<ClientAnswer, RigError>,
) -> Next {
    // A wrong answer is a fault to be reported, never one to be covered by another try.
    if matches!(ending, Ending::Whole | Ending::Wrong) || sent >= behaviour.tries() {
        return Next::End;
    }
    match behaviour {
        Behaviour::Once => Next::End,
        Behaviour::HardRetry { .. } => Next::SendAgain(Duration::ZERO),
        Behaviour::Polite { .. } if ending != Ending::NotRun => Next::End,
        Behaviour::Polite { .. } => match retry_after(result) {
            Some(pause) => Next::SendAgain(pause),
            None => Next::End,
        },
    }
}

fn retry_after(result: &Result<ClientAnswer, RigError>) -> Option<Duration> {
    let answer = result.as_ref().ok()?;
    let ms = answer.header(RETRY_AFTER_MS_HEADER)?.parse().ok()?;
    Some(Duration::from_millis(ms))
}

/// A token that can no longer run comes back with a fresh one, whose sendings count from 1 again.
fn take_fresh_token(token: &mut Option<NumberedToken>, result: &Result<ClientAnswer, RigError>) {
    let fresh = result
        .as_ref()
        .ok()
        .and_then(|answer| answer.header(TOKEN_HEADER));
    if let (Some(token), Some(fresh)) = (token, fresh) {
        *token = NumberedToken {
            token: fresh.into(),
            next_try: 1,
        };
    }
}
