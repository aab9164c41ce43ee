//! The tests of the whole workspace, a module for each area.

mod bucket;
mod configuration;
mod cuts;
mod membership;
mod path;
mod registry;
mod store;
mod tables;
