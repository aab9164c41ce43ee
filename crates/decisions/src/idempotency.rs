//! Callers' idempotency keys, each bound to one operation ticket in the store.
//!
//! The first use of a key binds a ticket to it by create-if-absent; whoever
//! uses the key again finds that ticket and claims it from its issuer. The
//! store so decides which ticket it is, and the issuer whether it runs.

use sha2::Digest;
use sha2::Sha256;
use xxhash_rust::xxh3::xxh3_64;

use crate::config::hex;
use crate::names::Account;
use crate::names::Instance;
use crate::names::Route;

/// Longest key that is taken, in bytes.
pub const MAX_KEY_BYTES: usize = 255;

/// Returns the name under which a key's ticket stands in the store.
pub fn binding_key(account: Option<&Account>, route: &Route, key: &str) -> String {
    let mut hasher = Sha256::new();
    for part in [account.map_or("", Account::as_str), route.as_str(), key] {
        hasher.update((part.len() as u64).to_be_bytes());
        hasher.update(part);
    }
    hex(&hasher.finalize())
}

/// Chooses the instance that writes a name to the store, by rendezvous
/// hashing over at most `writers` of the live instances.
///
/// Few writers make large batches: the writes a second are bounded by the
/// writers and their batch time, not by the requests.
pub fn choose_writer<'a>(name: &str, live: &'a [Instance], writers: usize) -> Option<&'a Instance> {
    choose_writers(live, writers)
        .into_iter()
        .max_by_key(|i| xxh3_64(format!("{name}/{i}").as_bytes()))
}

/// Chooses the instances that write names to the store.
pub fn choose_writers(live: &[Instance], writers: usize) -> Vec<&Instance> {
    let mut chosen: Vec<&Instance> = live.iter().collect();
    chosen.sort_by_key(|i| std::cmp::Reverse((xxh3_64(i.as_str().as_bytes()), i.as_str())));
    chosen.truncate(writers);
    chosen
}
