//! The operators' command-line tool.

mod cmd;

use std::process::ExitCode;

#[tokio::main]
async fn main() -> ExitCode {
    env_logger::init();
    match cmd::execute(pico_args::Arguments::from_env()).await {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("{e}");
            e.exit_code()
        }
    }
}
