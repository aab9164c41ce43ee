//! The operators: the admin interface of an instance, and the tool's side of it.
//!
//! [`Server`] decodes calls and hands them to a [`Handler`]; [`Client`] makes
//! them. [`api`] has the documents that both sides share. [`mod@file`] checks what
//! operators write, [`document`] being their configuration.

pub mod api;
mod client;
pub mod document;
mod error;
pub mod file;
mod server;

pub use client::Client;
pub use error::Error;
pub use server::Handler;
pub use server::Server;
