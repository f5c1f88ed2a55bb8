//! Formats of names and addresses.

use std::net::SocketAddr;

/// Maximum length of the name of a node, service, domain, region or class, in bytes.
const MAX_NAME_BYTES: usize = 64;

pub(super) fn name(text: &str) -> Result<&str, String> {
    let is_allowed = |byte: u8| byte.is_ascii_alphanumeric() || matches!(byte, b'-' | b'_' | b'.');
    let valid_start = text.starts_with(|c: char| c.is_ascii_alphanumeric());
    if valid_start && text.len() <= MAX_NAME_BYTES && text.bytes().all(is_allowed) {
        return Ok(text);
    }
    Err(format!(
        "a name must have 1 to {MAX_NAME_BYTES} letters, digits, \"-\", \"_\" or \".\" and start with a letter or digit"
    ))
}

pub(super) fn address(text: &str) -> Result<SocketAddr, String> {
    let message = "expected an IP address and port, such as \"10.0.0.7:7101\"";
    text.parse().map_err(|_| message.to_owned())
}

pub(super) fn peer_address(text: &str) -> Result<SocketAddr, String> {
    let address = address(text)?;
    if address.port() == 0 || address.ip().is_unspecified() {
        return Err(
            "the address must have a specific IP address and a port other than 0".to_owned(),
        );
    }
    Ok(address)
}
