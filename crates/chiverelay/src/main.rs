//! The operators' command-line tool.

mod cmd;

use std::process::ExitCode;

#[tokio::main]
async fn main() -> ExitCode {
    env_logger::init();
    let mut args = pico_args::Arguments::from_env();
    let result = match args.subcommand() {
        Ok(Some(name)) => match name.as_str() {
            "apply" => cmd::apply::execute(args).await,
            "certs" => cmd::certs::execute(args),
            "keys" => cmd::keys::execute(args).await,
            "status" => cmd::status::execute(args).await,
            "timeline" => cmd::timeline::execute(args).await,
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
