//! Who the other end of a connection is, by its certificate.

use std::any::Any;
use std::hash::{Hash, Hasher};

use coltsfootport_core::id::NodeName;
use quinn::Connection;
use rustls::client::verify_server_name;
use rustls::pki_types::{CertificateDer, ServerName};
use rustls::server::ParsedCertificate;

/// The certificate that the other end of a connection has shown and the handshake has verified.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PeerIdentity(CertificateDer<'static>);

impl PeerIdentity {
    /// The identity of the other end; `None` where it showed no certificate.
    pub fn of(connection: &Connection) -> Option<Self> {
        let shown: Box<dyn Any> = connection.peer_identity()?;
        let chain = shown.downcast::<Vec<CertificateDer<'static>>>().ok()?;
        chain.into_iter().next().map(Self)
    }

    /// Whether the certificate was made out to a node of this name.
    pub fn is(&self, node: &NodeName) -> bool {
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
