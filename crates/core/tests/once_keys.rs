//! Tests for the sealing and opening of tokens.

use coltsfootport_core::error_kind::ErrorKind;
use coltsfootport_core::id::Incarnation;
use coltsfootport_core::once::{FleetKey, KeyRing, KeyRingError, Tick, Token};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

fn key(id: u8, byte: u8) -> FleetKey {
    FleetKey {
        id,
        secret: vec![byte; 32],
    }
}

fn ring(keys: &[FleetKey]) -> KeyRing {
    KeyRing::new(keys.to_vec()).expect("the keys are valid")
}

fn token(name: &str) -> Token {
    let incarnation = Incarnation(u128::MAX - 1);
    Token {
        id: 7,
        service: name.into(),
        home: "orders-1".into(),
        incarnation,
        tick: Tick(99),
    }
}

#[test]
fn a_key_is_rotated_without_losing_tokens() {
    let (old, new) = (key(1, 1), key(2, 2));
    let steps = [
        ring(std::slice::from_ref(&old)),
        ring(&[old.clone(), new.clone()]),
        ring(&[new.clone(), old]),
        ring(&[new]),
    ];
    for pair in steps.windows(2) {
        for (from, to) in [(&pair[0], &pair[1]), (&pair[1], &pair[0])] {
            assert_eq!(to.open(&from.seal(&token("a"))), Ok(token("a")));
        }
    }
    let removed = steps[0].seal(&token("a"));
    assert_eq!(steps[3].open(&removed), Err(ErrorKind::BadToken));
}

#[test]
fn unusable_keys_are_refused() {
    struct Case {
        keys: Vec<FleetKey>,
        error: KeyRingError,
    }
    let short = FleetKey {
        id: 3,
        secret: vec![1; 15],
    };
    let cases = [
        Case {
            keys: vec![],
            error: KeyRingError::NoKeys,
        },
        Case {
            keys: vec![key(1, 1), key(1, 2)],
            error: KeyRingError::DuplicateId(1),
        },
        Case {
            keys: vec![key(1, 1), short],
            error: KeyRingError::SecretTooShort(3),
        },
    ];
    for Case { keys, error } in cases {
        assert_eq!(KeyRing::new(keys).expect_err("must be refused"), error);
    }
    assert!(
        !format!("{:?}", ring(&[key(1, 77)])).contains("77"),
        "a secret is printed"
    );
}

// A caller must not be able to forge a token or redirect it to another home, where no record prevents the call from
// running. Text that has any byte changed, is truncated, extended or sealed with another secret must be rejected. This
// fails if the tag does not cover a field or is not compared in full.
#[test]
fn whatever_was_not_sealed_is_refused() {
    let ring = ring(&[key(1, 1)]);
    let text = ring.seal(&token("orders"));
    assert_eq!(ring.open(&text), Ok(token("orders")));
    assert!(
        text.bytes()
            .all(|byte| byte.is_ascii_alphanumeric() || b"-_".contains(&byte))
    );
    for position in 0..text.len() {
        for byte in [b'A', b'B', b'_'] {
            let mut forged = text.as_bytes().to_vec();
            forged[position] = byte;
            let forged = String::from_utf8(forged).expect("ASCII");
            let opened = ring.open(&forged);
            assert!(
                forged == text || opened == Err(ErrorKind::BadToken),
                "byte {position}"
            );
        }
        assert_eq!(
            ring.open(&text[..position]),
            Err(ErrorKind::BadToken),
            "cut at {position}"
        );
    }
    let forged = KeyRing::new(vec![key(1, 2)])
        .expect("valid")
        .seal(&token("orders"));
    let long = "A".repeat(1 << 20);
    let oversized = ring.seal(&token(&"x".repeat(1_000)));
    let padded = format!("{text}==");
    let doubled = format!("{text}{text}");
    for bad in [
        forged.as_str(),
        "",
        "\u{e9}",
        "====",
        &padded,
        &doubled,
        &long,
        &oversized,
    ] {
        assert_eq!(
            ring.open(bad),
            Err(ErrorKind::BadToken),
            "{} bytes",
            bad.len()
        );
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(3),
        ..ProptestConfig::default()
    })]

    #[test]
    fn any_token_survives_sealing(
        id in any::<u128>(),
        incarnation in any::<u128>(),
        tick in any::<u64>(),
        service in "[a-z0-9-]{0,64}",
        home in "\\PC{0,64}",
    ) {
        let token = Token {
            id,
            service: service.as_str().into(),
            home: home.as_str().into(),
            incarnation: Incarnation(incarnation),
            tick: Tick(tick),
        };
        let ring = ring(&[key(9, 9)]);
        prop_assert_eq!(ring.open(&ring.seal(&token)), Ok(token));
    }

    #[test]
    fn no_text_makes_open_panic(text in "\\PC{0,200}") {
        prop_assert_eq!(ring(&[key(9, 9)]).open(&text), Err(ErrorKind::BadToken));
    }
}
