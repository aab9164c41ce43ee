//! The platform's lagging list of live and leaving instances, and its
//! directory for clients, over a service catalog's HTTP API.
//!
//! [`Registry`] is the client; [`api`] has the documents that go over the
//! wire. What the list says is a hint: an instance that it calls leaving gets
//! no new work, but its silence proves nothing.

pub mod api;
mod client;
mod error;

pub use client::Listed;
pub use client::Registry;
pub use error::Error;
