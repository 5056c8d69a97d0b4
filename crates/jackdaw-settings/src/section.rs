//! Sections and value formats that several settings files share.

use std::net::SocketAddr;
use std::path::PathBuf;

use jackdaw_base::{DomainId, KeyDigest, VmId};
use jackdaw_policy::SharePolicy;
use log::LevelFilter;

use crate::reader::{SettingsReader, ValueRule};

/// The keywords of the policies by which an agent selects the next of the waiting offers.
pub(crate) const SHARE_POLICIES: &[(&str, SharePolicy)] = &[
    ("fleet", SharePolicy::Fleet),
    ("local", SharePolicy::Local),
    ("first-come", SharePolicy::FirstCome),
];

const LOG_LEVELS: &[(&str, LevelFilter)] = &[
    ("error", LevelFilter::Error),
    ("warn", LevelFilter::Warn),
    ("info", LevelFilter::Info),
    ("debug", LevelFilter::Debug),
    ("trace", LevelFilter::Trace),
];

const NAME_LIMIT_BYTES: usize = 128;
const SERVICE_LIMIT_BYTES: usize = 40;

/// A name chosen by the operator.
pub(crate) const NAME: ValueRule<String> =
    ValueRule { allowed: "1 to 128 ASCII letters, digits, '-', '_' and '.'", parse: parse_name };

/// A socket address with an IP address and a port.
pub(crate) const ADDRESS: ValueRule<SocketAddr> = ValueRule {
    allowed: "an IP number and port, such as 10.0.0.5:7400",
    parse: |text| text.parse().ok(),
};

/// The path of a file, which is not checked to exist.
pub(crate) const PATH: ValueRule<PathBuf> =
    ValueRule { allowed: "the path of a file", parse: parse_path };

/// A base URL with an IP address instead of a host name.
pub(crate) const URL: ValueRule<String> =
    ValueRule { allowed: "http://IP-NUMBER:PORT or https://IP-NUMBER:PORT", parse: parse_url };

/// A base URL without TLS, with an IP address instead of a host name.
const PLAIN_URL: ValueRule<String> = ValueRule {
    allowed: "http://IP-NUMBER:PORT",
    parse: |text| parse_url(text).filter(|url| url.starts_with("http://")),
};

/// The name of a service, under the same rules as in change tickets.
pub(crate) const SERVICE_NAME: ValueRule<String> = ValueRule {
    allowed: "1 to 40 bytes of letters, digits, '-', '_', '.' and spaces",
    parse: parse_service,
};

const DIGEST: ValueRule<KeyDigest> = ValueRule {
    allowed: "64 hexadecimal digits, as `jackdaw keys secret` prints them",
    parse: parse_digest,
};

const OUTPUT: ValueRule<LogOutput> =
    ValueRule { allowed: "stderr, stdout or the path of a file", parse: parse_output };

/// Section `[process]`: the name, failure domain, region and addresses of the process.
#[derive(Debug, Clone, PartialEq)]
pub struct ProcessSettings {
    /// The name of the VM, as in the platform's list of VMs and in the certificate.
    pub name: String,
    /// The name of the failure domain.
    pub domain: String,
    /// The name of the region.
    pub region: String,
    /// The address on which the process accepts links from other processes.
    pub link_address: SocketAddr,
    /// The address of the admin interface.
    pub admin_address: SocketAddr,
}

impl ProcessSettings {
    /// Returns the identifier of the VM.
    pub fn vm_id(&self) -> VmId {
        VmId::from_name(&self.name)
    }

    /// Returns the identifier of the failure domain.
    pub fn domain_id(&self) -> DomainId {
        DomainId::from_name(&self.domain)
    }

    pub(crate) fn read(reader: &mut SettingsReader<'_>) -> Option<ProcessSettings> {
        let name = reader.required("process", "name", &NAME);
        let domain = reader.required("process", "domain", &NAME);
        let region = reader.required("process", "region", &NAME);
        let link_address = reader.required("process", "link_address", &ADDRESS);
        let admin_address = reader.required("process", "admin_address", &ADDRESS);
        Some(ProcessSettings {
            name: name?,
            domain: domain?,
            region: region?,
            link_address: link_address?,
            admin_address: admin_address?,
        })
    }
}

/// Section `[keys]`: the files with the TLS identity of the process.
#[derive(Debug, Clone, PartialEq)]
pub struct KeyFiles {
    /// The PEM file with the certificate of the fleet's certificate authority.
    pub authority: PathBuf,
    /// The PEM file with the certificate of this process.
    pub certificate: PathBuf,
    /// The PEM file with the private key of this process.
    pub key: PathBuf,
}

impl KeyFiles {
    pub(crate) fn read(reader: &mut SettingsReader<'_>) -> Option<KeyFiles> {
        let authority = reader.required("keys", "authority", &PATH);
        let certificate = reader.required("keys", "certificate", &PATH);
        let key = reader.required("keys", "key", &PATH);
        Some(KeyFiles { authority: authority?, certificate: certificate?, key: key? })
    }
}

/// Section `[platform]`: access to the platform's object API.
#[derive(Debug, Clone, PartialEq)]
pub struct PlatformSettings {
    /// The base URL of the object API.
    pub url: String,
    /// The maximum number of calls that this process makes per second.
    pub calls_per_second: u32,
}

impl PlatformSettings {
    /// Returns the address of the object API, or `None` if the URL scheme is not `http`.
    pub fn address(&self) -> Option<SocketAddr> {
        self.url.strip_prefix("http://")?.parse().ok()
    }

    pub(crate) fn read(reader: &mut SettingsReader<'_>) -> Option<PlatformSettings> {
        let url = reader.required("platform", "url", &PLAIN_URL);
        let calls = reader.number("platform", "calls_per_second", 1..=1000, 20);
        Some(PlatformSettings { url: url?, calls_per_second: calls? as u32 })
    }
}

/// The destination of log lines.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum LogOutput {
    /// Standard error.
    StandardError,
    /// Standard output, through a bounded buffer so that logging never blocks the process.
    StandardOutput,
    /// A file to which lines are appended.
    File(PathBuf),
}

/// Section `[log]`: level and output of the log.
#[derive(Debug, Clone, PartialEq)]
pub struct LogSettings {
    /// The least severe level that is logged.
    pub level: LevelFilter,
    /// The destination of log lines.
    pub output: LogOutput,
}

impl LogSettings {
    pub(crate) fn read(reader: &mut SettingsReader<'_>) -> Option<LogSettings> {
        let level = reader.choice("log", "level", LOG_LEVELS, Some(LevelFilter::Info));
        let output = reader.optional("log", "output", &OUTPUT);
        Some(LogSettings { level: level?, output: output?.unwrap_or(LogOutput::StandardError) })
    }
}

/// Section `[admin]`: access to the admin interface.
#[derive(Debug, Clone, PartialEq)]
pub struct AdminSettings {
    /// The BLAKE3 digest of the operators' key. The key itself is not stored on any VM.
    pub key_digest: KeyDigest,
}

impl AdminSettings {
    pub(crate) fn read(reader: &mut SettingsReader<'_>) -> Option<AdminSettings> {
        let key_digest = reader.required("admin", "key_digest", &DIGEST);
        Some(AdminSettings { key_digest: key_digest? })
    }
}

fn parse_name(text: &str) -> Option<String> {
    let allowed = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.');
    let fits = !text.is_empty() && text.len() <= NAME_LIMIT_BYTES && text.chars().all(allowed);
    fits.then(|| text.to_owned())
}

fn parse_service(text: &str) -> Option<String> {
    let allowed = |c: char| c.is_alphanumeric() || matches!(c, '-' | '_' | '.' | ' ');
    let fits = !text.is_empty() && text.len() <= SERVICE_LIMIT_BYTES && text.chars().all(allowed);
    fits.then(|| text.to_owned())
}

fn parse_path(text: &str) -> Option<PathBuf> {
    (!text.is_empty()).then(|| PathBuf::from(text))
}

fn parse_url(text: &str) -> Option<String> {
    let text = text.strip_suffix('/').unwrap_or(text);
    let authority = text.strip_prefix("http://").or_else(|| text.strip_prefix("https://"))?;
    authority.parse::<SocketAddr>().ok()?;
    Some(text.to_owned())
}

fn parse_output(text: &str) -> Option<LogOutput> {
    match text {
        "stderr" => Some(LogOutput::StandardError),
        "stdout" => Some(LogOutput::StandardOutput),
        path => parse_path(path).map(LogOutput::File),
    }
}

fn parse_digest(text: &str) -> Option<KeyDigest> {
    let mut digest = [0; 32];
    if text.len() != digest.len() * 2 || !text.bytes().all(|byte| byte.is_ascii_hexdigit()) {
        return None;
    }
    for (position, byte) in digest.iter_mut().enumerate() {
        *byte = u8::from_str_radix(&text[position * 2..position * 2 + 2], 16).ok()?;
    }
    Some(KeyDigest(digest))
}
