//! Sections that every process has.

use std::net::SocketAddr;
use std::path::PathBuf;

use jackdaw_base::{DomainId, KeyDigest, VmId};
use jackdaw_policy::SharePolicy;
use log::LevelFilter;

use crate::reader::{SettingsReader, ValueRule};

/// The words for the rules by which agents choose among waiting offers.
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

/// A name that operators choose.
pub(crate) const NAME: ValueRule<String> =
    ValueRule { allowed: "1 to 128 ASCII letters, digits, '-', '_' and '.'", parse: parse_name };

/// An address to listen on.
pub(crate) const ADDRESS: ValueRule<SocketAddr> = ValueRule {
    allowed: "an IP number and port, such as 10.0.0.5:7400",
    parse: |text| text.parse().ok(),
};

/// A file.
pub(crate) const PATH: ValueRule<PathBuf> =
    ValueRule { allowed: "the path of a file", parse: parse_path };

/// A URL by IP number.
pub(crate) const URL: ValueRule<String> =
    ValueRule { allowed: "http://IP-NUMBER:PORT or https://IP-NUMBER:PORT", parse: parse_url };

/// A URL by IP number without TLS.
const PLAIN_URL: ValueRule<String> = ValueRule {
    allowed: "http://IP-NUMBER:PORT",
    parse: |text| parse_url(text).filter(|url| url.starts_with("http://")),
};

/// The name of a service, as change tickets allow it.
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

/// Section `[process]`: who and where the process is.
#[derive(Debug, Clone, PartialEq)]
pub struct ProcessSettings {
    /// The name of the VM, as in the platform's list and in the certificate.
    pub name: String,
    /// The failure domain.
    pub domain: String,
    /// The region.
    pub region: String,
    /// The address for links from other processes.
    pub link_address: SocketAddr,
    /// The address of the operators' interface.
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

/// Section `[keys]`: the files by which the process proves who it is.
#[derive(Debug, Clone, PartialEq)]
pub struct KeyFiles {
    /// The certificate of the fleet authority, as PEM.
    pub authority: PathBuf,
    /// The certificate of this process, as PEM.
    pub certificate: PathBuf,
    /// The private key of this process, as PEM.
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

/// Section `[platform]`: the platform's object API.
#[derive(Debug, Clone, PartialEq)]
pub struct PlatformSettings {
    /// The base URL.
    pub url: String,
    /// The most calls a second that this process makes.
    pub calls_per_second: u32,
}

impl PlatformSettings {
    /// Returns the address of the API, or `None` where the URL is not a plain HTTP one.
    pub fn address(&self) -> Option<SocketAddr> {
        self.url.strip_prefix("http://")?.parse().ok()
    }

    pub(crate) fn read(reader: &mut SettingsReader<'_>) -> Option<PlatformSettings> {
        let url = reader.required("platform", "url", &PLAIN_URL);
        let calls = reader.number("platform", "calls_per_second", 1..=1000, 20);
        Some(PlatformSettings { url: url?, calls_per_second: calls? as u32 })
    }
}

/// Where log lines go.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum LogOutput {
    /// Standard error.
    StandardError,
    /// Standard output, through a bounded buffer that never blocks the process.
    StandardOutput,
    /// A file, to which lines are appended.
    File(PathBuf),
}

/// Section `[log]`: what is logged and where.
#[derive(Debug, Clone, PartialEq)]
pub struct LogSettings {
    /// The least severe level that is logged.
    pub level: LevelFilter,
    /// Where the lines go.
    pub output: LogOutput,
}

impl LogSettings {
    pub(crate) fn read(reader: &mut SettingsReader<'_>) -> Option<LogSettings> {
        let level = reader.choice("log", "level", LOG_LEVELS, Some(LevelFilter::Info));
        let output = reader.optional("log", "output", &OUTPUT);
        Some(LogSettings { level: level?, output: output?.unwrap_or(LogOutput::StandardError) })
    }
}

/// Section `[admin]`: who may use the operators' interface.
#[derive(Debug, Clone, PartialEq)]
pub struct AdminSettings {
    /// The BLAKE3 digest of the operators' key; the key itself is on no VM.
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
