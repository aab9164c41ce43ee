//! The tests of the whole workspace, a module for each area.

mod bucket;
mod callers;
mod configuration;
mod cuts;
mod decoders;
mod health;
mod hostile;
mod keys;
mod membership;
mod metrics;
mod path;
mod placement;
mod queue;
mod registry;
mod residency;
mod settings;
mod store;
mod tables;
mod timeline;
mod tool;
