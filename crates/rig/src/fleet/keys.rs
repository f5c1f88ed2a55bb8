//! Keys and certificates of a fleet, made by the node's own `keys` command.

use std::io::Write;
use std::path::Path;
use std::process::{Command, Stdio};

use serde_json::Value;

use crate::error::RigError;
use crate::process::spawn;

/// Keys of one fleet.
#[derive(Clone, Debug)]
pub struct FleetKeys {
    authority: String,
    fleet: Value,
}

impl FleetKeys {
    /// Fresh keys.
    pub fn random(node: &Path) -> Result<Self, RigError> {
        let authority = keys(node, &["ca"], "")?;
        let fleet = serde_json::from_str(&keys(node, &["fleet"], "")?)?;
        Ok(Self { authority, fleet })
    }

    /// The sections of a node's settings that hold its keys.
    pub fn sections(&self, node: &Path, name: &str) -> Result<Vec<Value>, RigError> {
        let args = ["node", "--name", name, "--ip", "127.0.0.1"];
        let tls = serde_json::from_str(&keys(node, &args, &self.authority)?)?;
        Ok(vec![self.fleet.clone(), tls])
    }
}

fn keys(node: &Path, args: &[&str], input: &str) -> Result<String, RigError> {
    let mut command = Command::new(node);
    command.arg("keys").args(args);
    command.stdin(Stdio::piped()).stdout(Stdio::piped());
    let mut child = spawn(&mut command)?;
    if let Some(mut stdin) = child.stdin.take() {
        stdin.write_all(input.as_bytes())?;
    }
    let output = child.wait_with_output()?;
    if !output.status.success() {
        return Err(RigError::Settings(format!("keys {args:?} failed")));
    }
    Ok(String::from_utf8_lossy(&output.stdout).into_owned())
}
