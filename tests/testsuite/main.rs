//! The tests of the whole workspace, a module for each area.

mod answer;
mod bucket;
mod combined;
mod configuration;
mod cuts;
mod drain;
mod health;
mod instances;
mod keys;
mod limits;
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
