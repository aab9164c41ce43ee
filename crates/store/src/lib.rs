//! The platform's key-value store, over the JSON form of its version 3 API:
//! compare-and-swap, leases, watches.
//!
//! [`Store`] is the client; [`api`] has the documents that go over the wire.

pub mod api;
mod batch;
mod client;
mod error;

pub use batch::Created;
pub use batch::MAX_BATCH;
pub use client::Entry;
pub use client::Store;
pub use client::Swap;
pub use error::Error;
