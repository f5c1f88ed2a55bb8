//! The QUIC endpoint of a mesh node.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use quinn::{ClientConfig, Endpoint, IdleTimeout, ServerConfig, TransportConfig, VarInt};

use super::tls;

/// Why the endpoint can't be made.
#[derive(Debug, thiserror::Error)]
pub enum LinkError {
    /// The address can't be bound.
    #[error("the peers' address can't be bound: {0}")]
    Bind(#[from] io::Error),
    /// No certificate can be made.
    #[error("no certificate: {0}")]
    Certificate(#[from] rcgen::Error),
    /// The library refuses the settings.
    #[error("TLS: {0}")]
    Tls(#[from] rustls::Error),
    /// No cipher for the first packets.
    #[error("TLS: {0}")]
    Cipher(String),
}

/// Streams that one peer may have open: requests that it has here at a time. The library keeps state for each of them from
/// the start, so a large number costs memory on every link: with 8,192 a node of a fleet of 14 held 29 MB, half of it this.
const STREAMS: u32 = 256;

/// Bytes of one stream that may be on their way unread. A held body fits in, so it leaves the sender at once.
const STREAM_WINDOW: u32 = 128 * 1024;

/// Bytes of all streams of one connection that may be on their way unread; bounds the memory that a peer can take.
const CONNECTION_WINDOW: u32 = 2 * 1024 * 1024;

/// First estimate of the round trip, near to what one region has; a lost first packet is repeated soon.
const INITIAL_RTT: Duration = Duration::from_millis(10);

/// Time without a packet after which a link counts as cut. Requests on it are then sent elsewhere where they may be, so
/// it is short beside the times that callers wait; some lost packets in a row must still fit in.
const IDLE: Duration = Duration::from_millis(2000);

/// Time between signs of life on a link.
const KEEP_ALIVE: Duration = Duration::from_millis(500);

/// Binds the peers' address for both directions.
///
/// # Errors
///
/// The address is taken, or no certificate can be made.
pub fn bind(address: SocketAddr) -> Result<Endpoint, LinkError> {
    let mut server = ServerConfig::with_crypto(Arc::new(tls::server()?));
    server.transport_config(Arc::new(transport()));
    let mut client = ClientConfig::new(Arc::new(tls::client()?));
    // One end's signs of life are acknowledged by the other, which shows both that the link is up.
    let mut asking = transport();
    asking.keep_alive_interval(Some(KEEP_ALIVE));
    client.transport_config(Arc::new(asking));
    let mut endpoint = Endpoint::server(server, address)?;
    endpoint.set_default_client_config(client);
    Ok(endpoint)
}

fn transport() -> TransportConfig {
    let mut transport = TransportConfig::default();
    transport
        .max_concurrent_bidi_streams(VarInt::from_u32(STREAMS))
        .max_concurrent_uni_streams(VarInt::from_u32(0))
        .stream_receive_window(VarInt::from_u32(STREAM_WINDOW))
        .receive_window(VarInt::from_u32(CONNECTION_WINDOW))
        .send_window(u64::from(CONNECTION_WINDOW))
        .datagram_receive_buffer_size(None)
        .initial_rtt(INITIAL_RTT)
        .max_idle_timeout(IdleTimeout::try_from(IDLE).ok());
    transport
}
