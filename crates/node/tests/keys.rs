//! Keys and certificates made by `keys`.

use std::net::IpAddr;
use std::sync::Arc;

use coltsfootport::commands::keys::{
    Authority, AuthorityFragment, FleetFragment, KeyError, NodeFragment,
};
use rustls::RootCertStore;
use rustls::client::WebPkiServerVerifier;
use rustls::client::danger::ServerCertVerifier;
use rustls::crypto::{CryptoProvider, ring};
use rustls::pki_types::{CertificateDer, PrivateKeyDer, ServerName, UnixTime};
use rustls::server::WebPkiClientVerifier;

const IPS: [&str; 2] = ["10.1.2.3", "fd00::3"];

fn ips() -> Vec<IpAddr> {
    IPS.iter().map(|ip| ip.parse().unwrap()).collect()
}

fn provider() -> Arc<CryptoProvider> {
    Arc::new(ring::default_provider())
}

fn certificate(pem: &str) -> CertificateDer<'static> {
    rustls_pemfile::certs(&mut pem.as_bytes())
        .next()
        .unwrap()
        .unwrap()
}

fn key(pem: &str) -> PrivateKeyDer<'static> {
    rustls_pemfile::private_key(&mut pem.as_bytes())
        .unwrap()
        .unwrap()
}

fn roots(authorities: &[String]) -> Arc<RootCertStore> {
    let mut roots = RootCertStore::empty();
    for pem in authorities {
        roots.add(certificate(pem)).unwrap();
    }
    Arc::new(roots)
}

fn serves_as(trusted: &[String], node: &NodeFragment, name: &str) -> bool {
    let verifier = WebPkiServerVerifier::builder_with_provider(roots(trusted), provider());
    let name = ServerName::try_from(name.to_owned()).unwrap();
    let certificate = certificate(&node.tls.cert_pem);
    let verifier = verifier.build().unwrap();
    verifier
        .verify_server_cert(&certificate, &[], &name, &[], UnixTime::now())
        .is_ok()
}

fn calls_as_fleet(trusted: &[String], node: &NodeFragment) -> bool {
    let verifier = WebPkiClientVerifier::builder_with_provider(roots(trusted), provider());
    let certificate = certificate(&node.tls.cert_pem);
    let verifier = verifier.build().unwrap();
    verifier
        .verify_client_cert(&certificate, &[], UnixTime::now())
        .is_ok()
}

/// The authority as `keys node` reads it from what `keys ca` printed.
fn read_back(fragment: &AuthorityFragment) -> Result<Authority, KeyError> {
    let text = serde_json::to_string(fragment).unwrap();
    Authority::try_from(serde_json::from_str::<AuthorityFragment>(&text).unwrap())
}

#[test]
fn a_node_is_known_by_its_name_and_addresses_to_its_own_fleet_only() {
    let (fleet, other) = (Authority::random().unwrap(), Authority::random().unwrap());
    let printed = fleet.fragment();
    let (own, foreign) = (printed.fleet_ca.clone(), other.fragment().fleet_ca);
    let both = [foreign.clone(), own.clone()].concat();
    let issuers = [
        ("fresh authority", fleet),
        ("authority read back", read_back(&printed).unwrap()),
    ];
    for (issuer, authority) in issuers {
        let node = authority.issue("bidding-1", &ips()).unwrap();
        let cases = [
            ("by name", &own, "bidding-1", true),
            ("by IPv4", &own, IPS[0], true),
            ("by IPv6", &own, IPS[1], true),
            ("during a rotation", &both, "bidding-1", true),
            ("another name", &own, "bidding-2", false),
            ("another address", &own, "10.1.2.4", false),
            ("another fleet", &foreign, "bidding-1", false),
        ];
        for (name, trusted, server, expected) in cases {
            assert_eq!(
                serves_as(trusted, &node, server),
                expected,
                "{issuer}: {name}"
            );
        }
        for (name, trusted, expected) in [
            ("own", &own, true),
            ("both", &both, true),
            ("foreign", &foreign, false),
        ] {
            assert_eq!(
                calls_as_fleet(trusted, &node),
                expected,
                "{issuer}: client of {name}"
            );
        }
        assert_eq!(node.tls.ca_pem, own.concat());
    }
}

#[test]
fn a_node_s_key_and_certificate_make_a_server() {
    let node = Authority::random()
        .unwrap()
        .issue("bidding-1", &ips())
        .unwrap();
    let other = Authority::random()
        .unwrap()
        .issue("bidding-1", &ips())
        .unwrap();
    for (key_of, expected) in [(&node, true), (&other, false)] {
        let config = rustls::ServerConfig::builder_with_provider(provider())
            .with_safe_default_protocol_versions()
            .unwrap()
            .with_no_client_auth()
            .with_single_cert(
                vec![certificate(&node.tls.cert_pem)],
                key(&key_of.tls.key_pem),
            );
        assert_eq!(config.is_ok(), expected);
    }
}

// Symptom: a new node finds no peers; every one of them refuses its certificate.
// Sequence: the authority's file was put together from two rotations and `keys node` signed with it.
// Cause: the private key belongs to none of the certificates that the fleet trusts.
#[test]
fn a_key_without_its_certificate_signs_nothing() {
    let (old, new) = (Authority::random().unwrap(), Authority::random().unwrap());
    let (old, new) = (old.fragment(), new.fragment());
    let both = [old.fleet_ca.clone(), new.fleet_ca.clone()].concat();
    let cases = [
        ("pair", new.fleet_ca.clone(), true),
        ("with the old one", both, true),
        ("mixed up", old.fleet_ca, false),
        ("empty", Vec::new(), false),
        ("no certificate", vec![String::from("certificate")], false),
    ];
    for (name, fleet_ca, expected) in cases {
        let fleet_ca_key = new.fleet_ca_key.clone();
        let authority = read_back(&AuthorityFragment {
            fleet_ca,
            fleet_ca_key,
        });
        match expected {
            true => assert!(authority.is_ok(), "{name}"),
            false => assert!(matches!(authority, Err(KeyError::Mismatch)), "{name}"),
        }
    }
    let broken = AuthorityFragment {
        fleet_ca: new.fleet_ca,
        fleet_ca_key: "key".into(),
    };
    assert!(matches!(read_back(&broken), Err(KeyError::Certificate(_))));
}

#[test]
fn a_name_that_no_certificate_can_hold_is_refused() {
    let authority = Authority::random().unwrap();
    for name in ["", "bidding 1", "bidding/1", "-a", "señal", "a\n"] {
        assert!(
            matches!(authority.issue(name, &ips()), Err(KeyError::Name(_))),
            "{name:?}"
        );
    }
    for name in ["bidding-1", "bidding-1.ba-1", "b1"] {
        assert!(authority.issue(name, &ips()).is_ok(), "{name:?}");
    }
}

#[test]
fn a_fleet_secret_is_fresh_and_has_the_length_of_the_mac() {
    let (one, two) = (FleetFragment::random(3), FleetFragment::random(3));
    assert_ne!(one, two);
    for fragment in [one, two] {
        let [secret] = &fragment.fleet_keys[..] else {
            panic!("one secret")
        };
        assert_eq!((secret.id, secret.secret_hex.len()), (3, 64));
        assert!(
            secret
                .secret_hex
                .bytes()
                .all(|byte| byte.is_ascii_hexdigit())
        );
    }
}
