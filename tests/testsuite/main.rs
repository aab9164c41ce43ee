//! The tests of the whole workspace, a module for each area.

mod bucket;
mod limits;
mod path;
mod tables;
