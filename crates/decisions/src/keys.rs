//! Callers' keys: which are withdrawn, and where their text may not go.

use std::collections::BTreeSet;
use std::fmt;
use std::ops::Deref;
use std::sync::Arc;

use xxhash_rust::xxh3::xxh3_64;

use crate::config::Config;
use crate::config::KEY_PREFIX;
use crate::config::split_key;
use crate::names::KeyId;

/// Hexadecimal digits of a key's public part.
pub const ID_DIGITS: usize = 16;

/// Hexadecimal digits of a key's secret.
pub const SECRET_DIGITS: usize = 48;

/// Passes of decoding in which a key is looked for.
const DECODE_PASSES: usize = 3;

/// Shortest secret that is looked for by itself.
const MIN_SECRET_LEN: usize = 16;

/// A key as a caller showed it; never printed.
#[derive(Clone, PartialEq, Eq, Default)]
pub struct PresentedKey(Arc<str>);

impl PresentedKey {
    /// Returns the key's public part.
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

/// Looks for keys in what would be sent on.
#[derive(Debug)]
pub struct KeyDetector<'a> {
    secret: Option<&'a [u8]>,
}

impl<'a> KeyDetector<'a> {
    /// Looks for the key that was shown, and for anything of a key's form.
    pub fn new(presented: Option<&'a PresentedKey>) -> Self {
        let secret = presented
            .and_then(|key| split_key(key))
            .map(|(_, secret)| secret.as_bytes())
            .filter(|secret| secret.len() >= MIN_SECRET_LEN);
        Self { secret }
    }

    /// Tells whether a key stands in `text`, as it is or behind percent-coding
    /// or JSON escapes.
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
    let whole = prefix + ID_DIGITS + 1 + SECRET_DIGITS;
    text.windows(whole).any(|w| {
        let (head, rest) = w.split_at(prefix);
        let (id, rest) = rest.split_at(ID_DIGITS);
        head.eq_ignore_ascii_case(KEY_PREFIX.as_bytes())
            && rest[0] == b'.'
            && id.iter().all(u8::is_ascii_hexdigit)
            && rest[1..].iter().all(u8::is_ascii_hexdigit)
    })
}

/// Decodes percent-coding and JSON escapes once; `None` if there are none.
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

/// Reads `%XX` or `\u00XX` at the start of `text`: the byte and its length.
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

/// The keys that are withdrawn, as far as this instance knows.
///
/// # Invariants
///
/// `ids` only grows. `pending` is the part of `ids` that the configuration in
/// force does not hold yet; it is what siblings tell each other.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct WithdrawnKeys {
    ids: BTreeSet<KeyId>,
    pending: BTreeSet<KeyId>,
}

impl WithdrawnKeys {
    /// Tells whether a key is withdrawn.
    pub fn contains(&self, id: &KeyId) -> bool {
        self.ids.contains(id)
    }

    /// Takes in what an operator or a sibling says; returns what is new.
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

    /// Takes in a configuration that is durable; returns what is new.
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

    /// Forgets that a key is to be made durable, as no configuration holds it.
    /// It stays withdrawn here.
    pub fn drop_pending(&mut self, id: &KeyId) {
        self.pending.remove(id);
    }

    /// Returns what is not durable yet.
    pub fn pending(&self) -> Vec<KeyId> {
        self.pending.iter().cloned().collect()
    }

    /// Returns a digest of [`WithdrawnKeys::pending`], which siblings compare.
    pub fn pending_digest(&self) -> u64 {
        self.pending
            .iter()
            .map(|id| xxh3_64(id.as_str().as_bytes()))
            .fold(0, |a, b| a ^ b)
    }
}

/// Writes the withdrawals in `ids` into a configuration; returns those whose
/// key the configuration does not hold.
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
