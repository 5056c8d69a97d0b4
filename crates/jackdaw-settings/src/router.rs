//! Settings of a router.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

use error_stack::Report;
use jackdaw_base::ErrorKind;
use jackdaw_policy::RouterPolicy;

use crate::reader::{SettingsReader, read_file};
use crate::section::{ADDRESS, PATH};
use crate::{AdminSettings, KeyFiles, LogSettings, PlatformSettings, ProcessSettings};

const BODY_LIMIT_BYTES: u64 = 16 * 1024 * 1024;
const BODY_DEFAULT_BYTES: u64 = 4 * 1024 * 1024;
const DEADLINE_LIMIT_MS: u64 = 24 * 60 * 60 * 1000;
const DEADLINE_DEFAULT_MS: u64 = 10 * 60 * 1000;

/// Settings of a router.
#[derive(Debug, Clone, PartialEq)]
pub struct RouterSettings {
    /// The name, failure domain, region and addresses of the process.
    pub process: ProcessSettings,
    /// The address on which callers connect.
    pub caller_address: SocketAddr,
    /// The files with the TLS identity of the process.
    pub keys: KeyFiles,
    /// The TLS files for connections from callers; `None` if the load balancer terminates TLS.
    pub caller_tls: Option<CallerTls>,
    /// Access to the platform's object API.
    pub platform: PlatformSettings,
    /// Limits on requests from callers.
    pub requests: RequestSettings,
    /// Level and output of the log.
    pub log: LogSettings,
    /// Access to the admin interface.
    pub admin: AdminSettings,
}

/// Files for TLS on connections from callers.
#[derive(Debug, Clone, PartialEq)]
pub struct CallerTls {
    /// The PEM file with the certificate chain.
    pub certificate: PathBuf,
    /// The PEM file with the private key.
    pub key: PathBuf,
}

/// Section `[requests]`: limits on requests from callers.
#[derive(Debug, Clone, PartialEq)]
pub struct RequestSettings {
    /// The maximum size of a request body, in bytes.
    pub body_limit_bytes: usize,
    /// The deadline of a request that does not state one.
    pub deadline_default: Duration,
    /// The number of agents to which a waiting request is offered at first.
    pub offers_per_request: usize,
}

impl RouterSettings {
    /// Reads and checks a settings file.
    ///
    /// # Errors
    ///
    /// Returns `LocalResource` if the file cannot be read, and the errors of
    /// [`RouterSettings::parse`].
    pub fn open(path: &Path) -> Result<RouterSettings, Report<ErrorKind>> {
        let text = read_file(path)?;
        RouterSettings::parse(&path.display().to_string(), &text)
    }

    /// Parses and checks settings in INI format. `file_name` is only used in error messages.
    ///
    /// # Errors
    ///
    /// Returns `SettingsInvalid` with [`crate::SettingsErrors`] attached if any setting is
    /// invalid.
    pub fn parse(file_name: &str, text: &str) -> Result<RouterSettings, Report<ErrorKind>> {
        let mut reader = SettingsReader::new(file_name, text)?;
        let settings = RouterSettings::read(&mut reader);
        reader.finish(settings)
    }

    fn read(reader: &mut SettingsReader<'_>) -> Option<RouterSettings> {
        let process = ProcessSettings::read(reader);
        let caller_address = reader.required("process", "caller_address", &ADDRESS);
        let keys = KeyFiles::read(reader);
        let caller_tls = CallerTls::read(reader);
        let platform = PlatformSettings::read(reader);
        let requests = RequestSettings::read(reader);
        let log = LogSettings::read(reader);
        let admin = AdminSettings::read(reader);
        Some(RouterSettings {
            process: process?,
            caller_address: caller_address?,
            keys: keys?,
            caller_tls: caller_tls?,
            platform: platform?,
            requests: requests?,
            log: log?,
            admin: admin?,
        })
    }
}

impl CallerTls {
    fn read(reader: &mut SettingsReader<'_>) -> Option<Option<CallerTls>> {
        let certificate = reader.optional("keys", "caller_certificate", &PATH)?;
        let key = reader.optional("keys", "caller_key", &PATH)?;
        match (certificate, key) {
            (Some(certificate), Some(key)) => Some(Some(CallerTls { certificate, key })),
            (None, None) => Some(None),
            (Some(_), None) => {
                let allowed = "the path of a file, since caller_certificate is set";
                reader.add_error("keys", "caller_key", "nothing".into(), allowed.into());
                None
            }
            (None, Some(_)) => {
                let allowed = "the path of a file, since caller_key is set";
                reader.add_error("keys", "caller_certificate", "nothing".into(), allowed.into());
                None
            }
        }
    }
}

impl RequestSettings {
    fn read(reader: &mut SettingsReader<'_>) -> Option<RequestSettings> {
        let body =
            reader.number("requests", "body_limit_bytes", 1..=BODY_LIMIT_BYTES, BODY_DEFAULT_BYTES);
        let deadline = reader.number(
            "requests",
            "deadline_default_ms",
            1..=DEADLINE_LIMIT_MS,
            DEADLINE_DEFAULT_MS,
        );
        let offers_default = u64::from(RouterPolicy::default().offers_per_request);
        let offers = reader.number("requests", "offers_per_request", 1..=64, offers_default);
        Some(RequestSettings {
            body_limit_bytes: body? as usize,
            deadline_default: Duration::from_millis(deadline?),
            offers_per_request: offers? as usize,
        })
    }
}
