//! Tests of the HTTP client against scripted servers.

use std::net::SocketAddr;

use bytes::Bytes;
use coltsfootport_rig::http::{Client, ClientCall};
use coltsfootport_rig::process::loopback;
use http::{Method, StatusCode};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

const ANSWER: &[u8] =
    b"HTTP/1.1 413 Payload Too Large\r\ncontent-length: 10\r\nconnection: close\r\n\r\ntoo-large\n";

/// Number of requests; whether the client is writing when the server closes differs between them.
const CALLS: usize = 100;

const BODY_BYTES: usize = 16 << 20;

/// Part of each request that the server reads.
const READ_BYTES: usize = 2 << 20;

/// Starts a server that reads the start of each request, sends `answer` and closes the connection.
async fn start_early_closer(answer: &'static [u8]) -> SocketAddr {
    let listener = TcpListener::bind(loopback(0)).await.expect("a listener");
    let addr = listener.local_addr().expect("an address");
    tokio::spawn(async move {
        loop {
            let (mut stream, _) = listener.accept().await.expect("a connection");
            let mut start = vec![0; READ_BYTES];
            stream.read_exact(&mut start).await.expect("a request");
            stream.write_all(answer).await.expect("an answer");
        }
    });
    addr
}

fn long_call(addr: SocketAddr) -> ClientCall {
    ClientCall {
        body: Bytes::from_static(&[0; BODY_BYTES]),
        ..ClientCall::new(addr, Method::PUT, "/x")
    }
}

/// Guards against a client that reports a failed write in place of an answer that has arrived.
#[tokio::test(flavor = "multi_thread")]
async fn an_answer_is_read_although_the_server_closes_before_the_request_is_written() {
    let addr = start_early_closer(ANSWER).await;
    let client = Client::default();
    let mut failures = Vec::new();
    for _ in 0..CALLS {
        match client.send(long_call(addr)).await {
            Ok(answer) => assert_eq!(answer.status, StatusCode::PAYLOAD_TOO_LARGE),
            Err(e) => failures.push(e.to_string()),
        }
    }
    assert_eq!(failures, Vec::<String>::new());
}

/// Guards against a failed write that is taken for a success, or that leaves the call waiting.
#[tokio::test(flavor = "multi_thread")]
async fn a_close_without_an_answer_is_an_error() {
    let addr = start_early_closer(b"").await;
    let client = Client::default();
    for _ in 0..CALLS {
        let result = client.send(long_call(addr)).await;
        let text = result.expect_err("no answer").to_string();
        assert!(text.contains("failed"), "{text}");
    }
}
