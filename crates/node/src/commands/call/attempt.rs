//! One attempt of `call`, and the question for a token before it.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::{Request, StatusCode};
use http_body_util::Full;
use serde::Deserialize;

use crate::http_client::{self, FetchError};

use super::answer::Answer;
use super::policy::AttemptEnd;

/// Time beyond the deadline that the node has to say that the deadline passed.
const GRACE: Duration = Duration::from_millis(500);

/// The answer to a question for tokens.
#[derive(Debug, Deserialize)]
struct Tokens {
    tokens: Vec<String>,
}

/// Sends one attempt.
pub(super) async fn send(
    addr: SocketAddr,
    req: Result<Request<Full<Bytes>>, http::Error>,
    left: Duration,
) -> AttemptEnd {
    let req = match req {
        Ok(req) => req,
        Err(fault) => {
            eprintln!("coltsfootport: call: {fault}");
            return AttemptEnd::NotSent;
        }
    };
    match http_client::fetch(addr, req, left + GRACE).await {
        Ok(answer) => AttemptEnd::Answered(answer.into()),
        Err(fault) => {
            eprintln!("coltsfootport: call: {fault}");
            match fault {
                FetchError::NotSent(..) => AttemptEnd::NotSent,
                FetchError::Lost(..) => AttemptEnd::Lost,
            }
        }
    }
}

/// Asks for one token; the call itself is not sent by this.
///
/// # Errors
///
/// The answer without a token, or none.
pub(super) async fn token(
    addr: SocketAddr,
    service: &str,
    left: Duration,
) -> Result<String, Option<Answer>> {
    let target = format!("/coltsfootport/tokens?service={service}&count=1");
    let req = Request::post(target)
        .body(Full::new(Bytes::new()))
        .map_err(|_| None)?;
    let answer = match http_client::fetch(addr, req, left).await {
        Ok(answer) => answer,
        Err(fault) => {
            eprintln!("coltsfootport: call: no token: {fault}");
            return Err(None);
        }
    };
    if answer.status() != StatusCode::OK {
        return Err(Some(answer.into()));
    }
    let tokens = serde_json::from_slice::<Tokens>(answer.body()).ok();
    tokens
        .and_then(|answer| answer.tokens.into_iter().next())
        .ok_or(None)
}
