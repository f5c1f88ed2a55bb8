//! Hash maps and sets with the project's hasher.

/// A hash map with a fast hasher; keys must not be chosen freely by callers outside the fleet.
pub type Map<K, V> = rustc_hash::FxHashMap<K, V>;

/// A hash set with a fast hasher; keys must not be chosen freely by callers outside the fleet.
pub type Set<T> = rustc_hash::FxHashSet<T>;

/// The hasher of both; the same on all nodes of one build.
pub type FastHasher = rustc_hash::FxHasher;
