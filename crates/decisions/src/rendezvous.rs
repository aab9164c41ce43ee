//! Rendezvous hashing of keys to names.

use xxhash_rust::xxh3::Xxh3;

/// Returns the weight of a name for a key.
pub fn weight(key: &str, name: &str) -> u64 {
    let mut hasher = Xxh3::new();
    hasher.update(key.as_bytes());
    hasher.update(&[0]);
    hasher.update(name.as_bytes());
    hasher.digest()
}

/// Returns the `count` names with the highest weights for a key, highest first.
///
/// Adding or removing a name changes the result only for the keys whose result
/// includes that name.
pub fn top_names<'a, N, I>(key: &str, names: I, count: usize) -> Vec<&'a N>
where
    N: AsRef<str> + Ord,
    I: IntoIterator<Item = &'a N>,
{
    let mut names: Vec<_> = names
        .into_iter()
        .map(|name| (weight(key, name.as_ref()), name))
        .collect();
    names.sort_unstable_by(|a, b| b.cmp(a));
    names.truncate(count);
    names.into_iter().map(|(_, name)| name).collect()
}
