//! What a router needs to start, and how settings give it.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use error_stack::{Report, ResultExt};
use jackdaw_base::{DomainId, ErrorKind};
use jackdaw_daemon::{AdminOptions, open_identity, platform_client_settings};
use jackdaw_link::{FleetIdentity, LinkSettings};
use jackdaw_objects::PlatformSettings;
use jackdaw_policy::RouterPolicy;
use jackdaw_settings::{CallerTls, RouterSettings};
use rustls::ServerConfig;
use rustls_pki_types::pem::PemObject;
use rustls_pki_types::{CertificateDer, PrivateKeyDer};

use crate::caller_server::CallerSettings;

/// What a router needs to start.
pub struct RouterOptions {
    /// The certificate, key and authority.
    pub identity: FleetIdentity,
    /// The server towards callers.
    pub caller: CallerSettings,
    /// The address on which other routers open links; port zero lets the system choose.
    pub link_address: SocketAddr,
    /// The operators' interface; `None` serves none.
    pub admin: Option<AdminOptions>,
    /// The failure domain.
    pub domain: DomainId,
    /// The settings of the links.
    pub link: LinkSettings,
    /// The settings of the decision code.
    pub policy: RouterPolicy,
    /// The platform that keeps the configuration.
    pub platform: PlatformSettings,
    /// The time within which a run is to start where the caller names none.
    pub default_patience: Duration,
    /// The seed of the decision code's randomness.
    pub seed: u64,
}

impl RouterOptions {
    /// Builds the options from checked settings and reads the key files they name.
    ///
    /// # Errors
    ///
    /// `LocalResource` where a file cannot be read, `SettingsInvalid` where the files do not
    /// fit the settings.
    pub fn open(settings: &RouterSettings) -> Result<RouterOptions, Report<ErrorKind>> {
        let requests = &settings.requests;
        let tls = match &settings.caller_tls {
            Some(files) => Some(open_tls(files)?),
            None => None,
        };
        let policy = RouterPolicy {
            offers_per_request: requests.offers_per_request as u32,
            ..RouterPolicy::default()
        };
        Ok(RouterOptions {
            identity: open_identity(&settings.keys, &settings.process)?,
            caller: CallerSettings {
                address: settings.caller_address,
                body_limit: requests.body_limit_bytes,
                tls,
            },
            link_address: settings.process.link_address,
            admin: Some(AdminOptions {
                address: settings.process.admin_address,
                key_digest: settings.admin.key_digest,
            }),
            domain: settings.process.domain_id(),
            link: LinkSettings::default(),
            policy,
            platform: platform_client_settings(&settings.platform)?,
            default_patience: requests.deadline_default,
            seed: rand::random(),
        })
    }
}

/// Reads the certificate and key that callers see.
fn open_tls(files: &CallerTls) -> Result<ServerConfig, Report<ErrorKind>> {
    let mut chain = Vec::new();
    let certificates = CertificateDer::pem_file_iter(&files.certificate)
        .change_context(ErrorKind::LocalResource)
        .attach_with(|| files.certificate.display().to_string())?;
    for certificate in certificates {
        chain.push(certificate.change_context(ErrorKind::SettingsInvalid)?);
    }
    let key = PrivateKeyDer::from_pem_file(&files.key)
        .change_context(ErrorKind::LocalResource)
        .attach_with(|| files.key.display().to_string())?;
    let provider = Arc::new(rustls::crypto::ring::default_provider());
    ServerConfig::builder_with_provider(provider)
        .with_safe_default_protocol_versions()
        .change_context(ErrorKind::SettingsInvalid)?
        .with_no_client_auth()
        .with_single_cert(chain, key)
        .change_context(ErrorKind::SettingsInvalid)
}
