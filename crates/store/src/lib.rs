//! The platform's key-value store, over the JSON form of its version 3 API:
//! compare-and-swap, leases, watches.
//!
//! [`Store`] is the client, which counts and paces its calls; [`Lease`] is a
//! typestate; [`Follower`] keeps up with the keys of a prefix. [`api`] has the
//! documents that go over the wire.

pub mod api;
mod batch;
mod calls;
mod client;
mod error;
mod gate;
mod lease;
mod swap;
mod watch;

pub use batch::Created;
pub use batch::MAX_BATCH;
pub use calls::Calls;
pub use calls::Kind;
pub use client::Entry;
pub use client::Listing;
pub use client::Store;
pub use error::Error;
pub use gate::Budget;
pub use gate::Gate;
pub use gate::Permit;
pub use lease::Held;
pub use lease::Lapsed;
pub use lease::Lease;
pub use lease::Renewal;
pub use swap::Put;
pub use swap::Settled;
pub use swap::Swap;
pub use swap::Write;
pub use watch::Change;
pub use watch::Follower;
pub use watch::Update;
pub use watch::Watch;
