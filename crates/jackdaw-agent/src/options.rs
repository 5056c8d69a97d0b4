//! What an agent needs to start, and how settings give it.

use std::net::SocketAddr;

use error_stack::Report;
use jackdaw_base::{DomainId, ErrorKind, ServiceId, ServiceKind};
use jackdaw_daemon::{AdminOptions, open_identity, platform_client_settings};
use jackdaw_link::{FleetIdentity, LinkSettings};
use jackdaw_objects::PlatformSettings;
use jackdaw_policy::AgentPolicy;
use jackdaw_settings::AgentSettings;

/// What an agent needs to start.
pub struct AgentOptions {
    /// The certificate, key and authority.
    pub identity: FleetIdentity,
    /// The address on which routers open links; port zero lets the system choose.
    pub link_address: SocketAddr,
    /// The operators' interface; `None` serves none.
    pub admin: Option<AdminOptions>,
    /// The failure domain.
    pub domain: DomainId,
    /// The service of the target.
    pub service: ServiceId,
    /// The way requests of the service are forwarded.
    pub kind: ServiceKind,
    /// The base URL of the target.
    pub target_url: String,
    /// The settings of the decision code.
    pub policy: AgentPolicy,
    /// The settings of the links.
    pub link: LinkSettings,
    /// The platform that keeps the claims of recordings.
    pub platform: PlatformSettings,
    /// The seed of the decision code's randomness.
    pub seed: u64,
}

impl AgentOptions {
    /// Builds the options from checked settings and reads the key files they name.
    ///
    /// # Errors
    ///
    /// `LocalResource` where a file cannot be read, `SettingsInvalid` where the certificate is
    /// of another VM than the settings.
    pub fn open(settings: &AgentSettings) -> Result<AgentOptions, Report<ErrorKind>> {
        let identity = open_identity(&settings.keys, &settings.process)?;
        let target = &settings.target;
        let policy = AgentPolicy {
            share_policy: target.share_policy,
            places: target.place_limit,
            ..AgentPolicy::default()
        };
        Ok(AgentOptions {
            identity,
            link_address: settings.process.link_address,
            admin: Some(AdminOptions {
                address: settings.process.admin_address,
                key_digest: settings.admin.key_digest,
            }),
            domain: settings.process.domain_id(),
            service: settings.target.service_id(),
            kind: target.kind,
            target_url: target.url.clone(),
            policy,
            link: LinkSettings::default(),
            platform: platform_client_settings(&settings.platform)?,
            seed: rand::random(),
        })
    }
}
