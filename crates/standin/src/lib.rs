//! Stand-ins for the systems that the gateway talks to, for tests, benches
//! and examples: a store, a registry, a model engine, a plain service and links
//! that can be cut.
//!
//! Each has a `serve` function and is a subcommand of the package's program.
//! [`faults`] scripts what goes wrong; nothing here simulates a cluster.

pub mod engine;
pub mod faults;
pub mod link;
pub mod registry;
pub mod reports;
pub mod service;
pub mod store;
