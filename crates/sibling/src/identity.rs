//! Who a sibling is, by its certificate.

use std::sync::Arc;

use chiverelay_decisions::names::Instance;
use chiverelay_decisions::names::Region;
use quinn::crypto::rustls::QuicClientConfig;
use quinn::crypto::rustls::QuicServerConfig;
use rustls::RootCertStore;
use rustls::pki_types::CertificateDer;
use rustls::pki_types::PrivateKeyDer;
use rustls::pki_types::PrivatePkcs8KeyDer;
use rustls::pki_types::pem::PemObject;
use rustls::server::WebPkiClientVerifier;
use rustls::server::danger::ClientCertVerifier;
use webpki::EndEntityCert;

use crate::Error;
use crate::Pins;
use crate::pins;
use crate::pins::Verifier;

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
        Self::of_certificate(&shown_certificate(conn)?)
    }

    /// Returns the name that the identity's certificate carries.
    pub(crate) fn server_name(&self) -> String {
        server_name(&self.instance, &self.region)
    }

    pub(crate) fn of_certificate(cert: &CertificateDer<'_>) -> Option<Self> {
        let cert = EndEntityCert::try_from(cert).ok()?;
        cert.valid_dns_names().find_map(Self::from_name)
    }
}

/// Returns the certificate that the other side of a connection has shown.
fn shown_certificate(conn: &quinn::Connection) -> Option<CertificateDer<'static>> {
    let chain = conn.peer_identity()?;
    let chain = chain.downcast::<Vec<CertificateDer<'static>>>().ok()?;
    chain.into_iter().next()
}

/// Returns the digest of that certificate.
pub(crate) fn shown_digest(conn: &quinn::Connection) -> Option<String> {
    shown_certificate(conn).as_ref().map(pins::digest)
}

fn fault(e: impl ToString) -> Error {
    Error::Certificates {
        reason: e.to_string(),
    }
}

/// Whose certificates are accepted.
#[derive(Debug)]
enum Trust {
    /// Those that the authority issued.
    Authority(Arc<RootCertStore>),
    /// Those that the instances' records name.
    Pinned(Pins),
}

/// This instance's own certificate and key, and whose certificates it accepts.
#[derive(Debug)]
pub struct Certificates {
    trust: Trust,
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
            trust: Trust::Authority(Arc::new(roots)),
            chain: chain.map_err(fault)?,
            key: PrivateKeyDer::from_pem_slice(key).map_err(fault)?,
        })
    }

    /// Makes a key and a certificate for this process, which accepts the
    /// certificates that are pinned.
    ///
    /// # Errors
    ///
    /// Fails if the names can't stand in a certificate.
    pub fn generate(identity: &Identity, pins: Pins) -> Result<Self, Error> {
        let made = rcgen::generate_simple_self_signed(vec![identity.server_name()]);
        let made = made.map_err(fault)?;
        let key = PrivatePkcs8KeyDer::from(made.signing_key.serialize_der());
        Ok(Self {
            trust: Trust::Pinned(pins),
            chain: vec![made.cert.der().clone()],
            key: key.into(),
        })
    }

    /// Returns the digest by which other instances pin the certificate.
    pub fn digest(&self) -> String {
        self.chain.first().map(pins::digest).unwrap_or_default()
    }

    /// Returns who the certificate names; `None` if it names no instance.
    pub fn identity(&self) -> Option<Identity> {
        Identity::of_certificate(self.chain.first()?)
    }

    pub(crate) fn server(&self) -> Result<QuicServerConfig, Error> {
        let provider = Arc::new(rustls::crypto::ring::default_provider());
        let verifier: Arc<dyn ClientCertVerifier> = match &self.trust {
            Trust::Authority(roots) => WebPkiClientVerifier::builder_with_provider(
                Arc::clone(roots),
                Arc::clone(&provider),
            )
            .build()
            .map_err(fault)?,
            Trust::Pinned(pins) => Arc::new(Verifier::new(pins.clone(), Arc::clone(&provider))),
        };
        let mut cfg = rustls::ServerConfig::builder_with_provider(provider)
            .with_protocol_versions(&[&rustls::version::TLS13])
            .map_err(fault)?
            .with_client_cert_verifier(verifier)
            .with_single_cert(self.chain.clone(), self.key.clone_key())
            .map_err(fault)?;
        cfg.alpn_protocols = vec![ALPN.to_vec()];
        // A resumed session would not check whether the certificates are still
        // accepted.
        cfg.send_tls13_tickets = 0;
        QuicServerConfig::try_from(cfg).map_err(fault)
    }

    pub(crate) fn client(&self) -> Result<QuicClientConfig, Error> {
        let provider = Arc::new(rustls::crypto::ring::default_provider());
        let builder = rustls::ClientConfig::builder_with_provider(Arc::clone(&provider))
            .with_protocol_versions(&[&rustls::version::TLS13])
            .map_err(fault)?;
        let builder = match &self.trust {
            Trust::Authority(roots) => builder.with_root_certificates(Arc::clone(roots)),
            Trust::Pinned(pins) => {
                let verifier = Verifier::new(pins.clone(), provider);
                builder
                    .dangerous()
                    .with_custom_certificate_verifier(Arc::new(verifier))
            }
        };
        let mut cfg = builder
            .with_client_auth_cert(self.chain.clone(), self.key.clone_key())
            .map_err(fault)?;
        cfg.alpn_protocols = vec![ALPN.to_vec()];
        QuicClientConfig::try_from(cfg).map_err(fault)
    }
}
