//! Idempotency keys of callers, each bound to one operation ticket in the
//! store.
//!
//! The first request with a key binds a ticket to it, with a create-if-absent
//! operation in the store. Later requests with the key find this ticket and
//! claim it from its decider. Thus the store determines the ticket, and the
//! decider determines whether the operation may run.

use sha2::Digest;
use sha2::Sha256;
use xxhash_rust::xxh3::xxh3_64;

use crate::config::hex;
use crate::names::Account;
use crate::names::Instance;
use crate::names::Route;

/// Maximum length of an idempotency key in bytes.
pub const MAX_IDEMPOTENCY_KEY_BYTES: usize = 255;

/// Returns the name under which the store holds the binding of an idempotency
/// key.
pub fn binding_name(account: Option<&Account>, route: &Route, key: &str) -> String {
    let mut hasher = Sha256::new();
    for part in [account.map_or("", Account::as_str), route.as_str(), key] {
        hasher.update((part.len() as u64).to_be_bytes());
        hasher.update(part);
    }
    hex(&hasher.finalize())
}

/// Chooses the instance that writes the binding `binding_name` to the store, by
/// rendezvous hashing over at most `max_writers` of the live instances.
pub fn choose_writer<'a>(
    binding_name: &str,
    live: &'a [Instance],
    max_writers: usize,
) -> Option<&'a Instance> {
    choose_writers(live, max_writers)
        .into_iter()
        .max_by_key(|i| xxh3_64(format!("{binding_name}/{i}").as_bytes()))
}

/// Chooses at most `max_writers` instances that write bindings to the store.
///
/// With few writers the batches are large: the number of store writes per
/// second is bounded by the number of writers and the batching interval, not by
/// the number of requests.
pub fn choose_writers(live: &[Instance], max_writers: usize) -> Vec<&Instance> {
    let mut chosen: Vec<&Instance> = live.iter().collect();
    chosen.sort_by_key(|i| std::cmp::Reverse((xxh3_64(i.as_str().as_bytes()), i.as_str())));
    chosen.truncate(max_writers);
    chosen
}
