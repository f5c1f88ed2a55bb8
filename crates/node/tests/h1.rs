//! Tests of the HTTP/1.1 codec: heads, framing and bodies.

use bytes::{Bytes, BytesMut};
use http::{HeaderMap, Method, StatusCode};
use proptest::prelude::*;

use coltsfootport::h1::{
    BodyDecoder, Decoded, Framing, H1Error, LAST_CHUNK, encode_chunk, parse_request,
    parse_response, request_framing, response_framing, strip_hop_by_hop,
};

const MAX: usize = 16 * 1024;

fn request(text: &str) -> Result<Option<coltsfootport::h1::RequestHead>, H1Error> {
    parse_request(&mut BytesMut::from(text), MAX)
}

fn headers(text: &str) -> HeaderMap {
    let text = format!("GET / HTTP/1.1\r\n{text}\r\n");
    request(&text).expect("a head").expect("whole").headers
}

#[test]
fn heads_of_requests_are_parsed_or_refused() {
    struct Case {
        text: &'static str,
        keep_alive: Option<bool>,
    }
    let cases = [
        Case {
            text: "GET /x HTTP/1.1\r\nHost: a\r\n\r\n",
            keep_alive: Some(true),
        },
        Case {
            text: "\r\nGET /x HTTP/1.1\r\nHost: a\r\n\r\n",
            keep_alive: Some(true),
        },
        Case {
            text: "GET /x HTTP/1.1\r\nConnection: Close\r\n\r\n",
            keep_alive: Some(false),
        },
        Case {
            text: "GET /x HTTP/1.0\r\n\r\n",
            keep_alive: Some(false),
        },
        Case {
            text: "GET /x HTTP/1.0\r\nConnection: keep-alive\r\n\r\n",
            keep_alive: Some(true),
        },
        Case {
            text: "GET /x y HTTP/1.1\r\n\r\n",
            keep_alive: None,
        },
        Case {
            text: "GET /x HTTP/1.1\r\nBad Header: 1\r\n\r\n",
            keep_alive: None,
        },
        Case {
            text: "\u{1}\u{2}\u{3}\r\n\r\n",
            keep_alive: None,
        },
    ];
    for case in cases {
        let head = request(case.text).ok().flatten();
        assert_eq!(
            head.map(|head| head.keep_alive),
            case.keep_alive,
            "{:?}",
            case.text
        );
    }
    assert!(matches!(request("GET /x HT"), Ok(None)));
    let long = format!("GET /x HTTP/1.1\r\nA: {}\r\n\r\n", "a".repeat(MAX));
    assert_eq!(request(&long).err(), Some(H1Error::HeadTooLarge));
}

/// Guards against request smuggling, where a target runs a request that no caller sent.
///
/// With two lengths, or a length together with chunked encoding, two parsers can see the end of a body at different
/// positions; one of them then parses the rest of the body as a request.
#[test]
fn ambiguous_bodies_are_refused() {
    struct Case {
        headers: &'static str,
        framing: Result<Framing, H1Error>,
    }
    let cases = [
        Case {
            headers: "",
            framing: Ok(Framing::Length(0)),
        },
        Case {
            headers: "Content-Length: 7\r\n",
            framing: Ok(Framing::Length(7)),
        },
        Case {
            headers: "Content-Length: 7\r\nContent-Length: 7\r\n",
            framing: Ok(Framing::Length(7)),
        },
        Case {
            headers: "Transfer-Encoding: chunked\r\n",
            framing: Ok(Framing::Chunked),
        },
        Case {
            headers: "Content-Length: 7\r\nContent-Length: 8\r\n",
            framing: Err(H1Error::AmbiguousFraming),
        },
        Case {
            headers: "Content-Length: 7\r\nTransfer-Encoding: chunked\r\n",
            framing: Err(H1Error::AmbiguousFraming),
        },
        Case {
            headers: "Transfer-Encoding: gzip, chunked\r\n",
            framing: Err(H1Error::AmbiguousFraming),
        },
        Case {
            headers: "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n",
            framing: Err(H1Error::AmbiguousFraming),
        },
        Case {
            headers: "Content-Length: +7\r\n",
            framing: Err(H1Error::AmbiguousFraming),
        },
        Case {
            headers: "Content-Length: 7, 7\r\n",
            framing: Err(H1Error::AmbiguousFraming),
        },
        Case {
            headers: "Content-Length: 99999999999999999999999\r\n",
            framing: Err(H1Error::AmbiguousFraming),
        },
    ];
    for case in cases {
        assert_eq!(
            request_framing(&headers(case.headers)),
            case.framing,
            "{}",
            case.headers
        );
    }
}

#[test]
fn answers_without_a_length_end_with_their_connection() {
    let framing = |status, text: &str| {
        response_framing(
            &Method::GET,
            StatusCode::from_u16(status).expect("a status"),
            &headers(text),
        )
    };
    assert_eq!(framing(200, ""), Ok(Framing::UntilClose));
    assert_eq!(framing(204, ""), Ok(Framing::Length(0)));
    assert_eq!(
        framing(304, "Content-Length: 9\r\n"),
        Ok(Framing::Length(0))
    );
    let mut decoder = BodyDecoder::new(Framing::UntilClose);
    let mut buf = BytesMut::from("abc");
    assert_eq!(
        decoder.decode(&mut buf),
        Ok(Decoded::Data(Bytes::from("abc")))
    );
    assert_eq!(decoder.decode(&mut buf), Ok(Decoded::More));
    assert_eq!(decoder.finish(), Ok(()));
}

#[test]
fn bodies_that_end_early_are_cut() {
    for (framing, text) in [
        (Framing::Length(5), "abc"),
        (Framing::Chunked, "3\r\nabc\r\n"),
        (Framing::Chunked, "3\r\nabc\r\n0\r\n"),
        (Framing::Chunked, ""),
    ] {
        let mut decoder = BodyDecoder::new(framing);
        let mut buf = BytesMut::from(text);
        while matches!(decoder.decode(&mut buf), Ok(Decoded::Data(_))) {}
        assert_eq!(
            decoder.finish(),
            Err(H1Error::Truncated),
            "{framing:?} {text:?}"
        );
    }
}

#[test]
fn hop_by_hop_headers_are_removed() {
    let mut kept = headers(
        "Connection: close, X-Hop\r\nX-Hop: 1\r\nKeep-Alive: timeout=5\r\nTE: trailers\r\nContent-Length: 3\r\nX-End: 2\r\n",
    );
    strip_hop_by_hop(&mut kept);
    let names: Vec<&str> = kept.keys().map(|name| name.as_str()).collect();
    assert_eq!(names, ["x-end"]);
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 500, failure_persistence: None, ..ProptestConfig::default() })]

    /// A chunked body decodes to the same data however the input is split, and the bytes after it stay in the buffer.
    #[test]
    fn chunked_body_is_decoded_from_any_split(
        pieces in proptest::collection::vec(proptest::collection::vec(any::<u8>(), 1..50), 0..6),
        step in 1_usize..40,
    ) {
        let mut wire = Vec::new();
        for piece in &pieces {
            wire.extend_from_slice(&encode_chunk(&Bytes::from(piece.clone())));
        }
        wire.extend_from_slice(LAST_CHUNK);
        wire.extend_from_slice(b"NEXT");
        let mut decoder = BodyDecoder::new(Framing::Chunked);
        let (mut buf, mut body) = (BytesMut::new(), Vec::new());
        for part in wire.chunks(step) {
            buf.extend_from_slice(part);
            while let Decoded::Data(data) = decoder.decode(&mut buf).expect("chunks") {
                body.extend_from_slice(&data);
            }
        }
        prop_assert!(decoder.is_done());
        prop_assert_eq!(body, pieces.concat());
        prop_assert_eq!(&buf[..], b"NEXT");
    }

    /// A body decoded with a limit has the same data, and no part exceeds the limit; peer links reject larger parts.
    #[test]
    fn decoded_parts_respect_the_limit(
        body in proptest::collection::vec(any::<u8>(), 1..200),
        limit in 1_usize..40,
        framing in prop_oneof![Just(Framing::Chunked), Just(Framing::UntilClose), Just(Framing::Length(0))],
    ) {
        let (framing, wire) = match framing {
            Framing::Chunked => {
                let mut wire = encode_chunk(&Bytes::from(body.clone())).to_vec();
                wire.extend_from_slice(LAST_CHUNK);
                (framing, wire)
            }
            Framing::UntilClose => (framing, body.clone()),
            Framing::Length(_) => (Framing::Length(body.len() as u64), body.clone()),
        };
        let mut decoder = BodyDecoder::new(framing);
        let (mut buf, mut taken) = (BytesMut::from(&wire[..]), Vec::new());
        while let Decoded::Data(data) = decoder.decode_up_to(&mut buf, limit).expect("a body") {
            prop_assert!(data.len() <= limit);
            taken.extend_from_slice(&data);
        }
        prop_assert_eq!(taken, body);
    }

    /// Parsing of arbitrary bytes ends without a panic and yields no more data than the input has.
    #[test]
    fn arbitrary_bytes_are_parsed_without_panic(bytes in proptest::collection::vec(any::<u8>(), 0..400)) {
        let _ = parse_request(&mut BytesMut::from(&bytes[..]), 200);
        let _ = parse_response(&mut BytesMut::from(&bytes[..]), 200);
        let mut buf = BytesMut::from(&bytes[..]);
        let mut decoder = BodyDecoder::new(Framing::Chunked);
        let mut read = 0;
        while let Ok(Decoded::Data(data)) = decoder.decode(&mut buf) {
            read += data.len();
        }
        prop_assert!(read <= bytes.len());
    }
}
