//! Sends one request and collects its events from all nodes.

use std::net::SocketAddr;
use std::process::{Command, Stdio};

use http::Method;
use tokio::task::spawn_blocking;

use crate::error::RigError;
use crate::fleet::{Fleet, Programs};
use crate::http::ClientCall;
use crate::process::spawn;

use super::guarantee::Guarantee;
use super::plan::{DEEPEST, FIRST};

const REQUEST_HEADER: &str = "coltsfootport-request";

/// Merged events of one request, as printed by the `timeline` command.
#[derive(Clone, Debug, Default)]
pub(super) struct Timeline {
    /// One line per event.
    pub text: String,
}

impl Timeline {
    /// Sends one request and collects its events from all nodes.
    pub async fn of_one_request(fleet: &Fleet) -> Result<Self, RigError> {
        // The entry node belongs to another service, so that the timeline includes the hop from the entry to the first
        // service.
        let entry = fleet.member(&format!("{DEEPEST}-1")).addresses;
        let path = format!("/{FIRST}/lots/1");
        let call = ClientCall::new(entry.callers, Method::GET, path);
        let answer = fleet.client.send(call).await?;
        let request = answer.header(REQUEST_HEADER).unwrap_or_default();
        Self::read(entry.operators, request).await
    }

    async fn read(operators: SocketAddr, request: &str) -> Result<Self, RigError> {
        let node = Programs::beside_this()?.node;
        let mut command = Command::new(node);
        command
            .args(["timeline", "--operators", &operators.to_string()])
            .args(["--all", "--request", request]);
        command.stdout(Stdio::piped()).stderr(Stdio::piped());
        let output = spawn_blocking(move || spawn(&mut command)?.wait_with_output()).await;
        let output = output.map_err(|e| RigError::Settings(e.to_string()))??;
        Ok(Self {
            text: String::from_utf8_lossy(&output.stdout).into_owned(),
        })
    }

    /// Checks that the events cover the path from the entry to the deepest target and back.
    pub fn check_complete(&self) -> Guarantee {
        let lines: Vec<&str> = self.text.lines().collect();
        let is_received = lines.first().is_some_and(|line| line.contains(" received"));
        let is_answered = lines.last().is_some_and(|line| line.contains(" answered"));
        let deepest = format!(" {DEEPEST}-");
        let is_deep = lines
            .iter()
            .any(|line| line.contains(&deepest) && line.contains(" dispatched"));
        Guarantee::new(
            "a timeline covers the path from entry to deepest target and back",
            format!("{} events in order", lines.len()),
            is_received && is_answered && is_deep,
        )
    }
}
