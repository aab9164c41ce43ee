//! The gateway on the users' platform.

mod broken_answers;
mod decode;
mod endless;
mod forwards;
mod kept_connections;
mod leaving;
mod names;
mod odd_entries;
mod operations;
mod path;
mod pause;
mod quarantine;
mod restored;
mod settings;
mod shutdown;
mod silence;
mod soak;
mod stated_limit;
mod store;
mod supervise;
mod suspension;
mod unanswered;
