//! What the packages of HTTP peers share: a client for short JSON exchanges
//! and a server loop. Callers and targets have their own, for streams.

mod client;
mod probe;
mod server;

pub use client::Client;
pub use client::Error;
pub use client::Response;
pub use probe::probe_idle;
pub use server::Body;
pub use server::Reset;
pub use server::empty;
pub use server::full;
pub use server::json;
pub use server::read_json;
pub use server::run;
