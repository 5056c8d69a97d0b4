//! Startup options of an agent and their construction from settings.

use std::net::SocketAddr;

use error_stack::Report;
use jackdaw_base::{DomainId, ErrorKind, ServiceId, ServiceKind};
use jackdaw_daemon::{AdminOptions, open_identity, platform_client_settings};
use jackdaw_link::{FleetIdentity, LinkSettings};
use jackdaw_objects::PlatformSettings;
use jackdaw_policy::AgentPolicy;
use jackdaw_settings::AgentSettings;

/// Startup options of an agent.
pub struct AgentOptions {
    /// Certificate and key of this agent, and the certificate of the fleet's authority.
    pub identity: FleetIdentity,
    /// Address to bind for links from routers; port zero lets the system choose a port.
    pub link_address: SocketAddr,
    /// Admin interface; `None` disables it.
    pub admin: Option<AdminOptions>,
    /// Failure domain of the VM.
    pub domain: DomainId,
    /// Service that the target provides.
    pub service: ServiceId,
    /// Kind of the service, which determines the unit of its cost.
    pub kind: ServiceKind,
    /// Base URL of the target.
    pub target_url: String,
    /// Settings of the agent state machine.
    pub policy: AgentPolicy,
    /// Settings of the links to routers.
    pub link: LinkSettings,
    /// Platform that stores the claims of recording requests.
    pub platform: PlatformSettings,
    /// Seed of the state machine's random number generator.
    pub seed: u64,
}

impl AgentOptions {
    /// Builds the options from validated settings and loads the key files that they reference.
    ///
    /// # Errors
    ///
    /// - [`ErrorKind::LocalResource`] if a file cannot be read.
    /// - [`ErrorKind::SettingsInvalid`] if the certificate was issued to another VM than the one in
    ///   the settings.
    pub fn from_settings(settings: &AgentSettings) -> Result<AgentOptions, Report<ErrorKind>> {
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
