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
    /// A request, unique over all instances.
    RequestId;
}
