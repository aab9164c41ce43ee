//! The gateway on the users' platform.

mod broken_answers;
mod decode;
mod endless;
mod forwards;
mod kept_connections;
mod names;
mod operations;
mod path;
mod quarantine;
mod settings;
mod soak;
mod stated_limit;
mod store;
mod unanswered;
