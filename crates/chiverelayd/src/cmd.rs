//! The subcommands.

pub(crate) mod check;
pub(crate) mod run;

use std::path::PathBuf;
use std::process::ExitCode;

use thiserror::Error as ThisError;

use crate::settings;

/// Exit code for faulty arguments or settings.
const EXIT_USAGE: u8 = 2;

/// Exit code for a daemon that could not start.
const EXIT_START: u8 = 1;

/// Why a subcommand failed.
#[derive(Debug)]
#[derive(ThisError)]
pub(crate) enum Error {
    /// The arguments name no subcommand.
    #[error("{}", help())]
    Usage,
    /// An argument can't be read.
    #[error("{0}")]
    Args(#[from] pico_args::Error),
    /// Arguments are left over.
    #[error("unknown arguments: {0}")]
    Unknown(String),
    /// The settings are faulty.
    #[error("{0}")]
    Settings(#[from] settings::Error),
    /// The daemon could not start.
    #[error("{0}")]
    Start(Box<dyn std::error::Error + Send + Sync>),
}

impl Error {
    /// Returns the program's exit code.
    pub(crate) fn exit_code(&self) -> ExitCode {
        match self {
            Self::Usage | Self::Args(_) | Self::Unknown(_) | Self::Settings(_) => {
                ExitCode::from(EXIT_USAGE)
            }
            Self::Start(_) => ExitCode::from(EXIT_START),
        }
    }
}

fn help() -> String {
    format!(
        "{}\n{}\n\n\
         Options of every subcommand:\n    \
         --help      Prints this.\n    \
         --version   Prints the version.\n\n\
         Exit codes:\n    \
         0  no faults, or a graceful shutdown\n    \
         1  the daemon could not start\n    \
         2  the arguments or the settings are faulty",
        run::describe(),
        check::describe()
    )
}

/// Executes the subcommand that the arguments name.
pub(crate) fn execute(mut args: pico_args::Arguments) -> Result<(), Error> {
    if args.contains("--version") {
        println!("chiverelayd {}", env!("CARGO_PKG_VERSION"));
        return Ok(());
    }
    if args.contains("--help") {
        println!("{}", help());
        return Ok(());
    }
    match args.subcommand()?.as_deref() {
        Some("run") => run::execute(args),
        Some("check") => check::execute(args),
        _ => Err(Error::Usage),
    }
}

/// Takes the one argument that a subcommand has.
fn only_path(mut args: pico_args::Arguments) -> Result<PathBuf, Error> {
    let path = args.free_from_str()?;
    let rest = args.finish();
    if rest.is_empty() {
        return Ok(path);
    }
    let rest: Vec<_> = rest.iter().map(|a| a.to_string_lossy()).collect();
    Err(Error::Unknown(rest.join(" ")))
}
