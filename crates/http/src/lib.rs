//! HTTP client and server shared by the packages that talk to a store, to the
//! service registry or to operators.
//!
//! Both are for short JSON requests and responses, and for event streams. The
//! packages for callers and targets have their own, as they forward bodies while
//! these arrive.

mod accept;
mod client;
mod connections;
mod endpoint;
mod held_body;
mod keepalive;
mod read_part;
mod server;

pub use accept::ACCEPT_PAUSE;
pub use accept::is_out_of_descriptors;
pub use client::BufferedResponse;
pub use client::Client;
pub use client::Error;
pub use connections::ConnectionSlot;
pub use connections::Connections;
pub use connections::Opened;
pub use connections::Usage;
pub use endpoint::serve_endpoint;
pub use held_body::BodyError;
pub use held_body::read_held_body;
pub use keepalive::enable_idle_keepalive;
pub use keepalive::enable_keepalive;
pub use read_part::poll_read_part;
pub use server::Body;
pub use server::ResetConnection;
pub use server::empty_response;
pub use server::full_body;
pub use server::json_response;
pub use server::read_held_json;
pub use server::read_json;
pub use server::serve;
