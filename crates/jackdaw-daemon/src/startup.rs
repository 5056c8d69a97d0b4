//! Builds the parts of a daemon whose settings are the same for every role.

use std::net::SocketAddr;

use error_stack::{Report, ResultExt};
use jackdaw_base::{ErrorKind, KeyDigest};
use jackdaw_link::FleetIdentity;
use jackdaw_objects::{GovernorSettings, PlatformSettings};
use jackdaw_settings::{KeyFiles, ProcessSettings};

/// Options of the admin interface of a process.
#[derive(Debug, Clone, Copy)]
pub struct AdminOptions {
    /// The address to bind; with port 0, the system assigns a free port.
    pub address: SocketAddr,
    /// The BLAKE3 digest of the operators' key.
    pub key_digest: KeyDigest,
}

/// Reads the TLS identity of a process.
///
/// # Errors
///
/// Returns `LocalResource` if a file cannot be read and `SettingsInvalid` if the certificate was
/// issued to another VM than the one that the settings name.
pub fn open_identity(
    keys: &KeyFiles,
    process: &ProcessSettings,
) -> Result<FleetIdentity, Report<ErrorKind>> {
    let identity = FleetIdentity::open(&keys.authority, &keys.certificate, &keys.key)?;
    if identity.vm_name() == process.name {
        return Ok(identity);
    }
    let note = format!(
        "[process] name is {}, but the certificate was issued to {}",
        process.name,
        identity.vm_name()
    );
    Err(Report::new(ErrorKind::SettingsInvalid).attach(note))
}

/// Builds the settings of the client of the platform's object API.
///
/// # Errors
///
/// Returns `SettingsInvalid` if the URL scheme is `https`, as the client does not support TLS.
pub fn platform_client_settings(
    settings: &jackdaw_settings::PlatformSettings,
) -> Result<PlatformSettings, Report<ErrorKind>> {
    let address = settings
        .address()
        .ok_or(ErrorKind::SettingsInvalid)
        .attach("[platform] url: TLS is not supported; the URL must start with http://")?;
    let governor = GovernorSettings {
        calls_per_second: settings.calls_per_second,
        ..GovernorSettings::default()
    };
    Ok(PlatformSettings { governor, ..PlatformSettings::new(address) })
}
