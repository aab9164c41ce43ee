//! The subcommands.

pub(crate) mod engine;
pub(crate) mod registry;
pub(crate) mod service;
pub(crate) mod store;

use std::net::SocketAddr;

use thiserror::Error as ThisError;
use tokio::net::TcpListener;

/// Why a stand-in did not start.
#[derive(Debug)]
#[derive(ThisError)]
pub(crate) enum Error {
    /// The arguments are wrong.
    #[error("{0}")]
    Usage(String),
    /// An argument can't be read.
    #[error("{0}")]
    Args(#[from] pico_args::Error),
    /// The listener can't be opened.
    #[error("can't listen: {0}")]
    Listen(#[from] std::io::Error),
}

/// Describes the program.
pub(crate) fn usage() -> String {
    [
        store::describe(),
        registry::describe(),
        engine::describe(),
        service::describe(),
    ]
    .join("\n")
}

/// Opens the listener named by `--listen` and prints its address.
pub(crate) async fn listen(args: &mut pico_args::Arguments) -> Result<TcpListener, Error> {
    let address: Option<SocketAddr> = args.opt_value_from_str("--listen")?;
    let address = address.unwrap_or_else(|| SocketAddr::from(([127, 0, 0, 1], 0)));
    let listener = TcpListener::bind(address).await?;
    println!("listening {}", listener.local_addr()?);
    Ok(listener)
}
