//! The settings file, JSON with comments.

use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;
use std::sync::Arc;

use chiverelay_caller::Limits;
use chiverelay_decisions::names::Instance;
use chiverelay_decisions::names::Region;
use chiverelay_decisions::names::Zone;
use chiverelay_sibling::Certificates;
use chiverelay_store::Budget;
use jsonc_parser::ParseOptions;
use rustls::pki_types::CertificateDer;
use rustls::pki_types::PrivateKeyDer;
use rustls::pki_types::pem::PemObject;
use serde::Deserialize;
use thiserror::Error as ThisError;

/// Why settings can't be used.
#[derive(Debug, ThisError)]
pub(crate) enum Error {
    /// A file can't be read.
    #[error("configure: {}: {source}", path.display())]
    Read {
        /// The file.
        path: PathBuf,
        /// The cause.
        source: std::io::Error,
    },
    /// The file is faulty.
    #[error("configure: {}: {reason}", path.display())]
    Faulty {
        /// The file.
        path: PathBuf,
        /// What is wrong, and where.
        reason: String,
    },
    /// Certificates or keys can't be used.
    #[error("{0}")]
    Certificates(#[from] chiverelay_sibling::Error),
}

/// The settings of an instance.
#[derive(Clone, Debug, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub(crate) struct Settings {
    /// The instance's name.
    pub(crate) instance: Instance,
    /// Its region.
    pub(crate) region: Region,
    /// Its availability zone.
    pub(crate) zone: Zone,
    /// The listener for callers.
    pub(crate) caller: CallerSettings,
    /// The listener for operators.
    pub(crate) operator: OperatorSettings,
    /// The endpoint for siblings.
    pub(crate) sibling: SiblingSettings,
    /// The store.
    pub(crate) store: StoreSettings,
    /// Address of a StatsD server.
    #[serde(default)]
    pub(crate) metrics: Option<SocketAddr>,
    /// Workers over the shared tables.
    #[serde(default = "default_workers")]
    pub(crate) workers: usize,
    /// Threads that carry out I/O and run the workers.
    #[serde(default = "default_threads")]
    pub(crate) threads: usize,
    /// Jobs that may wait for one worker.
    #[serde(default = "default_queue_depth")]
    pub(crate) queue_depth: usize,
    /// Time for callers and siblings to learn of a drain before requests are
    /// no longer taken, in milliseconds.
    #[serde(default = "default_drain_notice_ms")]
    pub(crate) drain_notice_ms: u64,
    /// Time for open requests to end at a drain, in milliseconds.
    #[serde(default = "default_drain_timeout_ms")]
    pub(crate) drain_timeout_ms: u64,
    /// Events kept in memory.
    #[serde(default = "default_events")]
    pub(crate) events: usize,
}

fn default_workers() -> usize {
    4
}

fn default_threads() -> usize {
    4
}

fn default_queue_depth() -> usize {
    1024
}

fn default_drain_notice_ms() -> u64 {
    6_000
}

fn default_drain_timeout_ms() -> u64 {
    600_000
}

fn default_events() -> usize {
    16_384
}

/// The listener for callers.
#[derive(Clone, Debug, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub(crate) struct CallerSettings {
    /// Address to listen on.
    pub(crate) listen: SocketAddr,
    /// Largest body in bytes.
    #[serde(default)]
    pub(crate) max_body: Option<usize>,
    /// Certificate and key for TLS, as PEM files.
    #[serde(default)]
    pub(crate) tls: Option<TlsSettings>,
}

/// Certificate and key files.
#[derive(Clone, Debug, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub(crate) struct TlsSettings {
    /// Certificate chain.
    pub(crate) cert: PathBuf,
    /// Private key.
    pub(crate) key: PathBuf,
}

/// The listener for operators.
#[derive(Clone, Debug, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub(crate) struct OperatorSettings {
    /// Address to listen on.
    pub(crate) listen: SocketAddr,
    /// SHA-256 of the operators' token, in hexadecimal digits.
    pub(crate) token_digest: String,
}

/// The endpoint for siblings.
#[derive(Clone, Debug, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub(crate) struct SiblingSettings {
    /// Address to listen on.
    pub(crate) listen: SocketAddr,
    /// Address that siblings connect to, if it is not the one listened on.
    #[serde(default)]
    pub(crate) advertise: Option<SocketAddr>,
    /// Certificate of the authority.
    pub(crate) ca: PathBuf,
    /// Certificate chain of the instance.
    pub(crate) cert: PathBuf,
    /// Private key of the instance.
    pub(crate) key: PathBuf,
}

/// The store.
#[derive(Clone, Debug, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub(crate) struct StoreSettings {
    /// Its address.
    pub(crate) address: SocketAddr,
    /// Reads a second that it takes from all instances, waiting watches
    /// included.
    #[serde(default)]
    pub(crate) reads_per_second: Option<u32>,
    /// Writes a second that it takes from all instances.
    #[serde(default)]
    pub(crate) writes_per_second: Option<u32>,
}

impl StoreSettings {
    /// Returns the rates that the instances share.
    pub(crate) fn budget(&self) -> Budget {
        let default = Budget::default();
        Budget {
            reads: self.reads_per_second.map_or(default.reads, f64::from),
            writes: self.writes_per_second.map_or(default.writes, f64::from),
        }
    }
}

fn read(path: &Path) -> Result<Vec<u8>, Error> {
    std::fs::read(path).map_err(|source| Error::Read {
        path: path.to_owned(),
        source,
    })
}

fn faulty(path: &Path, e: impl ToString) -> Error {
    Error::Faulty {
        path: path.to_owned(),
        reason: e.to_string(),
    }
}

impl Settings {
    /// Reads and checks a settings file.
    pub(crate) fn read(path: &Path) -> Result<Self, Error> {
        let text = String::from_utf8(read(path)?).map_err(|e| faulty(path, e))?;
        let options = ParseOptions::default();
        let settings: Self =
            jsonc_parser::parse_to_serde_value(&text, &options).map_err(|e| faulty(path, e))?;
        if settings.workers == 0 || settings.threads == 0 || settings.queue_depth == 0 {
            return Err(faulty(
                path,
                "workers, threads and queue-depth are at least 1",
            ));
        }
        Ok(settings)
    }

    /// Reads the certificates for siblings.
    pub(crate) fn certificates(&self) -> Result<Certificates, Error> {
        let files = &self.sibling;
        let (ca, cert) = (read(&files.ca)?, read(&files.cert)?);
        Ok(Certificates::from_pem(&ca, &cert, &read(&files.key)?)?)
    }

    /// Reads the TLS settings for callers.
    pub(crate) fn tls(&self) -> Result<Option<Arc<rustls::ServerConfig>>, Error> {
        let Some(files) = &self.caller.tls else {
            return Ok(None);
        };
        let chain: Result<Vec<_>, _> = CertificateDer::pem_slice_iter(&read(&files.cert)?)
            .map(|c| c.map(CertificateDer::into_owned))
            .collect();
        let chain = chain.map_err(|e| faulty(&files.cert, e))?;
        let key =
            PrivateKeyDer::from_pem_slice(&read(&files.key)?).map_err(|e| faulty(&files.key, e))?;
        let provider = Arc::new(rustls::crypto::ring::default_provider());
        let mut cfg = rustls::ServerConfig::builder_with_provider(provider)
            .with_safe_default_protocol_versions()
            .map_err(|e| faulty(&files.cert, e))?
            .with_no_client_auth()
            .with_single_cert(chain, key)
            .map_err(|e| faulty(&files.cert, e))?;
        cfg.alpn_protocols = vec![b"h2".to_vec(), b"http/1.1".to_vec()];
        Ok(Some(Arc::new(cfg)))
    }
}

impl CallerSettings {
    /// Returns the bounds on what callers may send.
    pub(crate) fn limits(&self) -> Limits {
        let mut limits = Limits::default();
        if let Some(max) = self.max_body {
            limits.max_body = max;
        }
        limits
    }
}
