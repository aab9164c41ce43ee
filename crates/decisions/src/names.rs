//! Names and identifiers as shared immutable strings, with a type for each
//! kind of name.

use std::borrow::Borrow;
use std::fmt;
use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

macro_rules! names {
    ($($(#[$doc:meta])* $name:ident;)*) => {
        $(
            $(#[$doc])*
            #[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
            #[derive(Serialize, Deserialize)]
            #[serde(transparent)]
            pub struct $name(Arc<str>);

            impl $name {
                /// Returns the name as a string slice.
                pub fn as_str(&self) -> &str {
                    &self.0
                }
            }

            impl From<&str> for $name {
                fn from(s: &str) -> Self {
                    Self(Arc::from(s))
                }
            }

            impl From<String> for $name {
                fn from(s: String) -> Self {
                    Self(Arc::from(s))
                }
            }

            impl Borrow<str> for $name {
                fn borrow(&self) -> &str {
                    &self.0
                }
            }

            impl AsRef<str> for $name {
                fn as_ref(&self) -> &str {
                    &self.0
                }
            }

            impl fmt::Display for $name {
                fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                    f.write_str(&self.0)
                }
            }
        )*
    };
}

names! {
    /// Name of a client account.
    Account;
    /// Identifier of a caller's key: the part of the key that is not secret.
    KeyId;
    /// Name of a route in the operators' configuration.
    Route;
    /// Name of a pool in the operators' configuration.
    Pool;
    /// Name of a target, a back-end server to which requests are sent.
    Target;
    /// Name of a region.
    Region;
    /// Name of an availability zone.
    Zone;
    /// Name of an instance of the gateway.
    Instance;
    /// Name of a model as used by callers.
    Model;
    /// Name of a fine-tuning adapter of a model, as used by engines.
    Adapter;
    /// Version of a model as used by engines.
    ModelVersion;
    /// Version of a target's software, as the target states it. Versions have no
    /// order.
    SoftwareVersion;
    /// Identifier of a request, unique over all instances.
    RequestId;
    /// Name of a header, or of a field in a JSON body.
    FieldName;
}

/// Largest length of a name in the configuration, in bytes.
pub const MAX_NAME_LEN: usize = 128;

/// Largest length of a name in certificates, in bytes.
pub const MAX_CERTIFICATE_NAME_LEN: usize = 63;

/// Checks a name in the configuration.
///
/// # Errors
///
/// Fails with a description of what is wrong with the name.
pub fn check_name(name: &str) -> Result<(), String> {
    let allowed = |c: char| c.is_ascii_alphanumeric() || "-_.:/@".contains(c);
    if name.is_empty() || name.len() > MAX_NAME_LEN {
        return Err(format!("a name has 1 to {MAX_NAME_LEN} characters"));
    }
    if !name.chars().all(allowed) {
        return Err("a name has letters, digits and -_.:/@ only".to_owned());
    }
    Ok(())
}

/// Checks a name that is written into certificates: a DNS label in lower case.
///
/// # Errors
///
/// Fails with a description of what is wrong with the name.
pub fn check_certificate_name(name: &str) -> Result<(), String> {
    let allowed = |c: char| c.is_ascii_lowercase() || c.is_ascii_digit() || c == '-';
    if name.is_empty() || name.len() > MAX_CERTIFICATE_NAME_LEN {
        return Err(format!(
            "a name in certificates has 1 to {MAX_CERTIFICATE_NAME_LEN} characters"
        ));
    }
    if !name.chars().all(allowed) || name.starts_with('-') || name.ends_with('-') {
        let reason = "a name in certificates has small letters, digits and inner hyphens only";
        return Err(reason.to_owned());
    }
    Ok(())
}
