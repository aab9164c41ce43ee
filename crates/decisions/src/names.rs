//! Names as shared immutable strings, one type for each kind of thing named.

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
    /// A client account.
    Account;
    /// The public part of a caller's key.
    KeyId;
    /// A route of the operators' configuration.
    Route;
    /// A pool of the operators' configuration.
    Pool;
    /// A target, which answers requests.
    Target;
    /// A region.
    Region;
    /// An availability zone.
    Zone;
    /// An entry instance of the gateway.
    Instance;
    /// A model as callers name it.
    Model;
    /// An adapter of a model, as engines name it.
    Adapter;
    /// A version of a model, as engines name it.
    ModelVersion;
    /// A request, unique over all instances.
    RequestId;
    /// A header or a field of a body.
    FieldName;
}

/// Longest name in characters.
pub const MAX_NAME_LEN: usize = 128;

/// Longest name that goes into certificates, in characters.
pub const MAX_LABEL_LEN: usize = 63;

/// Checks a name of the configuration.
///
/// # Errors
///
/// Says what is wrong with it.
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

/// Checks a name that goes into certificates.
///
/// # Errors
///
/// Says what is wrong with it.
pub fn check_certificate_name(name: &str) -> Result<(), String> {
    let allowed = |c: char| c.is_ascii_lowercase() || c.is_ascii_digit() || c == '-';
    if name.is_empty() || name.len() > MAX_LABEL_LEN {
        return Err(format!(
            "a name in certificates has 1 to {MAX_LABEL_LEN} characters"
        ));
    }
    if !name.chars().all(allowed) || name.starts_with('-') || name.ends_with('-') {
        let reason = "a name in certificates has small letters, digits and inner hyphens only";
        return Err(reason.to_owned());
    }
    Ok(())
}
