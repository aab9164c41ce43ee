//! `chiverelay certs`: makes the authority and the instances' certificates.

use std::path::Path;
use std::path::PathBuf;

use chiverelay_decisions::names::check_certificate_name;
use chiverelay_sibling::server_name;
use rcgen::BasicConstraints;
use rcgen::CertificateParams;
use rcgen::CertifiedIssuer;
use rcgen::ExtendedKeyUsagePurpose;
use rcgen::IsCa;
use rcgen::Issuer;
use rcgen::KeyPair;
use rcgen::KeyUsagePurpose;
use serde_json::json;

use super::Error;
use super::Output;

/// Describes the subcommand.
pub(crate) fn describe() -> &'static str {
    "chiverelay certs --dir DIR [--instance NAME --region REGION]\n    \
     Makes the authority in DIR, or the certificate of one instance."
}

/// Executes the subcommand.
pub(crate) fn execute(mut args: pico_args::Arguments, out: Output) -> Result<(), Error> {
    let dir: PathBuf = args.value_from_str("--dir")?;
    let instance: Option<String> = args.opt_value_from_str("--instance")?;
    match instance {
        None => {
            super::finish(args)?;
            authority(&dir)?;
        }
        Some(instance) => {
            let region: String = args.value_from_str("--region")?;
            super::finish(args)?;
            check(&instance)?;
            check(&region)?;
            certificate(&dir, &instance, &region)?;
        }
    }
    out.print(&json!({"dir": dir}), |_| String::new())
}

fn check(name: &str) -> Result<(), Error> {
    check_certificate_name(name).map_err(|reason| Error::Name {
        name: name.to_owned(),
        reason,
    })
}

fn write(path: PathBuf, text: &str) -> Result<(), Error> {
    use std::io::Write;
    use std::os::unix::fs::OpenOptionsExt;
    let secret = path.extension().is_some_and(|e| e == "key");
    let mode = if secret { 0o600 } else { 0o644 };
    std::fs::OpenOptions::new()
        .write(true)
        .create_new(true)
        .mode(mode)
        .open(&path)
        .and_then(|mut f| f.write_all(text.as_bytes()))
        .map_err(|source| Error::File { path, source })
}

/// Makes `ca.pem` and `ca.key`.
fn authority(dir: &Path) -> Result<(), Error> {
    let mut params = CertificateParams::new(Vec::new())?;
    params.is_ca = IsCa::Ca(BasicConstraints::Constrained(0));
    params.key_usages = vec![KeyUsagePurpose::KeyCertSign];
    let ca = CertifiedIssuer::self_signed(params, KeyPair::generate()?)?;
    write(dir.join("ca.key"), &ca.key().serialize_pem())?;
    write(dir.join("ca.pem"), &ca.pem())
}

/// Makes `NAME.pem` and `NAME.key`, signed by the authority in `dir`.
fn certificate(dir: &Path, instance: &str, region: &str) -> Result<(), Error> {
    let ca_key = KeyPair::from_pem(&super::read(&dir.join("ca.key"))?)?;
    let issuer = Issuer::from_ca_cert_pem(&super::read(&dir.join("ca.pem"))?, ca_key)?;
    let name = server_name(&instance.into(), &region.into());
    let mut params = CertificateParams::new(vec![name])?;
    params.extended_key_usages = vec![
        ExtendedKeyUsagePurpose::ServerAuth,
        ExtendedKeyUsagePurpose::ClientAuth,
    ];
    let key = KeyPair::generate()?;
    let cert = params.signed_by(&key, &issuer)?;
    write(dir.join(format!("{instance}.key")), &key.serialize_pem())?;
    write(dir.join(format!("{instance}.pem")), &cert.pem())
}
