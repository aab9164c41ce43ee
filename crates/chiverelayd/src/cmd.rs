//! The subcommands.

pub(crate) mod check;
pub(crate) mod run;

use std::process::ExitCode;

use thiserror::Error as ThisError;

use crate::settings;

/// Exit code for faulty arguments or settings.
const EXIT_USAGE: u8 = 2;

/// Exit code for a daemon that could not start.
const EXIT_START: u8 = 1;

/// Why a subcommand failed.
#[derive(Debug, ThisError)]
pub(crate) enum Error {
    /// The arguments name no subcommand.
    #[error("usage:\n  {}\n  {}", run::describe(), check::describe())]
    Usage,
    /// An argument can't be read.
    #[error("{0}")]
    Args(#[from] pico_args::Error),
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
            Self::Usage | Self::Args(_) | Self::Settings(_) => ExitCode::from(EXIT_USAGE),
            Self::Start(_) => ExitCode::from(EXIT_START),
        }
    }
}
