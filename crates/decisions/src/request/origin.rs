//! Where requests come from, as far as it limits what may be done with them.

use super::Direct;
use super::Forwarded;

mod sealed {
    pub trait Sealed {}
}

/// Origin of a request.
pub trait Origin: sealed::Sealed + Send + Sync + 'static {
    /// Whether the request may be forwarded to a sibling.
    const MAY_BE_FORWARDED: bool;
}

impl sealed::Sealed for Direct {}

impl Origin for Direct {
    const MAY_BE_FORWARDED: bool = true;
}

impl sealed::Sealed for Forwarded {}

impl Origin for Forwarded {
    const MAY_BE_FORWARDED: bool = false;
}
