//! Records of API keys, and the digests that secrets are compared with.

use std::sync::LazyLock;

use serde::Deserialize;
use serde::Serialize;
use sha2::Digest;
use sha2::Sha256;
use subtle::ConstantTimeEq;

use crate::keys::SECRET_DIGITS;
use crate::names::Account;

/// Record of an API key. It contains a digest but not the key itself.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct KeyEntry {
    /// Account that the key belongs to.
    pub account: Account,
    /// Salt of the digest, in hexadecimal digits.
    pub salt: String,
    /// SHA-256 of salt and secret, in hexadecimal digits.
    pub digest: String,
    /// Whether the key was withdrawn, that is revoked. This cannot be undone.
    #[serde(default)]
    pub withdrawn: bool,
}

impl KeyEntry {
    /// Creates the record of a new key.
    pub fn new(account: Account, salt: &str, secret: &str) -> Self {
        Self {
            account,
            salt: salt.to_owned(),
            digest: digest(salt, secret),
            withdrawn: false,
        }
    }

    /// Returns a dummy record, with which the secret of an unknown key is
    /// compared so that the response time does not reveal that it is unknown.
    pub(super) fn dummy() -> &'static Self {
        static DUMMY: LazyLock<KeyEntry> =
            LazyLock::new(|| KeyEntry::new("".into(), &"0".repeat(SECRET_DIGITS), ""));
        &DUMMY
    }

    /// Compares a secret with the stored digest in constant time.
    pub fn matches(&self, secret: &str) -> bool {
        let expected = self.digest.as_bytes();
        bool::from(digest(&self.salt, secret).as_bytes().ct_eq(expected))
    }
}

fn digest(salt: &str, secret: &str) -> String {
    let mut hasher = Sha256::new();
    hasher.update(salt.as_bytes());
    hasher.update([0]);
    hasher.update(secret.as_bytes());
    hex(&hasher.finalize())
}

/// Compares an operator's token with its expected SHA-256 digest in constant
/// time.
pub fn token_matches(token: &str, expected_hash: &str) -> bool {
    let found = hex(&Sha256::digest(token.as_bytes()));
    bool::from(found.as_bytes().ct_eq(expected_hash.as_bytes()))
}

/// Encodes bytes as lowercase hexadecimal digits.
pub fn hex(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 16] = b"0123456789abcdef";
    let digits = |b: &u8| [b >> 4, b & 15].map(|d| char::from(DIGITS[usize::from(d)]));
    bytes.iter().flat_map(digits).collect()
}

/// Prefix of every key, which allows searching for leaked keys.
pub const KEY_PREFIX: &str = "ck_";

/// Splits a key into its public part and its secret.
pub fn split_key(key: &str) -> Option<(&str, &str)> {
    key.strip_prefix(KEY_PREFIX)?.split_once('.')
}
