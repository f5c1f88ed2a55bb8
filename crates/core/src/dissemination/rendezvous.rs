//! Rendezvous hashing: all nodes that know the same names compute the same ranking.

/// Parameters of 64-bit FNV-1a.
const OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
const PRIME: u64 = 0x0000_0100_0000_01b3;

/// Stable hash of a list of byte strings. It must not differ between builds, so that nodes of different versions agree.
pub(super) fn weight(parts: &[&[u8]]) -> u64 {
    finalize(
        parts
            .iter()
            .fold(OFFSET_BASIS, |hash, part| extend(hash, part)),
    )
}

/// Returns the `count` names with the highest weight in `scope`, in descending order.
pub(super) fn top_ranked<'a, I>(scope: &[&[u8]], names: I, count: usize) -> Vec<&'a str>
where
    I: IntoIterator<Item = &'a str>,
{
    let base = scope
        .iter()
        .fold(OFFSET_BASIS, |hash, part| extend(hash, part));
    let weighted = |name: &'a str| (finalize(extend(base, name.as_bytes())), name);
    let mut ranked: Vec<(u64, &str)> = names.into_iter().map(weighted).collect();
    let by_rank = |a: &(u64, &str), b: &(u64, &str)| b.cmp(a);
    if ranked.len() > count && count > 0 {
        ranked.select_nth_unstable_by(count - 1, by_rank);
    }
    ranked.truncate(count);
    ranked.sort_unstable_by(by_rank);
    ranked.into_iter().map(|(_, name)| name).collect()
}

/// Adds one part and a terminator, so that the parts `ab`, `c` and `a`, `bc` hash differently.
fn extend(hash: u64, part: &[u8]) -> u64 {
    let step = |hash: u64, byte: u8| (hash ^ u64::from(byte)).wrapping_mul(PRIME);
    step(part.iter().copied().fold(hash, step), 0xff)
}

/// Mixes the high bits, which FNV-1a distributes poorly on short inputs (finalizer of splitmix64).
fn finalize(mut hash: u64) -> u64 {
    hash = (hash ^ (hash >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    hash = (hash ^ (hash >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    hash ^ (hash >> 31)
}
