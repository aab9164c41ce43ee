//! The gateway on the users' platform.

mod broken_answers;
mod decode;
mod endless;
mod forwarded_streams;
mod forwards;
mod hubs;
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
mod silent_first_bytes;
mod slow_readers;
mod soak;
mod stated_limit;
mod store;
mod supervise;
mod suspension;
mod unanswered;
