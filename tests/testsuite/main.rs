//! The tests of the whole workspace, a module for each area.

mod bucket;
mod cuts;
mod keys;
mod path;
mod settings;
mod tables;
