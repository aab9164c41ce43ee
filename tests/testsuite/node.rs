//! The gateway on the users' platform.

mod broken_answers;
mod decode;
mod endless;
mod names;
mod operations;
mod path;
mod quarantine;
mod restored;
mod settings;
mod soak;
mod stated_limit;
mod store;
