//! Who a sibling is, by its certificate.

use std::sync::Arc;

use chiverelay_decisions::names::Instance;
use chiverelay_decisions::names::Region;
use quinn::crypto::rustls::QuicClientConfig;
use quinn::crypto::rustls::QuicServerConfig;
use rustls::RootCertStore;
use rustls::pki_types::CertificateDer;
use rustls::pki_types::PrivateKeyDer;
use rustls::pki_types::pem::PemObject;
use rustls::server::WebPkiClientVerifier;
use webpki::EndEntityCert;

use crate::Error;

/// Last label of the names in certificates.
const DOMAIN: &str = "chiverelay";

/// Protocol name in the TLS handshake.
const ALPN: &[u8] = b"chiverelay/1";

/// An instance as its certificate names it.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Identity {
    /// The instance.
    pub instance: Instance,
    /// Its region.
    pub region: Region,
}

/// Returns the name that an instance's certificate carries.
pub fn server_name(instance: &Instance, region: &Region) -> String {
    format!("{instance}.{region}.{DOMAIN}")
}

impl Identity {
    fn from_name(name: &str) -> Option<Self> {
        let mut labels = name.split('.');
        let instance = labels.next()?;
        let region = labels.next()?;
        if labels.next() != Some(DOMAIN) || labels.next().is_some() {
            return None;
        }
        Some(Self {
            instance: instance.into(),
            region: region.into(),
        })
    }

    pub(crate) fn of_connection(conn: &quinn::Connection) -> Option<Self> {
        let chain = conn.peer_identity()?;
        let chain = chain.downcast::<Vec<CertificateDer<'static>>>().ok()?;
        Self::of_certificate(chain.first()?)
    }

    fn of_certificate(cert: &CertificateDer<'_>) -> Option<Self> {
        let cert = EndEntityCert::try_from(cert).ok()?;
        cert.valid_dns_names().find_map(Self::from_name)
    }
}

fn fault(e: impl ToString) -> Error {
    Error::Certificates {
        reason: e.to_string(),
    }
}

/// The authority's certificate and this instance's own certificate and key.
#[derive(Debug)]
pub struct Certificates {
    roots: Arc<RootCertStore>,
    chain: Vec<CertificateDer<'static>>,
    key: PrivateKeyDer<'static>,
}

impl Certificates {
    /// Reads them from PEM text.
    ///
    /// # Errors
    ///
    /// Fails if a part is missing or can't be read.
    pub fn from_pem(ca: &[u8], cert: &[u8], key: &[u8]) -> Result<Self, Error> {
        let mut roots = RootCertStore::empty();
        for cert in CertificateDer::pem_slice_iter(ca) {
            roots.add(cert.map_err(fault)?).map_err(fault)?;
        }
        let chain: Result<Vec<_>, _> = CertificateDer::pem_slice_iter(cert).collect();
        Ok(Self {
            roots: Arc::new(roots),
            chain: chain.map_err(fault)?,
            key: PrivateKeyDer::from_pem_slice(key).map_err(fault)?,
        })
    }

    /// Returns who the certificate names; `None` if it names no instance.
    pub fn identity(&self) -> Option<Identity> {
        Identity::of_certificate(self.chain.first()?)
    }

    pub(crate) fn server(&self) -> Result<QuicServerConfig, Error> {
        let provider = Arc::new(rustls::crypto::ring::default_provider());
        let verifier = WebPkiClientVerifier::builder_with_provider(
            Arc::clone(&self.roots),
            Arc::clone(&provider),
        )
        .build()
        .map_err(fault)?;
        let mut cfg = rustls::ServerConfig::builder_with_provider(provider)
            .with_protocol_versions(&[&rustls::version::TLS13])
            .map_err(fault)?
            .with_client_cert_verifier(verifier)
            .with_single_cert(self.chain.clone(), self.key.clone_key())
            .map_err(fault)?;
        cfg.alpn_protocols = vec![ALPN.to_vec()];
        QuicServerConfig::try_from(cfg).map_err(fault)
    }

    pub(crate) fn client(&self) -> Result<QuicClientConfig, Error> {
        let provider = Arc::new(rustls::crypto::ring::default_provider());
        let mut cfg = rustls::ClientConfig::builder_with_provider(provider)
            .with_protocol_versions(&[&rustls::version::TLS13])
            .map_err(fault)?
            .with_root_certificates(Arc::clone(&self.roots))
            .with_client_auth_cert(self.chain.clone(), self.key.clone_key())
            .map_err(fault)?;
        cfg.alpn_protocols = vec![ALPN.to_vec()];
        QuicClientConfig::try_from(cfg).map_err(fault)
    }
}
