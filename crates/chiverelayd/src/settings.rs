//! The settings file, JSON with comments.

mod network;

use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

use chiverelay_caller::Limits;
use chiverelay_decisions::admission::Shares;
use chiverelay_decisions::config::ConfigFault;
use chiverelay_decisions::names::Instance;
use chiverelay_decisions::names::Region;
use chiverelay_decisions::names::Zone;
use chiverelay_decisions::resources::ResourceLimits;
use chiverelay_operator::file;
use chiverelay_operator::file::Value;
use chiverelay_operator::read_struct;
use chiverelay_sibling::Certificates;
use chiverelay_store::Budget;
use rustls::pki_types::CertificateDer;
use rustls::pki_types::PrivateKeyDer;
use rustls::pki_types::pem::PemObject;
use thiserror::Error as ThisError;

use network::NetworkSettings;

/// Why settings can't be used.
#[derive(Debug)]
#[derive(ThisError)]
pub(crate) enum Error {
    /// The settings file can't be read or has faults.
    #[error("{0}")]
    File(#[from] file::Error),
    /// Certificates or keys can't be used.
    #[error("{0}")]
    Certificates(#[from] chiverelay_sibling::Error),
    /// A file that the settings name can't be used.
    #[error("configure: {}: {reason}", path.display())]
    Named {
        /// The file.
        path: PathBuf,
        /// What is wrong.
        reason: String,
    },
}

/// The settings of an instance.
#[derive(Clone, Debug)]
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
    /// The platform's list of instances and directory for clients.
    pub(crate) registry: Option<RegistrySettings>,
    /// The network that the instance stands in.
    pub(crate) network: NetworkSettings,
    /// Siblings to ask while none is heard of in another way.
    pub(crate) seeds: Vec<SeedSettings>,
    /// Address of a StatsD server.
    pub(crate) metrics: Option<SocketAddr>,
    /// Workers over the shared tables.
    pub(crate) workers: usize,
    /// Threads that carry out I/O and run the workers.
    pub(crate) threads: usize,
    /// Jobs that may wait for one worker.
    pub(crate) queue_depth: usize,
    /// Time for callers and siblings to learn of a drain before requests are
    /// no longer taken, in milliseconds.
    pub(crate) drain_notice_ms: u64,
    /// Time for open requests to end at a drain, in milliseconds.
    pub(crate) drain_timeout_ms: u64,
    /// Events kept in memory.
    pub(crate) events: usize,
}

/// The listener for callers.
#[derive(Clone, Debug)]
pub(crate) struct CallerSettings {
    /// Address to listen on.
    pub(crate) listen: SocketAddr,
    /// Largest body in bytes.
    pub(crate) max_body: usize,
    /// Bytes of all bodies that are held at once.
    pub(crate) body_memory: usize,
    /// Connections that may be open at once; others wait to be accepted.
    pub(crate) max_connections: usize,
    /// Requests that may be open at once; as many as connections by default.
    pub(crate) max_requests: Option<usize>,
    /// Time for a request's headers, and for the next request on a silent
    /// connection, in milliseconds.
    pub(crate) header_timeout_ms: u64,
    /// Time for a request's body, in milliseconds.
    pub(crate) body_timeout_ms: u64,
    /// Certificate and key for TLS, as PEM files.
    pub(crate) tls: Option<TlsSettings>,
}

/// Certificate and key files.
#[derive(Clone, Debug)]
pub(crate) struct TlsSettings {
    /// Certificate chain.
    pub(crate) cert: PathBuf,
    /// Private key.
    pub(crate) key: PathBuf,
}

/// The listener for operators.
#[derive(Clone, Debug)]
pub(crate) struct OperatorSettings {
    /// Address to listen on.
    pub(crate) listen: SocketAddr,
    /// SHA-256 of the operators' token, in hexadecimal digits.
    pub(crate) token_digest: String,
}

/// The endpoint for siblings.
#[derive(Clone, Debug)]
pub(crate) struct SiblingSettings {
    /// Address to listen on.
    pub(crate) listen: SocketAddr,
    /// Address that siblings connect to, if it is not the one listened on.
    pub(crate) advertise: Option<SocketAddr>,
    /// Certificate of the authority.
    pub(crate) ca: PathBuf,
    /// Certificate chain of the instance.
    pub(crate) cert: PathBuf,
    /// Private key of the instance.
    pub(crate) key: PathBuf,
}

/// The store.
#[derive(Clone, Debug)]
pub(crate) struct StoreSettings {
    /// Its address.
    pub(crate) address: SocketAddr,
    /// Reads a second that it takes from all instances, waiting watches
    /// included.
    pub(crate) reads_per_second: Option<u32>,
    /// Writes a second that it takes from all instances.
    pub(crate) writes_per_second: Option<u32>,
    /// Time to live of this instance's lease, in seconds.
    pub(crate) lease_seconds: usize,
}

/// The platform's list of instances and directory for clients.
#[derive(Clone, Debug)]
pub(crate) struct RegistrySettings {
    /// Its address.
    pub(crate) address: SocketAddr,
}

/// A sibling to ask, whose certificate must carry the name.
#[derive(Clone, Debug)]
pub(crate) struct SeedSettings {
    /// Its name.
    pub(crate) instance: Instance,
    /// Its region.
    pub(crate) region: Region,
    /// Its address for siblings.
    pub(crate) address: SocketAddr,
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

read_struct!(Settings {
    instance,
    region,
    zone,
    caller,
    operator,
    sibling,
    store,
    registry = None,
    network = NetworkSettings::default(),
    seeds = Vec::new(),
    metrics = None,
    workers = 4 => at_least_one,
    threads = 4 => at_least_one,
    queue_depth = 1024 => at_least_one,
    drain_notice_ms = 6_000,
    drain_timeout_ms = 600_000,
    events = 16_384 => at_least_one,
});

read_struct!(CallerSettings {
    listen,
    max_body = 4 * 1024 * 1024 => at_least_one,
    body_memory = 64 * 1024 * 1024 => at_least_one,
    max_connections = 10_000 => at_least_one,
    max_requests = None,
    header_timeout_ms = 10_000,
    body_timeout_ms = 30_000,
    tls = None,
});

read_struct!(TlsSettings { cert, key });

read_struct!(OperatorSettings {
    listen,
    token_digest => |text: &String| digest(text),
});

read_struct!(SiblingSettings {
    listen,
    advertise = None,
    ca,
    cert,
    key,
});

read_struct!(StoreSettings {
    address,
    reads_per_second = None,
    writes_per_second = None,
    lease_seconds = 20 => at_least_one,
});

read_struct!(RegistrySettings { address });

read_struct!(SeedSettings {
    instance,
    region,
    address,
});

fn at_least_one<N>(n: &N) -> Result<(), String>
where
    N: Default + PartialEq,
{
    if *n == N::default() {
        return Err("the value is at least 1".to_owned());
    }
    Ok(())
}

/// Checks the form of a SHA-256.
fn digest(text: &str) -> Result<(), String> {
    let allowed = |b: u8| b.is_ascii_digit() || (b'a'..=b'f').contains(&b);
    if text.len() != 64 || !text.bytes().all(allowed) {
        return Err("a SHA-256 in 64 small hexadecimal digits is expected".to_owned());
    }
    Ok(())
}

fn read(path: &Path) -> Result<Vec<u8>, Error> {
    std::fs::read(path).map_err(|e| faulty(path, e))
}

fn faulty(path: &Path, e: impl ToString) -> Error {
    Error::Named {
        path: path.to_owned(),
        reason: e.to_string(),
    }
}

/// Lists the files that the settings name and that can't be read.
fn check_files(settings: &Settings, _: &Value<'_>) -> Vec<ConfigFault> {
    let mut files = vec![
        (["sibling", "ca"].as_slice(), &settings.sibling.ca),
        (&["sibling", "cert"], &settings.sibling.cert),
        (&["sibling", "key"], &settings.sibling.key),
    ];
    if let Some(tls) = &settings.caller.tls {
        files.push((&["caller", "tls", "cert"], &tls.cert));
        files.push((&["caller", "tls", "key"], &tls.key));
    }
    let faults = files.into_iter().filter_map(|(at, path)| {
        let e = std::fs::File::open(path).err()?;
        Some(ConfigFault {
            path: at.iter().map(|&s| s.to_owned()).collect(),
            reason: format!("{}: {e}", path.display()),
        })
    });
    faults.collect()
}

impl Settings {
    /// Reads and checks a settings file, and the files that it names.
    pub(crate) fn read(path: &Path) -> Result<Self, Error> {
        let settings: Self = file::read(path, check_files)?;
        settings.check_identity()?;
        settings.tls()?;
        Ok(settings)
    }

    /// Checks that the certificate names this instance.
    fn check_identity(&self) -> Result<(), Error> {
        let named = match self.certificates()?.identity() {
            Some(id) if id.instance == self.instance && id.region == self.region => return Ok(()),
            Some(id) => format!("{} in {}", id.instance, id.region),
            None => "no instance".to_owned(),
        };
        let reason = format!(
            "the certificate names {named}, the settings {} in {}",
            self.instance, self.region
        );
        Err(faulty(&self.sibling.cert, reason))
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
        Limits {
            max_body: self.max_body,
            // The largest body is refused for its neighbours only.
            body_memory: self.body_memory.max(self.max_body),
            max_connections: self.max_connections.min(connections_of_process()),
            max_requests: self.max_requests.unwrap_or(self.max_connections).max(1),
            header_timeout: Duration::from_millis(self.header_timeout_ms),
            body_timeout: Duration::from_millis(self.body_timeout_ms),
        }
    }
}

/// Returns how many connections of callers the descriptors of this process
/// allow.
fn connections_of_process() -> usize {
    let limit = rustix::process::getrlimit(rustix::process::Resource::Nofile);
    let descriptors = limit.current.and_then(|n| usize::try_from(n).ok());
    let limits = ResourceLimits {
        memory: u64::MAX,
        descriptors: descriptors.unwrap_or(usize::MAX),
    };
    Shares::of(&limits).callers
}
