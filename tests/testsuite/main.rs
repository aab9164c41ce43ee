//! The tests of the whole workspace, a module for each area.

mod bucket;
mod once;
mod path;
mod tables;
mod tickets;
mod whole;
