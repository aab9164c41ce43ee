//! HTTP client for targets, which are model engines or other services.
//!
//! [`Client`] opens a connection for each request, [`connection_pool`] reuses
//! connections. Both send a request once and never retry it. [`headers`] lists
//! the headers that are forwarded between callers and targets, [`cache`] and
//! [`fetch_load`] read what model engines publish.

pub mod cache;
mod client;
pub mod connection_pool;
mod crash;
mod document;
mod error;
pub mod headers;
mod load;
mod probe;
mod stream;

pub use client::Client;
pub use client::Connection;
pub use client::TargetRequest;
pub use client::TargetResponse;
pub use crash::refuses_connections;
pub use error::Error;
pub use load::fetch_load;
pub use probe::ProbeConnection;
