//! Parts of a daemon that settings describe in the same way for every role.

use std::net::SocketAddr;

use error_stack::{Report, ResultExt};
use jackdaw_base::{ErrorKind, KeyDigest};
use jackdaw_link::FleetIdentity;
use jackdaw_objects::{GovernorSettings, PlatformSettings};
use jackdaw_settings::{KeyFiles, ProcessSettings};

/// The operators' interface of a process.
#[derive(Debug, Clone, Copy)]
pub struct AdminOptions {
    /// The address; port zero lets the system choose.
    pub address: SocketAddr,
    /// The digest of the operators' key.
    pub key_digest: KeyDigest,
}

/// Reads the identity of a process.
///
/// # Errors
///
/// `LocalResource` where a file cannot be read, `SettingsInvalid` where the certificate is of
/// another VM than the settings.
pub fn open_identity(
    keys: &KeyFiles,
    process: &ProcessSettings,
) -> Result<FleetIdentity, Report<ErrorKind>> {
    let identity = FleetIdentity::open(&keys.authority, &keys.certificate, &keys.key)?;
    if identity.vm_name() == process.name {
        return Ok(identity);
    }
    let note =
        format!("[process] name is {}, the certificate is of {}", process.name, identity.vm_name());
    Err(Report::new(ErrorKind::SettingsInvalid).attach(note))
}

/// Builds the settings of the platform's client.
///
/// # Errors
///
/// `SettingsInvalid` where the URL asks for TLS, which the client does not speak.
pub fn platform_client_settings(
    settings: &jackdaw_settings::PlatformSettings,
) -> Result<PlatformSettings, Report<ErrorKind>> {
    let address = settings
        .address()
        .ok_or(ErrorKind::SettingsInvalid)
        .attach("[platform] url: the platform is called over plain http only")?;
    let governor = GovernorSettings {
        calls_per_second: settings.calls_per_second,
        ..GovernorSettings::default()
    };
    Ok(PlatformSettings { governor, ..PlatformSettings::new(address) })
}
