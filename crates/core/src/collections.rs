//! Hash maps and sets with a fast, unkeyed hasher.

/// Hash map with [`FastHasher`]. It doesn't resist collision attacks, so keys must not be controlled by callers outside
/// the fleet.
pub type Map<K, V> = rustc_hash::FxHashMap<K, V>;

/// Hash set with [`FastHasher`]. It doesn't resist collision attacks, so keys must not be controlled by callers outside
/// the fleet.
pub type Set<T> = rustc_hash::FxHashSet<T>;

/// Hasher of [`Map`] and [`Set`]. It gives the same hashes on all nodes that run the same build.
pub type FastHasher = rustc_hash::FxHasher;
