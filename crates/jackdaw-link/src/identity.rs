//! Certificate by which a process authenticates itself to its peers.

use std::path::Path;
use std::sync::Arc;
use std::time::Duration;

use error_stack::{Report, ResultExt};
use jackdaw_base::{ErrorKind, VmId};
use quinn::crypto::rustls::{QuicClientConfig, QuicServerConfig};
use rustls::RootCertStore;
use rustls::client::Resumption;
use rustls::crypto::ring;
use rustls::server::{NoServerSessionStorage, WebPkiClientVerifier};
use rustls_pki_types::pem::PemObject;
use rustls_pki_types::{CertificateDer, PrivateKeyDer};
use time::OffsetDateTime;
use x509_parser::extensions::GeneralName;
use x509_parser::parse_x509_certificate;

use crate::authority::{parse_identity_uri, read_text};
use crate::{LinkSettings, ProcessRole};

const ALPN_PROTOCOL: &[u8] = b"jackdaw/1";

/// Certificate and private key of a process, and the authorities that it trusts.
pub struct FleetIdentity {
    authorities: Arc<RootCertStore>,
    chain: Vec<CertificateDer<'static>>,
    key: PrivateKeyDer<'static>,
    subject: CertificateSubject,
}

/// Subject of a certificate.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct CertificateSubject {
    /// Name of the VM.
    pub(crate) vm_name: String,
    /// Role of the process on the VM.
    pub(crate) role: ProcessRole,
    /// Time at which the certificate expires.
    pub(crate) expires: OffsetDateTime,
}

impl FleetIdentity {
    /// Loads an identity from PEM files.
    pub fn open(
        authority: &Path,
        certificate: &Path,
        key: &Path,
    ) -> Result<FleetIdentity, Report<ErrorKind>> {
        FleetIdentity::from_pem(&read_text(authority)?, &read_text(certificate)?, &read_text(key)?)
    }

    /// Parses an identity from PEM texts; `authority` may contain several certificates.
    pub fn from_pem(
        authority: &str,
        certificate: &str,
        key: &str,
    ) -> Result<FleetIdentity, Report<ErrorKind>> {
        let mut authorities = RootCertStore::empty();
        for certificate in read_certificates(authority, "authority")? {
            authorities.add(certificate).change_context(ErrorKind::SettingsInvalid)?;
        }
        let chain = read_certificates(certificate, "certificate")?;
        let key = PrivateKeyDer::from_pem_slice(key.as_bytes())
            .change_context(ErrorKind::SettingsInvalid)
            .attach("key: no private key in PEM form found")?;
        let subject = read_subject(&chain[0])?;
        Ok(FleetIdentity { authorities: Arc::new(authorities), chain, key, subject })
    }

    /// Returns the VM that the certificate was issued to.
    pub fn vm(&self) -> VmId {
        VmId::from_name(&self.subject.vm_name)
    }

    /// Returns the name of the VM that the certificate was issued to.
    pub fn vm_name(&self) -> &str {
        &self.subject.vm_name
    }

    /// Returns the role that the certificate was issued for.
    pub fn role(&self) -> ProcessRole {
        self.subject.role
    }

    /// Returns the time at which the certificate expires.
    pub fn expires(&self) -> OffsetDateTime {
        self.subject.expires
    }

    /// Returns the configuration of links that are opened by peers.
    ///
    /// Session resumption is disabled, so that every link verifies that the certificate is valid at
    /// that time.
    pub(crate) fn server_config(
        &self,
        settings: &LinkSettings,
    ) -> Result<quinn::ServerConfig, Report<ErrorKind>> {
        let provider = Arc::new(ring::default_provider());
        let verifier = WebPkiClientVerifier::builder_with_provider(
            Arc::clone(&self.authorities),
            Arc::clone(&provider),
        )
        .build()
        .change_context(ErrorKind::SettingsInvalid)?;
        let mut config = rustls::ServerConfig::builder_with_provider(provider)
            .with_protocol_versions(&[&rustls::version::TLS13])
            .change_context(ErrorKind::SettingsInvalid)?
            .with_client_cert_verifier(verifier)
            .with_single_cert(self.chain.clone(), self.key.clone_key())
            .change_context(ErrorKind::SettingsInvalid)
            .attach("the private key does not match the certificate")?;
        config.alpn_protocols = vec![ALPN_PROTOCOL.to_vec()];
        config.session_storage = Arc::new(NoServerSessionStorage {});
        config.send_tls13_tickets = 0;
        let crypto =
            QuicServerConfig::try_from(config).change_context(ErrorKind::SettingsInvalid)?;
        let mut config = quinn::ServerConfig::with_crypto(Arc::new(crypto));
        config.transport_config(transport_config(settings)?);
        Ok(config)
    }

    /// Returns the configuration of links that are opened by this process.
    pub(crate) fn client_config(
        &self,
        settings: &LinkSettings,
    ) -> Result<quinn::ClientConfig, Report<ErrorKind>> {
        let provider = Arc::new(ring::default_provider());
        let mut config = rustls::ClientConfig::builder_with_provider(provider)
            .with_protocol_versions(&[&rustls::version::TLS13])
            .change_context(ErrorKind::SettingsInvalid)?
            .with_root_certificates(Arc::clone(&self.authorities))
            .with_client_auth_cert(self.chain.clone(), self.key.clone_key())
            .change_context(ErrorKind::SettingsInvalid)
            .attach("the private key does not match the certificate")?;
        config.alpn_protocols = vec![ALPN_PROTOCOL.to_vec()];
        config.resumption = Resumption::disabled();
        let crypto =
            QuicClientConfig::try_from(config).change_context(ErrorKind::SettingsInvalid)?;
        let mut config = quinn::ClientConfig::new(Arc::new(crypto));
        config.transport_config(transport_config(settings)?);
        Ok(config)
    }
}

/// Reads VM name, role and expiry from a certificate.
pub(crate) fn read_subject(
    certificate: &CertificateDer<'_>,
) -> Result<CertificateSubject, Report<ErrorKind>> {
    let (_, parsed) =
        parse_x509_certificate(certificate).change_context(ErrorKind::SettingsInvalid)?;
    let names = parsed
        .subject_alternative_name()
        .change_context(ErrorKind::SettingsInvalid)?
        .map(|extension| extension.value.general_names.as_slice())
        .unwrap_or_default();
    for name in names {
        if let GeneralName::URI(uri) = name
            && let Some((role, vm_name)) = parse_identity_uri(uri)
        {
            let expires = parsed.validity().not_after.to_datetime();
            return Ok(CertificateSubject { vm_name: vm_name.to_owned(), role, expires });
        }
    }
    Err(Report::new(ErrorKind::SettingsInvalid)
        .attach("the certificate has no `jackdaw://` URI with a role and a VM name"))
}

fn read_certificates(
    pem: &str,
    what: &str,
) -> Result<Vec<CertificateDer<'static>>, Report<ErrorKind>> {
    let certificates = CertificateDer::pem_slice_iter(pem.as_bytes())
        .collect::<Result<Vec<_>, _>>()
        .change_context(ErrorKind::SettingsInvalid)
        .attach_with(|| format!("{what}: invalid PEM"))?;
    if certificates.is_empty() {
        return Err(Report::new(ErrorKind::SettingsInvalid)
            .attach(format!("{what}: no certificate in PEM form found")));
    }
    Ok(certificates)
}

fn transport_config(
    settings: &LinkSettings,
) -> Result<Arc<quinn::TransportConfig>, Report<ErrorKind>> {
    let idle_timeout =
        quinn::IdleTimeout::try_from(Duration::max(settings.idle_timeout, settings.keep_alive))
            .change_context(ErrorKind::SettingsInvalid)?;
    let mut config = quinn::TransportConfig::default();
    config
        .max_idle_timeout(Some(idle_timeout))
        .keep_alive_interval(Some(settings.keep_alive))
        .max_concurrent_bidi_streams(settings.run_stream_limit.into())
        .max_concurrent_uni_streams(0u32.into())
        .datagram_receive_buffer_size(None);
    Ok(Arc::new(config))
}
