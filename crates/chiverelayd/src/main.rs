//! The daemon of an entry instance.

mod bind;
mod clock;
mod cmd;
mod context;
mod dispatch;
mod forward;
mod handover;
mod hints;
mod instance;
mod keys;
mod load;
mod members;
mod metrics;
mod notes;
mod once;
mod operate;
mod operations;
mod placing;
mod publish;
mod relay;
mod request;
mod resume;
mod serve;
mod settings;
mod settle;
mod shares;
mod sibling;
mod wait;
mod workers;
mod writers;

use std::process::ExitCode;

fn main() -> ExitCode {
    match cmd::execute(pico_args::Arguments::from_env()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("{e}");
            e.exit_code()
        }
    }
}
