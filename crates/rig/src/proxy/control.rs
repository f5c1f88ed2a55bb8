//! HTTP control interface of the proxy: `GET /links` and `PUT /links/{name}`.

use std::io;

use http::{Method, Request, StatusCode};
use hyper::body::Incoming;
use tokio::net::TcpListener;

use crate::http::{Answer, Server, empty, json, read_body, text};
use crate::proxy::links::LinkController;

/// Maximum body size of a control request, in bytes.
const MAX_BODY_BYTES: usize = 64 << 10;

/// Serves the control interface on `listener`.
pub fn start(listener: TcpListener, controller: LinkController) -> io::Result<Server> {
    Server::start(listener, move |req| {
        let controller = controller.clone();
        async move { handle(controller, req).await.into() }
    })
}

async fn handle(controller: LinkController, req: Request<Incoming>) -> Answer {
    let path = req.uri().path().to_owned();
    match (req.method(), path.strip_prefix("/links")) {
        (&Method::GET, Some("")) => json(StatusCode::OK, &controller.states()),
        (&Method::PUT, Some(name)) => match name.strip_prefix('/') {
            Some(name) => patch(controller, name, req).await,
            None => empty(StatusCode::NOT_FOUND),
        },
        _ => empty(StatusCode::NOT_FOUND),
    }
}

async fn patch(controller: LinkController, pattern: &str, req: Request<Incoming>) -> Answer {
    let Some(body) = read_body(req.into_body(), MAX_BODY_BYTES).await else {
        return empty(StatusCode::PAYLOAD_TOO_LARGE);
    };
    match controller.patch(pattern, &body) {
        Ok(changed) if changed.is_empty() => empty(StatusCode::NOT_FOUND),
        Ok(changed) => json(StatusCode::OK, &changed),
        Err(e) => text(StatusCode::BAD_REQUEST, &e.to_string()),
    }
}
