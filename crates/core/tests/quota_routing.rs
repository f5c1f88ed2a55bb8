//! Selection of the home that receives a claim.

use std::collections::BTreeMap;
use std::net::{IpAddr, Ipv4Addr};
use std::time::Instant;

use coltsfootport_core::workspace::{QuotaClaim, QuotaRouter, QuotaUsage};
use smol_str::SmolStr;

fn claim(workspace: &str) -> QuotaClaim {
    let usage = QuotaUsage {
        workspace: workspace.into(),
        asked: 1,
        used: 1,
    };
    QuotaClaim {
        usage,
        first_request_at: Instant::now(),
    }
}

fn nine_nodes() -> Vec<(IpAddr, SmolStr)> {
    let nodes = (1..=9).map(|host| {
        let domain = ["a", "b", "c"][usize::from(host) % 3];
        (
            IpAddr::V4(Ipv4Addr::new(10, 0, 0, host)),
            SmolStr::new(domain),
        )
    });
    nodes.collect()
}

/// Guards against unequal load on the remaining homes if one of three does not answer: if one of them got all its
/// claims, that one would run into debt while the other has savings.
#[test]
fn claims_of_a_silent_home_are_spread_over_the_others() {
    let mut router = QuotaRouter::new(5);
    router.set_nodes(nine_nodes());
    let silent = router.homes(&"w".into())[0];
    let mut received: BTreeMap<IpAddr, u32> = BTreeMap::new();
    for _ in 0..60 {
        let mut next = router.route(claim("w"));
        while let Ok((home, routed)) = next {
            if home != silent {
                *received.entry(home).or_default() += 1;
                break;
            }
            next = router.route_to_next(routed);
        }
    }
    let counts: Vec<u32> = received.into_values().collect();
    assert_eq!(counts, [30, 30]);
}

/// Guards against refusals within a quota: with a counter shared by all workspaces, the claims of a busy workspace
/// could send all claims of another one to the same home.
#[test]
fn each_workspace_tells_its_homes_in_turn_whatever_others_do() {
    let nodes = nine_nodes();
    for interleaved in 0..8 {
        let mut router = QuotaRouter::new(5);
        router.set_nodes(nodes.clone());
        let mut received: BTreeMap<IpAddr, u32> = BTreeMap::new();
        for _ in 0..30 {
            for _ in 0..interleaved {
                router.route(claim("busy")).expect("a home");
            }
            let (home, _) = router.route(claim("other")).expect("a home");
            *received.entry(home).or_default() += 1;
        }
        let counts: Vec<u32> = received.into_values().collect();
        assert_eq!(
            counts,
            [10, 10, 10],
            "{interleaved} claims of the busy workspace to each"
        );
    }
}
