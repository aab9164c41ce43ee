//! The targets: model engines and plain services, over HTTP.
//!
//! [`Client`] opens connections and sends a request once; nothing here
//! repeats a request. [`headers`] lists what of a caller's headers may pass.

pub mod cache;
mod client;
mod document;
mod error;
pub mod headers;
pub mod kept;
mod load;

pub use client::Answer;
pub use client::Client;
pub use client::Connection;
pub use client::Outbound;
pub use error::Error;
pub use load::load;
