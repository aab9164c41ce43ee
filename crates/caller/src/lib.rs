//! The callers: HTTP/1.1 and HTTP/2 requests in, answers out.
//!
//! [`Server`] accepts connections, [`Inbound`] is a decoded request and
//! [`Reply`] an answer before encoding. What happens between them is up to
//! the [`Handler`]; this package decides nothing about routing or limits.

mod body;
mod error;
mod explain;
mod fields;
mod heads;
mod inbound;
mod opening;
mod reply;
mod server;
mod tracked;

pub use body::Piece;
pub use body::Sender;
pub use body::channel;
pub use chiverelay_http::ConnectionSlot;
pub use chiverelay_http::Connections;
pub use chiverelay_http::Opened;
pub use chiverelay_http::Usage;
pub use error::Error;
pub use inbound::IDEMPOTENCY_KEY;
pub use inbound::Inbound;
pub use inbound::TICKET;
pub use reply::Reply;
pub use reply::ReplyBody;
pub use reply::error_event;
pub use server::Handler;
pub use server::Limits;
pub use server::Server;
pub use server::Shutdown;
