//! The stand-ins as separate processes.

mod cmd;

use std::process::ExitCode;

#[tokio::main]
async fn main() -> ExitCode {
    env_logger::init();
    let mut args = pico_args::Arguments::from_env();
    let result = match args.subcommand() {
        Ok(Some(name)) => match name.as_str() {
            "store" => cmd::store::execute(args).await,
            "registry" => cmd::registry::execute(args).await,
            "engine" => cmd::engine::execute(args).await,
            "service" => cmd::service::execute(args).await,
            _ => Err(cmd::Error::Usage(cmd::usage())),
        },
        _ => Err(cmd::Error::Usage(cmd::usage())),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("{e}");
            ExitCode::from(2)
        }
    }
}
