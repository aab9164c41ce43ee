//! The tests of the whole workspace, a module for each area.

mod bucket;
mod combined;
mod configuration;
mod cuts;
mod drain;
mod health;
mod keys;
mod limits;
mod limits_site;
mod membership;
mod once;
mod path;
mod placement;
mod queue;
mod registry;
mod residency;
mod settings;
mod store;
mod tables;
mod tickets;
mod timeline;
mod tool;
mod whole;
