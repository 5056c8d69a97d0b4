//! The fleet authority and the certificates that it issues.
//!
//! A certificate names its VM and role in a URI (`jackdaw://router/<vm name>`), and carries
//! the VM's identifier as a DNS name so that a dialling process can demand a certain VM with
//! the ordinary TLS check of server names.

use std::fs;
use std::io::Write;
use std::os::unix::fs::OpenOptionsExt;
use std::path::Path;

use error_stack::{Report, ResultExt};
use jackdaw_base::{ErrorKind, VmId};
use rcgen::string::Ia5String;
use rcgen::{
    BasicConstraints, CertificateParams, CertifiedIssuer, DistinguishedName, DnType,
    ExtendedKeyUsagePurpose, IsCa, Issuer, KeyPair, KeyUsagePurpose, SanType,
};
use time::{Duration, OffsetDateTime};

use crate::ProcessRole;

/// The file of the authority's certificate.
pub const AUTHORITY_FILE: &str = "authority.pem";
/// The file of the authority's private key.
pub const AUTHORITY_KEY_FILE: &str = "authority.key";

const SCHEME: &str = "jackdaw://";
const SERVER_SUFFIX: &str = "vm.jackdaw";
const NAME_LIMIT_BYTES: usize = 128;
/// Tolerated lag of the clocks that check certificates.
const BACKDATE: Duration = Duration::hours(1);
const KEY_MODE: u32 = 0o600;
const CERTIFICATE_MODE: u32 = 0o644;

/// The authority that signs every certificate of a fleet.
pub struct FleetAuthority {
    certificate_pem: String,
    issuer: Issuer<'static, KeyPair>,
}

/// A certificate of one process with its private key.
#[derive(Clone)]
pub struct IssuedKeys {
    /// The certificate as PEM.
    pub certificate_pem: String,
    /// The private key as PEM (PKCS #8).
    pub key_pem: String,
}

impl FleetAuthority {
    /// Makes a new authority that is valid for a number of days.
    pub fn generate(days: u32) -> Result<FleetAuthority, Report<ErrorKind>> {
        let mut params = CertificateParams::default();
        params.distinguished_name = common_name("jackdaw fleet authority");
        params.is_ca = IsCa::Ca(BasicConstraints::Constrained(0));
        params.key_usages = vec![KeyUsagePurpose::KeyCertSign, KeyUsagePurpose::CrlSign];
        params.not_before = OffsetDateTime::now_utc() - BACKDATE;
        params.not_after = OffsetDateTime::now_utc() + Duration::days(i64::from(days));
        let key = KeyPair::generate().change_context(ErrorKind::LocalResource)?;
        let certified =
            CertifiedIssuer::self_signed(params, key).change_context(ErrorKind::LocalResource)?;
        let key_pem = certified.key().serialize_pem();
        FleetAuthority::from_pem(&certified.pem(), &key_pem)
    }

    /// Opens the authority that [`FleetAuthority::save`] wrote to a directory.
    pub fn open(directory: &Path) -> Result<FleetAuthority, Report<ErrorKind>> {
        let certificate_pem = read_text(&directory.join(AUTHORITY_FILE))?;
        let key_pem = read_text(&directory.join(AUTHORITY_KEY_FILE))?;
        FleetAuthority::from_pem(&certificate_pem, &key_pem)
    }

    /// Reads the authority from PEM texts.
    pub fn from_pem(
        certificate_pem: &str,
        key_pem: &str,
    ) -> Result<FleetAuthority, Report<ErrorKind>> {
        let key = KeyPair::from_pem(key_pem)
            .change_context(ErrorKind::SettingsInvalid)
            .attach("the authority's private key cannot be read")?;
        let issuer = Issuer::from_ca_cert_pem(certificate_pem, key)
            .change_context(ErrorKind::SettingsInvalid)
            .attach("the authority's certificate cannot be read")?;
        Ok(FleetAuthority { certificate_pem: certificate_pem.to_owned(), issuer })
    }

    /// Returns the authority's certificate as PEM.
    pub fn certificate_pem(&self) -> &str {
        &self.certificate_pem
    }

    /// Writes certificate and private key to a directory; files that exist are never replaced.
    pub fn save(&self, directory: &Path) -> Result<(), Report<ErrorKind>> {
        fs::create_dir_all(directory)
            .change_context(ErrorKind::LocalResource)
            .attach_with(|| directory.display().to_string())?;
        let key_pem = self.issuer.key().serialize_pem();
        write_new(&directory.join(AUTHORITY_KEY_FILE), &key_pem, KEY_MODE)?;
        write_new(&directory.join(AUTHORITY_FILE), &self.certificate_pem, CERTIFICATE_MODE)
    }

    /// Issues the certificate of a process for a number of days from now.
    pub fn issue(
        &self,
        vm_name: &str,
        role: ProcessRole,
        days: u32,
    ) -> Result<IssuedKeys, Report<ErrorKind>> {
        let now = OffsetDateTime::now_utc();
        self.issue_between(vm_name, role, now - BACKDATE, now + Duration::days(i64::from(days)))
    }

    /// Issues the certificate of a process for a given period.
    pub fn issue_between(
        &self,
        vm_name: &str,
        role: ProcessRole,
        not_before: OffsetDateTime,
        not_after: OffsetDateTime,
    ) -> Result<IssuedKeys, Report<ErrorKind>> {
        check_name(vm_name)?;
        let mut params = CertificateParams::default();
        params.distinguished_name = common_name(vm_name);
        params.subject_alt_names = vec![
            SanType::URI(ia5(&identity_uri(vm_name, role))?),
            SanType::DnsName(ia5(&server_name(VmId::from_name(vm_name)))?),
        ];
        params.key_usages = vec![KeyUsagePurpose::DigitalSignature];
        params.extended_key_usages =
            vec![ExtendedKeyUsagePurpose::ServerAuth, ExtendedKeyUsagePurpose::ClientAuth];
        params.not_before = not_before;
        params.not_after = not_after;
        let key = KeyPair::generate().change_context(ErrorKind::LocalResource)?;
        let certificate =
            params.signed_by(&key, &self.issuer).change_context(ErrorKind::LocalResource)?;
        Ok(IssuedKeys { certificate_pem: certificate.pem(), key_pem: key.serialize_pem() })
    }
}

impl IssuedKeys {
    /// Writes certificate and private key; files that exist are never replaced.
    pub fn save(&self, certificate: &Path, key: &Path) -> Result<(), Report<ErrorKind>> {
        write_new(key, &self.key_pem, KEY_MODE)?;
        write_new(certificate, &self.certificate_pem, CERTIFICATE_MODE)
    }
}

/// Returns the DNS name under which the certificate of a VM answers.
pub(crate) fn server_name(vm: VmId) -> String {
    format!("{vm}.{SERVER_SUFFIX}")
}

/// Splits the URI of a certificate into role and VM name.
pub(crate) fn parse_identity_uri(uri: &str) -> Option<(ProcessRole, &str)> {
    let (role, name) = uri.strip_prefix(SCHEME)?.split_once('/')?;
    let role = match role {
        "router" => ProcessRole::Router,
        "agent" => ProcessRole::Agent,
        "operator" => ProcessRole::Operator,
        _ => return None,
    };
    check_name(name).ok()?;
    Some((role, name))
}

/// Reads a text file and names it where that fails.
pub(crate) fn read_text(path: &Path) -> Result<String, Report<ErrorKind>> {
    fs::read_to_string(path)
        .change_context(ErrorKind::LocalResource)
        .attach_with(|| path.display().to_string())
}

fn identity_uri(vm_name: &str, role: ProcessRole) -> String {
    let role = match role {
        ProcessRole::Router => "router",
        ProcessRole::Agent => "agent",
        ProcessRole::Operator => "operator",
    };
    format!("{SCHEME}{role}/{vm_name}")
}

fn check_name(vm_name: &str) -> Result<(), Report<ErrorKind>> {
    let allowed = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.');
    if vm_name.is_empty() || vm_name.len() > NAME_LIMIT_BYTES || !vm_name.chars().all(allowed) {
        return Err(Report::new(ErrorKind::SettingsInvalid).attach(format!(
            "VM name {vm_name:?}: allowed are 1 to {NAME_LIMIT_BYTES} ASCII letters, digits, \
             '-', '_' and '.'"
        )));
    }
    Ok(())
}

fn common_name(name: &str) -> DistinguishedName {
    let mut distinguished = DistinguishedName::new();
    distinguished.push(DnType::CommonName, name);
    distinguished
}

fn ia5(text: &str) -> Result<Ia5String, Report<ErrorKind>> {
    Ia5String::try_from(text).change_context(ErrorKind::SettingsInvalid)
}

fn write_new(path: &Path, text: &str, mode: u32) -> Result<(), Report<ErrorKind>> {
    fs::OpenOptions::new()
        .write(true)
        .create_new(true)
        .mode(mode)
        .open(path)
        .and_then(|mut file| file.write_all(text.as_bytes()))
        .change_context(ErrorKind::LocalResource)
        .attach_with(|| path.display().to_string())
}
