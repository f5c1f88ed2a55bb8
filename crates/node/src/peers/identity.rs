//! Identity of the remote end of a connection, by its certificate.

use std::any::Any;
use std::hash::{Hash, Hasher};

use coltsfootport_core::id::NodeName;
use quinn::Connection;
use rustls::client::verify_server_name;
use rustls::pki_types::{CertificateDer, ServerName};
use rustls::server::ParsedCertificate;

/// End-entity certificate that a peer presented and the TLS handshake verified.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PeerIdentity(CertificateDer<'static>);

impl PeerIdentity {
    /// Returns the identity of the remote end, or `None` if it presented no certificate.
    pub fn of(connection: &Connection) -> Option<Self> {
        let identity: Box<dyn Any> = connection.peer_identity()?;
        let chain = identity.downcast::<Vec<CertificateDer<'static>>>().ok()?;
        chain.into_iter().next().map(Self)
    }

    /// Returns whether the certificate is valid for the name of this node.
    pub fn is_node(&self, node: &NodeName) -> bool {
        let Ok(name) = ServerName::try_from(node.as_str()) else {
            return false;
        };
        let Ok(cert) = ParsedCertificate::try_from(&self.0) else {
            return false;
        };
        verify_server_name(&cert, &name).is_ok()
    }
}

impl Hash for PeerIdentity {
    fn hash<H>(&self, state: &mut H)
    where
        H: Hasher,
    {
        self.0.as_ref().hash(state);
    }
}
