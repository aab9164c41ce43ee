//! The tests of the whole workspace, a module for each area.

mod bucket;
mod cuts;
mod health;
mod path;
mod placement;
mod queue;
mod residency;
mod tables;
