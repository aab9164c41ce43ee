//! The tests of the whole workspace, a module for each area.

mod bucket;
mod cuts;
mod drain;
mod keys;
mod once;
mod path;
mod registry;
mod store;
mod tables;
mod tickets;
mod whole;
