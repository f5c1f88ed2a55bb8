//! Rendezvous hashing: every node that knows the same names computes the same order.

/// FNV-1a parameters for 64 bits.
const OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
const PRIME: u64 = 0x0000_0100_0000_01b3;

/// Stable hash of a list of byte strings; the same in every build, so that nodes of mixed versions agree.
pub(super) fn weight(parts: &[&[u8]]) -> u64 {
    finish(
        parts
            .iter()
            .fold(OFFSET_BASIS, |hash, part| extend(hash, part)),
    )
}

/// The `count` names with the highest weight for `purpose`, best first.
pub(super) fn best<'a, I>(purpose: &[&[u8]], names: I, count: usize) -> Vec<&'a str>
where
    I: IntoIterator<Item = &'a str>,
{
    let base = purpose
        .iter()
        .fold(OFFSET_BASIS, |hash, part| extend(hash, part));
    let weigh = |name: &'a str| (finish(extend(base, name.as_bytes())), name);
    let mut ranked: Vec<(u64, &str)> = names.into_iter().map(weigh).collect();
    let by_rank = |a: &(u64, &str), b: &(u64, &str)| b.cmp(a);
    if ranked.len() > count && count > 0 {
        ranked.select_nth_unstable_by(count - 1, by_rank);
    }
    ranked.truncate(count);
    ranked.sort_unstable_by(by_rank);
    ranked.into_iter().map(|(_, name)| name).collect()
}

/// Takes in one part and its end, so that `ab`, `c` and `a`, `bc` differ.
fn extend(hash: u64, part: &[u8]) -> u64 {
    let step = |hash: u64, byte: u8| (hash ^ u64::from(byte)).wrapping_mul(PRIME);
    step(part.iter().copied().fold(hash, step), 0xff)
}

/// Spreads the weak high bits of FNV-1a on short inputs (the finaliser of splitmix64).
fn finish(mut hash: u64) -> u64 {
    hash = (hash ^ (hash >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    hash = (hash ^ (hash >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    hash ^ (hash >> 31)
}
