//! The daemon of an entry instance.

mod bind;
mod clock;
mod cmd;
mod context;
mod dispatch;
mod forward;
mod instance;
mod keys;
mod load;
mod members;
mod metrics;
mod once;
mod operate;
mod operations;
mod publish;
mod relay;
mod request;
mod serve;
mod settings;
mod shares;
mod sibling;
mod wait;
mod workers;

use std::process::ExitCode;

fn main() -> ExitCode {
    let mut args = pico_args::Arguments::from_env();
    let result = match args.subcommand() {
        Ok(Some(name)) => match name.as_str() {
            "run" => cmd::run::execute(args),
            "check" => cmd::check::execute(args),
            _ => Err(cmd::Error::Usage),
        },
        _ => Err(cmd::Error::Usage),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("{e}");
            e.exit_code()
        }
    }
}
