//! Settings of an agent.

use std::path::Path;

use error_stack::Report;
use jackdaw_base::{ErrorKind, ServiceId, ServiceKind};
use jackdaw_policy::SharePolicy;

use crate::reader::{SettingsReader, read_file};
use crate::section::{SERVICE_NAME, SHARE_POLICIES, URL};
use crate::{AdminSettings, KeyFiles, LogSettings, PlatformSettings, ProcessSettings};

const SERVICE_KINDS: &[(&str, ServiceKind)] =
    &[("engine", ServiceKind::Engine), ("plain", ServiceKind::Plain)];

/// Settings of an agent.
#[derive(Debug, Clone, PartialEq)]
pub struct AgentSettings {
    /// The name, failure domain, region and addresses of the process.
    pub process: ProcessSettings,
    /// The files with the TLS identity of the process.
    pub keys: KeyFiles,
    /// Access to the platform's object API.
    pub platform: PlatformSettings,
    /// The target that the agent serves.
    pub target: TargetSettings,
    /// Level and output of the log.
    pub log: LogSettings,
    /// Access to the admin interface.
    pub admin: AdminSettings,
}

/// Section `[target]`: the target that the agent serves.
#[derive(Debug, Clone, PartialEq)]
pub struct TargetSettings {
    /// The name of the service that the target provides.
    pub service: String,
    /// The base URL of the target.
    pub url: String,
    /// The kind of the service, which determines how requests are forwarded to the target.
    pub kind: ServiceKind,
    /// The maximum number of concurrent requests on the target; a change ticket overrides it.
    pub place_limit: u32,
    /// The policy by which the agent selects the next of the waiting offers.
    pub share_policy: SharePolicy,
}

impl AgentSettings {
    /// Reads and checks a settings file.
    ///
    /// # Errors
    ///
    /// Returns `LocalResource` if the file cannot be read, and the errors of
    /// [`AgentSettings::parse`].
    pub fn open(path: &Path) -> Result<AgentSettings, Report<ErrorKind>> {
        let text = read_file(path)?;
        AgentSettings::parse(&path.display().to_string(), &text)
    }

    /// Parses and checks settings in INI format. `file_name` is only used in error messages.
    ///
    /// # Errors
    ///
    /// Returns `SettingsInvalid` with [`crate::SettingsErrors`] attached if any setting is
    /// invalid.
    pub fn parse(file_name: &str, text: &str) -> Result<AgentSettings, Report<ErrorKind>> {
        let mut reader = SettingsReader::new(file_name, text)?;
        let settings = AgentSettings::read(&mut reader);
        reader.finish(settings)
    }

    fn read(reader: &mut SettingsReader<'_>) -> Option<AgentSettings> {
        let process = ProcessSettings::read(reader);
        let keys = KeyFiles::read(reader);
        let platform = PlatformSettings::read(reader);
        let target = TargetSettings::read(reader);
        let log = LogSettings::read(reader);
        let admin = AdminSettings::read(reader);
        Some(AgentSettings {
            process: process?,
            keys: keys?,
            platform: platform?,
            target: target?,
            log: log?,
            admin: admin?,
        })
    }
}

impl TargetSettings {
    /// Returns the identifier of the service that the target provides.
    pub fn service_id(&self) -> ServiceId {
        ServiceId::from_name(&self.service)
    }

    fn read(reader: &mut SettingsReader<'_>) -> Option<TargetSettings> {
        let service = reader.required("target", "service", &SERVICE_NAME);
        let url = reader.required("target", "url", &URL);
        let kind = reader.choice("target", "kind", SERVICE_KINDS, None);
        let places = reader.number("target", "place_limit", 1..=4096, 8);
        let policy =
            reader.choice("target", "share_policy", SHARE_POLICIES, Some(SharePolicy::Fleet));
        Some(TargetSettings {
            service: service?,
            url: url?,
            kind: kind?,
            place_limit: places? as u32,
            share_policy: policy?,
        })
    }
}
