//! The gateway on the users' platform.

mod broken_answers;
mod decode;
mod endless;
mod leaving;
mod names;
mod operations;
mod path;
mod pause;
mod quarantine;
mod settings;
mod soak;
mod stated_limit;
mod store;
mod suspension;
