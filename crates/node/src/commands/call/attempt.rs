//! Sends a single attempt of `call` and requests idempotency tokens.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::{Request, StatusCode};
use http_body_util::Full;
use serde::Deserialize;

use crate::http_client::{self, FetchError};

use super::answer::Answer;
use super::policy::AttemptResult;

/// Extra time after the deadline for the node to report that the deadline passed.
const DEADLINE_GRACE: Duration = Duration::from_millis(500);

/// Response body of `POST /coltsfootport/tokens`.
#[derive(Debug, Deserialize)]
struct TokensResponse {
    tokens: Vec<String>,
}

/// Sends one attempt and waits for the complete answer.
pub(super) async fn send(
    addr: SocketAddr,
    req: Result<Request<Full<Bytes>>, http::Error>,
    time_left: Duration,
) -> AttemptResult {
    let req = match req {
        Ok(req) => req,
        Err(err) => {
            eprintln!("coltsfootport: call: {err}");
            return AttemptResult::NotSent;
        }
    };
    match http_client::fetch(addr, req, time_left + DEADLINE_GRACE).await {
        Ok(answer) => AttemptResult::Answered(answer.into()),
        Err(err) => {
            eprintln!("coltsfootport: call: {err}");
            match err {
                FetchError::NotSent(..) => AttemptResult::NotSent,
                FetchError::Lost(..) => AttemptResult::Lost,
            }
        }
    }
}

/// Requests one token from the node; does not send the call itself.
///
/// # Errors
///
/// Returns the answer if it has a status other than `200`, and `None` if there is no usable answer.
pub(super) async fn request_token(
    addr: SocketAddr,
    service: &str,
    time_left: Duration,
) -> Result<String, Option<Answer>> {
    let path = format!("/coltsfootport/tokens?service={service}&count=1");
    let req = Request::post(path)
        .body(Full::new(Bytes::new()))
        .map_err(|_| None)?;
    let answer = match http_client::fetch(addr, req, time_left).await {
        Ok(answer) => answer,
        Err(err) => {
            eprintln!("coltsfootport: call: failed to get a token: {err}");
            return Err(None);
        }
    };
    if answer.status() != StatusCode::OK {
        return Err(Some(answer.into()));
    }
    let tokens = serde_json::from_slice::<TokensResponse>(answer.body()).ok();
    tokens
        .and_then(|response| response.tokens.into_iter().next())
        .ok_or(None)
}
