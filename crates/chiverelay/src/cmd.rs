//! The subcommands.

pub(crate) mod apply;
pub(crate) mod certs;
pub(crate) mod keys;
pub(crate) mod status;
pub(crate) mod timeline;

use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use chiverelay_operator::Client;
use chiverelay_operator::api::Status;
use thiserror::Error as ThisError;

/// Time for one call of an instance.
const TIMEOUT: Duration = Duration::from_secs(10);

/// Why a subcommand failed.
#[derive(Debug, ThisError)]
pub(crate) enum Error {
    /// The arguments name no subcommand.
    #[error(
        "usage:\n  {}\n  {}\n  {}\n  {}\n  {}",
        apply::describe(),
        certs::describe(),
        keys::describe(),
        status::describe(),
        timeline::describe()
    )]
    Usage,
    /// An argument can't be read.
    #[error("{0}")]
    Args(#[from] pico_args::Error),
    /// A file can't be read or written.
    #[error("{}: {source}", path.display())]
    File {
        /// The file.
        path: PathBuf,
        /// The cause.
        source: std::io::Error,
    },
    /// A file is faulty.
    #[error("{}: {reason}", path.display())]
    Faulty {
        /// The file.
        path: PathBuf,
        /// What is wrong, and where.
        reason: String,
    },
    /// A call failed.
    #[error("{0}")]
    Call(#[from] chiverelay_operator::Error),
    /// Certificates can't be made.
    #[error("certs: {0}")]
    Certs(#[from] rcgen::Error),
    /// Not every instance has the change.
    #[error("version {version} is accepted; not yet in force at: {}", missing.join(", "))]
    NotEverywhere {
        /// The version.
        version: u64,
        /// The instances.
        missing: Vec<String>,
    },
}

impl Error {
    /// Returns the program's exit code.
    pub(crate) fn exit_code(&self) -> ExitCode {
        match self {
            Self::Usage | Self::Args(_) => ExitCode::from(2),
            Self::NotEverywhere { .. } => ExitCode::from(3),
            _ => ExitCode::from(1),
        }
    }
}

/// Reads a file.
pub(crate) fn read(path: &Path) -> Result<String, Error> {
    std::fs::read_to_string(path).map_err(|source| Error::File {
        path: path.to_owned(),
        source,
    })
}

/// The instance to call, and how.
pub(crate) struct Connection {
    token: Option<String>,
    client: Client,
}

impl Connection {
    /// Reads `--instance` and `--token-file`.
    pub(crate) fn from_args(args: &mut pico_args::Arguments) -> Result<Self, Error> {
        let address: SocketAddr = args.value_from_str("--instance")?;
        let file: Option<PathBuf> = args.opt_value_from_str("--token-file")?;
        let token = match file {
            Some(path) => Some(read(&path)?.trim().to_owned()),
            None => None,
        };
        Ok(Self {
            client: Client::new(address, TIMEOUT, token.clone()),
            token,
        })
    }

    /// Returns a client of the instance that was named.
    pub(crate) fn client(&self) -> &Client {
        &self.client
    }

    /// Returns clients of the other instances in a status.
    pub(crate) fn others(&self, status: &Status) -> Vec<Client> {
        status
            .siblings
            .iter()
            .map(|s| Client::new(s.operator, TIMEOUT, self.token.clone()))
            .collect()
    }
}
