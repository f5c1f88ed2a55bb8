//! QUIC endpoint of a node.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use quinn::{ClientConfig, Endpoint, IdleTimeout, ServerConfig, TransportConfig, VarInt};

use super::{TlsError, TlsMaterial};

/// Binds the QUIC endpoint that accepts and opens connections to peers on one UDP port.
pub fn bind(
    address: SocketAddr,
    tls: &TlsMaterial,
    streams: u32,
    idle: Duration,
) -> Result<Endpoint, TlsError> {
    let transport = Arc::new(transport(streams, idle));
    let mut server = ServerConfig::with_crypto(Arc::new(tls.server()?));
    server.transport_config(Arc::clone(&transport));
    let mut client = ClientConfig::new(Arc::new(tls.client()?));
    client.transport_config(transport);
    let mut endpoint =
        Endpoint::server(server, address).map_err(|e| TlsError::Refused(e.to_string()))?;
    endpoint.set_default_client_config(client);
    Ok(endpoint)
}

/// Receive window of a stream in bytes; bounds the memory that a peer can occupy with unread data.
const STREAM_WINDOW: u32 = 256 * 1024;

/// Receive window in bytes of all streams of a connection together.
const CONNECTION_WINDOW: u32 = 4 * 1024 * 1024;

/// Initial estimate of the round-trip time, close to that within one region, so that a lost first packet is retransmitted
/// early.
const INITIAL_RTT: Duration = Duration::from_millis(5);

fn transport(streams: u32, idle: Duration) -> TransportConfig {
    let mut transport = TransportConfig::default();
    transport
        .max_concurrent_bidi_streams(VarInt::from_u32(streams))
        .max_concurrent_uni_streams(VarInt::from_u32(0))
        .stream_receive_window(VarInt::from_u32(STREAM_WINDOW))
        .receive_window(VarInt::from_u32(CONNECTION_WINDOW))
        .initial_rtt(INITIAL_RTT)
        .keep_alive_interval(Some(idle / 3))
        .max_idle_timeout(IdleTimeout::try_from(idle).ok());
    transport
}
