//! The sibling instances: control messages and forwarded requests over QUIC
//! with mutual TLS.
//!
//! [`Endpoint`] listens and connects, [`Link`] is a connection to one sibling,
//! [`Message`] and [`Frame`] are what goes over it. A sibling's name and
//! region come from its certificate, never from a message.

mod compat;
mod config;
mod congestion;
mod endpoint;
mod error;
mod headers;
mod identity;
mod link;
mod message;
mod pins;
mod stream_limit;
mod wire;

pub use compat::PREVIOUS_VERSION;
pub use config::ConfigParts;
pub use config::ConfigRequest;
pub use config::MAX_PARTS;
pub use endpoint::Endpoint;
pub use endpoint::Handler;
pub use endpoint::Refused;
pub use error::Error;
pub use headers::read_headers;
pub use headers::read_status;
pub use headers::write_headers;
pub use identity::Certificates;
pub use identity::Identity;
pub use identity::server_name;
pub use link::Answer;
pub use link::Closed;
pub use link::Connected;
pub use link::Draining;
pub use link::Link;
pub use link::Up;
pub use message::AccountPart;
pub use message::AskStream;
pub use message::Bind;
pub use message::ChargeReply;
pub use message::Claim;
pub use message::Envelope;
pub use message::Forward;
pub use message::Frame;
pub use message::HeardInstance;
pub use message::Heartbeat;
pub use message::Message;
pub use message::Status;
pub use message::StoreCopy;
pub use message::StreamsBegan;
pub use message::TargetLoad;
pub use message::VERSION;
pub use pins::Pins;
pub use wire::FrameSender;
pub use wire::MAX_FRAME;
pub use wire::decode;
pub use wire::decode_envelope;
pub use wire::encode;
pub use wire::encode_envelope;
