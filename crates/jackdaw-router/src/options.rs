//! Startup options of a router and their construction from settings.

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

/// Startup options of a router.
pub struct RouterOptions {
    /// Certificate and key of this router, and the certificate of the fleet's authority.
    pub identity: FleetIdentity,
    /// HTTP server for callers.
    pub caller: CallerSettings,
    /// Address to bind for links from other routers; port zero lets the system choose a port.
    pub link_address: SocketAddr,
    /// Admin interface; `None` disables it.
    pub admin: Option<AdminOptions>,
    /// Failure domain of the VM.
    pub domain: DomainId,
    /// Settings of the links to agents and other routers.
    pub link: LinkSettings,
    /// Settings of the router state machine.
    pub policy: RouterPolicy,
    /// Platform that stores the configuration.
    pub platform: PlatformSettings,
    /// Time within which a run must start if the caller does not state one.
    pub default_patience: Duration,
    /// Seed of the random number generators of the state machine and of peer selection.
    pub seed: u64,
}

impl RouterOptions {
    /// Builds the options from validated settings and loads the key files that they reference.
    ///
    /// # Errors
    ///
    /// - [`ErrorKind::LocalResource`] if a file cannot be read.
    /// - [`ErrorKind::SettingsInvalid`] if the content of a file is invalid or does not match the
    ///   settings.
    pub fn from_settings(settings: &RouterSettings) -> Result<RouterOptions, Report<ErrorKind>> {
        let requests = &settings.requests;
        let tls = match &settings.caller_tls {
            Some(files) => Some(load_tls_config(files)?),
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

/// Loads the certificate chain and key that are presented to callers.
fn load_tls_config(files: &CallerTls) -> Result<ServerConfig, Report<ErrorKind>> {
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
