//! Certificates that the instances make themselves and publish by digest.
//!
//! Where no authority issues certificates, each instance makes a key and a
//! certificate at its start and publishes the certificate's digest in its own
//! record. Both ends of a connection then accept exactly the certificates
//! whose digests the records name.

use std::collections::HashMap;
use std::fmt;
use std::sync::Arc;

use chiverelay_decisions::config::hex;
use chiverelay_decisions::names::Instance;
use chiverelay_decisions::tables::LockRank;
use chiverelay_decisions::tables::RankedMutex;
use rustls::DigitallySignedStruct;
use rustls::DistinguishedName;
use rustls::SignatureScheme;
use rustls::client::danger::HandshakeSignatureValid;
use rustls::client::danger::ServerCertVerified;
use rustls::client::danger::ServerCertVerifier;
use rustls::crypto::CryptoProvider;
use rustls::crypto::verify_tls12_signature;
use rustls::crypto::verify_tls13_signature;
use rustls::pki_types::CertificateDer;
use rustls::pki_types::ServerName;
use rustls::pki_types::UnixTime;
use rustls::server::danger::ClientCertVerified;
use rustls::server::danger::ClientCertVerifier;
use sha2::Digest;
use sha2::Sha256;

use crate::Identity;

/// Returns the digest by which a certificate is published.
pub(crate) fn digest(cert: &CertificateDer<'_>) -> String {
    hex(&Sha256::digest(cert.as_ref()))
}

/// The digests of the certificates that are accepted, by instance.
#[derive(Clone)]
pub struct Pins {
    digests: Arc<RankedMutex<HashMap<Instance, String>>>,
}

impl Default for Pins {
    fn default() -> Self {
        Self {
            digests: Arc::new(RankedMutex::new(LockRank::Pins, HashMap::new())),
        }
    }
}

impl fmt::Debug for Pins {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Pins").finish_non_exhaustive()
    }
}

impl Pins {
    /// Accepts an instance's certificate, in place of one that it had before.
    pub fn set(&self, instance: &Instance, digest: &str) {
        self.digests
            .lock()
            .insert(instance.clone(), digest.to_owned());
    }

    /// Accepts no certificate of an instance any more.
    pub fn remove(&self, instance: &Instance) {
        self.digests.lock().remove(instance);
    }

    fn accepts(&self, cert: &CertificateDer<'_>) -> bool {
        let Some(identity) = Identity::of_certificate(cert) else {
            return false;
        };
        let digests = self.digests.lock();
        digests.get(&identity.instance) == Some(&digest(cert))
    }
}

/// Accepts the certificates that are pinned.
#[derive(Debug)]
pub(crate) struct Verifier {
    pins: Pins,
    provider: Arc<CryptoProvider>,
}

impl Verifier {
    pub(crate) fn new(pins: Pins, provider: Arc<CryptoProvider>) -> Self {
        Self { pins, provider }
    }

    fn check(&self, cert: &CertificateDer<'_>) -> Result<(), rustls::Error> {
        if self.pins.accepts(cert) {
            return Ok(());
        }
        let reason = rustls::CertificateError::ApplicationVerificationFailure;
        Err(rustls::Error::InvalidCertificate(reason))
    }
}

impl ServerCertVerifier for Verifier {
    fn verify_server_cert(
        &self,
        end_entity: &CertificateDer<'_>,
        _intermediates: &[CertificateDer<'_>],
        server_name: &ServerName<'_>,
        _ocsp_response: &[u8],
        _now: UnixTime,
    ) -> Result<ServerCertVerified, rustls::Error> {
        self.check(end_entity)?;
        let named = Identity::of_certificate(end_entity).map(|identity| identity.server_name());
        if named.as_deref() != Some(&*server_name.to_str()) {
            let reason = rustls::CertificateError::NotValidForName;
            return Err(rustls::Error::InvalidCertificate(reason));
        }
        Ok(ServerCertVerified::assertion())
    }

    fn verify_tls12_signature(
        &self,
        message: &[u8],
        cert: &CertificateDer<'_>,
        dss: &DigitallySignedStruct,
    ) -> Result<HandshakeSignatureValid, rustls::Error> {
        let algorithms = &self.provider.signature_verification_algorithms;
        verify_tls12_signature(message, cert, dss, algorithms)
    }

    fn verify_tls13_signature(
        &self,
        message: &[u8],
        cert: &CertificateDer<'_>,
        dss: &DigitallySignedStruct,
    ) -> Result<HandshakeSignatureValid, rustls::Error> {
        let algorithms = &self.provider.signature_verification_algorithms;
        verify_tls13_signature(message, cert, dss, algorithms)
    }

    fn supported_verify_schemes(&self) -> Vec<SignatureScheme> {
        let algorithms = &self.provider.signature_verification_algorithms;
        algorithms.supported_schemes()
    }
}

impl ClientCertVerifier for Verifier {
    fn root_hint_subjects(&self) -> &[DistinguishedName] {
        &[]
    }

    fn verify_client_cert(
        &self,
        end_entity: &CertificateDer<'_>,
        _intermediates: &[CertificateDer<'_>],
        _now: UnixTime,
    ) -> Result<ClientCertVerified, rustls::Error> {
        self.check(end_entity)?;
        Ok(ClientCertVerified::assertion())
    }

    fn verify_tls12_signature(
        &self,
        message: &[u8],
        cert: &CertificateDer<'_>,
        dss: &DigitallySignedStruct,
    ) -> Result<HandshakeSignatureValid, rustls::Error> {
        ServerCertVerifier::verify_tls12_signature(self, message, cert, dss)
    }

    fn verify_tls13_signature(
        &self,
        message: &[u8],
        cert: &CertificateDer<'_>,
        dss: &DigitallySignedStruct,
    ) -> Result<HandshakeSignatureValid, rustls::Error> {
        ServerCertVerifier::verify_tls13_signature(self, message, cert, dss)
    }

    fn supported_verify_schemes(&self) -> Vec<SignatureScheme> {
        ServerCertVerifier::supported_verify_schemes(self)
    }
}
