//! The subcommands.

pub(crate) mod apply;
pub(crate) mod certs;
pub(crate) mod check;
pub(crate) mod diff;
pub(crate) mod drain;
pub(crate) mod keys;
pub(crate) mod logs;
pub(crate) mod show;
pub(crate) mod status;
pub(crate) mod timeline;

use std::io::ErrorKind;
use std::io::Write;
use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use chiverelay_operator::Client;
use chiverelay_operator::api::Failure;
use chiverelay_operator::file;
use serde::Serialize;
use thiserror::Error as ThisError;

/// Time for one call of an instance.
const TIMEOUT: Duration = Duration::from_secs(10);

/// What `--help` prints besides the subcommands.
const HELP: &str = "\
Options of every subcommand:
    --help      Prints this, or what the subcommand does.
    --version   Prints the version.
    --json      Prints the result as one JSON document.

Exit codes:
    0  done
    1  the call failed, or the instance refused it; nothing was changed
    2  the arguments or a file are faulty; nothing was changed
    3  accepted, but not yet in force at the instances named
    4  conflict: another operator changed the configuration first
    5  the outcome is not known; look with show before another try
";

/// Why a subcommand failed.
#[derive(Debug)]
#[derive(ThisError)]
pub(crate) enum Error {
    /// The arguments name no action.
    #[error("usage:\n  {0}")]
    Usage(&'static str),
    /// The arguments name no subcommand.
    #[error("{}", help())]
    Help,
    /// An argument can't be read.
    #[error("{0}")]
    Args(#[from] pico_args::Error),
    /// Arguments are left over.
    #[error("unknown arguments: {0}")]
    Unknown(String),
    /// A file can't be read or written.
    #[error("{}: {source}", path.display())]
    File {
        /// The file.
        path: PathBuf,
        /// The cause.
        source: std::io::Error,
    },
    /// A file that operators write has faults.
    #[error("{0}")]
    Faulty(#[from] file::Error),
    /// A name is not fit for certificates.
    #[error("{name:?}: {reason}")]
    Name {
        /// The name.
        name: String,
        /// What is wrong with it.
        reason: String,
    },
    /// A call failed.
    #[error("{0}")]
    Call(#[from] chiverelay_operator::Error),
    /// Another operator was first.
    #[error("conflict: another operator made version {version}; {}", list(changes))]
    Conflict {
        /// The version that stands there.
        version: u64,
        /// What changed since this operator looked.
        changes: Vec<diff::Change>,
    },
    /// Certificates can't be made.
    #[error("certs: {0}")]
    Certs(#[from] rcgen::Error),
    /// A result can't be written as JSON.
    #[error("json: {0}")]
    Json(#[from] serde_json::Error),
    /// Not every instance has the change.
    #[error("version {version} is accepted; not yet in force at: {}", missing.join(", "))]
    NotEverywhere {
        /// The version.
        version: u64,
        /// The instances.
        missing: Vec<String>,
    },
}

fn list(changes: &[diff::Change]) -> String {
    if changes.is_empty() {
        return "it differs from the version expected".to_owned();
    }
    let lines: Vec<String> = changes.iter().map(|c| format!("\n  {c}")).collect();
    format!("its changes:{}", lines.concat())
}

impl Error {
    /// Returns the program's exit code.
    pub(crate) fn exit_code(&self) -> ExitCode {
        use chiverelay_operator::Error as Call;
        let failure = match self {
            Self::Call(Call::Failed { failure, .. }) => Some(failure),
            _ => None,
        };
        ExitCode::from(match (self, failure) {
            (Self::Usage(_) | Self::Help | Self::Args(_) | Self::Unknown(_), _) => 2,
            (Self::Faulty(_) | Self::Name { .. }, _) => 2,
            (Self::NotEverywhere { .. }, _) => 3,
            (Self::Conflict { .. }, _) | (_, Some(Failure::Conflict { .. })) => 4,
            (_, Some(Failure::Unknown { .. })) => 5,
            _ => 1,
        })
    }
}

fn descriptions() -> [(&'static str, &'static str); 9] {
    [
        ("apply", apply::describe()),
        ("certs", certs::describe()),
        ("check", check::describe()),
        ("diff", diff::describe()),
        ("drain", drain::describe()),
        ("keys", keys::describe()),
        ("show", show::describe()),
        ("status", status::describe()),
        ("timeline", timeline::describe()),
    ]
}

fn help() -> String {
    let commands: Vec<String> = descriptions()
        .iter()
        .map(|(_, text)| format!("{text}\n"))
        .collect();
    format!("{}\n{HELP}", commands.join("\n"))
}

/// Executes the subcommand that the arguments name.
pub(crate) async fn execute(mut args: pico_args::Arguments) -> Result<(), Error> {
    if args.contains("--version") {
        return write(concat!("chiverelay ", env!("CARGO_PKG_VERSION")));
    }
    let wants_help = args.contains("--help");
    let name = args.subcommand()?;
    if wants_help {
        let found = descriptions()
            .into_iter()
            .find(|(n, _)| Some(*n) == name.as_deref());
        return write(&found.map_or_else(help, |(_, text)| text.to_owned()));
    }
    let out = Output {
        json: args.contains("--json"),
    };
    match name.as_deref() {
        Some("apply") => apply::execute(args, out).await,
        Some("certs") => certs::execute(args, out),
        Some("check") => check::execute(args, out),
        Some("diff") => diff::execute(args, out).await,
        Some("drain") => drain::execute(args, out).await,
        Some("keys") => keys::execute(args, out).await,
        Some("show") => show::execute(args, out).await,
        Some("status") => status::execute(args, out).await,
        Some("timeline") => timeline::execute(args, out).await,
        _ => Err(Error::Help),
    }
}

/// How results are printed.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Output {
    json: bool,
}

impl Output {
    /// Prints a result as JSON or as `text` writes it.
    pub(crate) fn print<T, F>(self, result: &T, text: F) -> Result<(), Error>
    where
        T: Serialize,
        F: FnOnce(&T) -> String,
    {
        if self.json {
            return write(&serde_json::to_string(result)?);
        }
        write(&text(result))
    }
}

/// Writes lines to the standard output.
fn write(text: &str) -> Result<(), Error> {
    let text = text.trim_end();
    if text.is_empty() {
        return Ok(());
    }
    match writeln!(std::io::stdout(), "{text}") {
        // Whoever reads may have seen enough.
        Err(e) if e.kind() != ErrorKind::BrokenPipe => Err(Error::File {
            path: "stdout".into(),
            source: e,
        }),
        _ => Ok(()),
    }
}

/// Refuses arguments that nobody took.
pub(crate) fn finish(args: pico_args::Arguments) -> Result<(), Error> {
    let rest = args.finish();
    if rest.is_empty() {
        return Ok(());
    }
    let rest: Vec<_> = rest.iter().map(|a| a.to_string_lossy()).collect();
    Err(Error::Unknown(rest.join(" ")))
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

    /// Returns a client of another instance.
    pub(crate) fn to(&self, address: SocketAddr) -> Client {
        Client::new(address, TIMEOUT, self.token.clone())
    }
}
