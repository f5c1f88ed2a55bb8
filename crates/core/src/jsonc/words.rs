//! Names and addresses in texts.

use std::net::SocketAddr;

/// Longest name of a node, service, domain, region or class, in bytes.
const MAX_NAME_BYTES: usize = 64;

pub(super) fn name(text: &str) -> Result<&str, String> {
    let is_allowed = |byte: u8| byte.is_ascii_alphanumeric() || matches!(byte, b'-' | b'_' | b'.');
    let starts_well = text.starts_with(|c: char| c.is_ascii_alphanumeric());
    if starts_well && text.len() <= MAX_NAME_BYTES && text.bytes().all(is_allowed) {
        return Ok(text);
    }
    Err(format!(
        "a name has 1 to {MAX_NAME_BYTES} letters, digits, \"-\", \"_\" and \".\", the first of them a letter or \
         digit"
    ))
}

pub(super) fn address(text: &str) -> Result<SocketAddr, String> {
    let message = "an IP number and a port are expected, as in \"10.0.0.7:7101\"";
    text.parse().map_err(|_| message.to_owned())
}

pub(super) fn peer_address(text: &str) -> Result<SocketAddr, String> {
    let address = address(text)?;
    if address.port() == 0 || address.ip().is_unspecified() {
        return Err("nobody can connect to this address".to_owned());
    }
    Ok(address)
}
