//! The tests of the whole workspace, a module for each area.

mod bucket;
mod path;
mod store;
mod tables;
