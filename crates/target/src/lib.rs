//! The targets: model engines and plain services, over HTTP.
//!
//! [`Client`] opens connections and sends a request once; nothing here
//! repeats a request. [`headers`] lists what of a caller's headers may pass.

pub mod cache;
mod client;
pub mod connection_pool;
mod document;
mod error;
pub mod headers;
mod load;

pub use client::Client;
pub use client::Connection;
pub use client::TargetRequest;
pub use client::TargetResponse;
pub use error::Error;
pub use load::fetch_load;
