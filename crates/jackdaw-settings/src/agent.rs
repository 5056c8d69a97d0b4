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
    /// Who and where the process is.
    pub process: ProcessSettings,
    /// The process's identity.
    pub keys: KeyFiles,
    /// The platform's object API.
    pub platform: PlatformSettings,
    /// The target beside the agent.
    pub target: TargetSettings,
    /// The log.
    pub log: LogSettings,
    /// The operators' interface.
    pub admin: AdminSettings,
}

/// Section `[target]`: the target beside the agent.
#[derive(Debug, Clone, PartialEq)]
pub struct TargetSettings {
    /// The name of its service.
    pub service: String,
    /// The base URL.
    pub url: String,
    /// How requests are forwarded to it.
    pub kind: ServiceKind,
    /// The most requests that it may run at a time until a change ticket says otherwise.
    pub place_limit: u32,
    /// The rule by which the agent chooses among waiting offers.
    pub share_policy: SharePolicy,
}

impl AgentSettings {
    /// Reads a file.
    ///
    /// # Errors
    ///
    /// `LocalResource` where the file cannot be read, otherwise as [`AgentSettings::parse`].
    pub fn open(path: &Path) -> Result<AgentSettings, Report<ErrorKind>> {
        let text = read_file(path)?;
        AgentSettings::parse(&path.display().to_string(), &text)
    }

    /// Reads a text; the file name is for faults only.
    ///
    /// # Errors
    ///
    /// `SettingsInvalid` with [`crate::SettingsErrors`] attached.
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
    /// Returns the identifier of the service.
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
