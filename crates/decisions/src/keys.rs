//! API keys of callers: revocation, and detection of keys in data that must not
//! contain them. `withdrawn` is the name of a revoked key in the configuration
//! format and in messages.

use std::collections::BTreeSet;
use std::fmt;
use std::ops::Deref;
use std::sync::Arc;

use xxhash_rust::xxh3::xxh3_64;

use crate::config::Config;
use crate::config::KEY_PREFIX;
use crate::config::split_key;
use crate::names::KeyId;

/// Length of a key's public part in hexadecimal digits.
pub const KEY_ID_DIGITS: usize = 16;

/// Length of a key's secret in hexadecimal digits.
pub const SECRET_DIGITS: usize = 48;

/// Maximum levels of nested escapes that are decoded in the search for a key.
const DECODE_PASSES: usize = 3;

/// Minimum length in bytes of a secret that is searched for without its prefix
/// and public part.
const MIN_SECRET_LEN: usize = 16;

/// A key as presented by a caller. Its debug output is redacted.
#[derive(Clone, PartialEq, Eq, Default)]
pub struct PresentedKey(Arc<str>);

impl PresentedKey {
    /// Returns the key's public part, or `None` if the text does not have the
    /// form of a key.
    pub fn id(&self) -> Option<KeyId> {
        split_key(&self.0).map(|(id, _)| KeyId::from(id))
    }
}

impl From<&str> for PresentedKey {
    fn from(s: &str) -> Self {
        Self(Arc::from(s))
    }
}

impl Deref for PresentedKey {
    type Target = str;

    fn deref(&self) -> &str {
        &self.0
    }
}

impl fmt::Debug for PresentedKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("PresentedKey(redacted)")
    }
}

/// Searches data for API keys, which must not leave the gateway in it.
#[derive(Debug)]
pub struct KeyDetector<'a> {
    secret: Option<&'a [u8]>,
}

impl<'a> KeyDetector<'a> {
    /// Creates a detector for the presented key and for any text in the form of
    /// a key.
    pub fn new(presented: Option<&'a PresentedKey>) -> Self {
        let secret = presented
            .and_then(|key| split_key(key))
            .map(|(_, secret)| secret.as_bytes())
            .filter(|secret| secret.len() >= MIN_SECRET_LEN);
        Self { secret }
    }

    /// Returns true if `text` contains a key, in plain form or with
    /// percent-encoding or JSON escapes.
    pub fn contains_key(&self, text: &[u8]) -> bool {
        if self.contains_unescaped_key(text) {
            return true;
        }
        let mut decoded = decode(text);
        for _ in 1..DECODE_PASSES {
            let Some(text) = decoded else {
                return false;
            };
            if self.contains_unescaped_key(&text) {
                return true;
            }
            decoded = decode(&text);
        }
        decoded.is_some_and(|text| self.contains_unescaped_key(&text))
    }

    fn contains_unescaped_key(&self, text: &[u8]) -> bool {
        let secret = self.secret.is_some_and(|secret| {
            text.windows(secret.len())
                .any(|w| w.eq_ignore_ascii_case(secret))
        });
        secret || has_key_form(text)
    }
}

fn has_key_form(text: &[u8]) -> bool {
    let prefix = KEY_PREFIX.len();
    let whole = prefix + KEY_ID_DIGITS + 1 + SECRET_DIGITS;
    text.windows(whole).any(|w| {
        let (head, rest) = w.split_at(prefix);
        let (id, rest) = rest.split_at(KEY_ID_DIGITS);
        head.eq_ignore_ascii_case(KEY_PREFIX.as_bytes())
            && rest[0] == b'.'
            && id.iter().all(u8::is_ascii_hexdigit)
            && rest[1..].iter().all(u8::is_ascii_hexdigit)
    })
}

/// Decodes one level of percent-encoding and JSON escapes. Returns `None` if
/// there are none.
fn decode(text: &[u8]) -> Option<Vec<u8>> {
    let mut out = Vec::new();
    let mut rest = text;
    let mut found = false;
    while let Some(at) = rest.iter().position(|b| matches!(b, b'%' | b'\\')) {
        let (plain, tail) = rest.split_at(at);
        out.extend_from_slice(plain);
        match parse_escape(tail) {
            Some((byte, len)) => {
                out.push(byte);
                rest = &tail[len..];
                found = true;
            }
            None => {
                out.push(tail[0]);
                rest = &tail[1..];
            }
        }
    }
    out.extend_from_slice(rest);
    found.then_some(out)
}

/// Parses `%XX` or `\u00XX` at the start of `text`. Returns the byte and the
/// length of the escape sequence.
fn parse_escape(text: &[u8]) -> Option<(u8, usize)> {
    let digits = match text {
        [b'%', digits @ ..] => digits,
        [b'\\', b'u', b'0', b'0', digits @ ..] => digits,
        _ => return None,
    };
    let digits = std::str::from_utf8(digits.get(..2)?).ok()?;
    let byte = u8::from_str_radix(digits, 16).ok()?;
    Some((byte, if text[0] == b'%' { 3 } else { 6 }))
}

/// The revoked keys that this instance knows of.
///
/// # Invariants
///
/// `ids` only grows. `pending` contains those of `ids` that the configuration
/// in force does not yet mark as revoked; instances exchange this set.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct WithdrawnKeys {
    ids: BTreeSet<KeyId>,
    pending: BTreeSet<KeyId>,
}

impl WithdrawnKeys {
    /// Returns true if a key is revoked.
    pub fn contains(&self, id: &KeyId) -> bool {
        self.ids.contains(id)
    }

    /// Adds keys revoked by an operator or reported by another instance.
    /// Returns those that were not known as revoked.
    pub fn add(&mut self, ids: impl IntoIterator<Item = KeyId>) -> Vec<KeyId> {
        let mut new = Vec::new();
        for id in ids {
            if self.ids.insert(id.clone()) {
                self.pending.insert(id.clone());
                new.push(id);
            }
        }
        new
    }

    /// Adds the revoked keys of a durable configuration, which are then no
    /// longer pending. Returns those that were not known as revoked.
    pub fn merge_config(&mut self, config: &Config) -> Vec<KeyId> {
        let mut new = Vec::new();
        for (id, _) in config.keys.iter().filter(|(_, key)| key.withdrawn) {
            self.pending.remove(id);
            if self.ids.insert(id.clone()) {
                new.push(id.clone());
            }
        }
        new
    }

    /// Removes a key from the pending set because no configuration contains it.
    /// This instance still treats it as revoked.
    pub fn drop_pending(&mut self, id: &KeyId) {
        self.pending.remove(id);
    }

    /// Returns the revoked keys that are not yet durable.
    pub fn pending(&self) -> Vec<KeyId> {
        self.pending.iter().cloned().collect()
    }

    /// Returns a digest of [`WithdrawnKeys::pending`] that instances compare.
    pub fn pending_digest(&self) -> u64 {
        self.pending
            .iter()
            .map(|id| xxh3_64(id.as_str().as_bytes()))
            .fold(0, |a, b| a ^ b)
    }
}

/// Marks the keys `ids` as revoked in a configuration. Returns those that the
/// configuration does not contain.
pub fn withdraw(config: &mut Config, ids: &[KeyId]) -> Vec<KeyId> {
    let mut unknown = Vec::new();
    for id in ids {
        match config.keys.get_mut(id) {
            Some(key) => key.withdrawn = true,
            None => unknown.push(id.clone()),
        }
    }
    unknown
}
