//! Certificate authority of the fleet and the certificates that it issues.
//!
//! The subject alternative names of a certificate are a URI with role and VM name
//! (`jackdaw://router/<vm name>`) and a DNS name that contains the VM's identifier, so that a
//! process that opens a link verifies the VM by the standard TLS check of the server name.

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

/// Name of the file with the authority's certificate.
pub const AUTHORITY_FILE: &str = "authority.pem";
/// Name of the file with the authority's private key.
pub const AUTHORITY_KEY_FILE: &str = "authority.key";

const URI_SCHEME: &str = "jackdaw://";
const SERVER_NAME_SUFFIX: &str = "vm.jackdaw";
const VM_NAME_LIMIT_BYTES: usize = 128;
/// Time by which certificates are backdated, so that verifiers with a slow clock accept them.
const CLOCK_SKEW_TOLERANCE: Duration = Duration::hours(1);
const KEY_MODE: u32 = 0o600;
const CERTIFICATE_MODE: u32 = 0o644;

/// Certificate authority that signs every certificate of a fleet.
pub struct FleetAuthority {
    certificate_pem: String,
    issuer: Issuer<'static, KeyPair>,
}

/// Certificate and private key of a process.
#[derive(Clone)]
pub struct IssuedCredentials {
    /// Certificate in PEM form.
    pub certificate_pem: String,
    /// Private key in PEM form (PKCS #8).
    pub key_pem: String,
}

impl FleetAuthority {
    /// Generates an authority whose certificate is valid for the given number of days.
    pub fn generate(days: u32) -> Result<FleetAuthority, Report<ErrorKind>> {
        let mut params = CertificateParams::default();
        params.distinguished_name = subject_name("jackdaw fleet authority");
        params.is_ca = IsCa::Ca(BasicConstraints::Constrained(0));
        params.key_usages = vec![KeyUsagePurpose::KeyCertSign, KeyUsagePurpose::CrlSign];
        params.not_before = OffsetDateTime::now_utc() - CLOCK_SKEW_TOLERANCE;
        params.not_after = OffsetDateTime::now_utc() + Duration::days(i64::from(days));
        let key = KeyPair::generate().change_context(ErrorKind::LocalResource)?;
        let certified =
            CertifiedIssuer::self_signed(params, key).change_context(ErrorKind::LocalResource)?;
        let key_pem = certified.key().serialize_pem();
        FleetAuthority::from_pem(&certified.pem(), &key_pem)
    }

    /// Loads an authority from the directory that [`FleetAuthority::save`] wrote it to.
    pub fn open(directory: &Path) -> Result<FleetAuthority, Report<ErrorKind>> {
        let certificate_pem = read_text(&directory.join(AUTHORITY_FILE))?;
        let key_pem = read_text(&directory.join(AUTHORITY_KEY_FILE))?;
        FleetAuthority::from_pem(&certificate_pem, &key_pem)
    }

    /// Parses an authority from its certificate and private key in PEM form.
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

    /// Returns the authority's certificate in PEM form.
    pub fn certificate_pem(&self) -> &str {
        &self.certificate_pem
    }

    /// Writes certificate and private key to a directory; fails if one of the files exists.
    pub fn save(&self, directory: &Path) -> Result<(), Report<ErrorKind>> {
        fs::create_dir_all(directory)
            .change_context(ErrorKind::LocalResource)
            .attach_with(|| directory.display().to_string())?;
        let key_pem = self.issuer.key().serialize_pem();
        write_new_file(&directory.join(AUTHORITY_KEY_FILE), &key_pem, KEY_MODE)?;
        write_new_file(&directory.join(AUTHORITY_FILE), &self.certificate_pem, CERTIFICATE_MODE)
    }

    /// Issues a certificate for a process that is valid for the given number of days from now.
    pub fn issue(
        &self,
        vm_name: &str,
        role: ProcessRole,
        days: u32,
    ) -> Result<IssuedCredentials, Report<ErrorKind>> {
        let now = OffsetDateTime::now_utc();
        self.issue_between(
            vm_name,
            role,
            now - CLOCK_SKEW_TOLERANCE,
            now + Duration::days(i64::from(days)),
        )
    }

    /// Issues a certificate for a process with the given period of validity.
    pub fn issue_between(
        &self,
        vm_name: &str,
        role: ProcessRole,
        not_before: OffsetDateTime,
        not_after: OffsetDateTime,
    ) -> Result<IssuedCredentials, Report<ErrorKind>> {
        validate_vm_name(vm_name)?;
        let mut params = CertificateParams::default();
        params.distinguished_name = subject_name(vm_name);
        params.subject_alt_names = vec![
            SanType::URI(ia5_string(&identity_uri(vm_name, role))?),
            SanType::DnsName(ia5_string(&server_name(VmId::from_name(vm_name)))?),
        ];
        params.key_usages = vec![KeyUsagePurpose::DigitalSignature];
        params.extended_key_usages =
            vec![ExtendedKeyUsagePurpose::ServerAuth, ExtendedKeyUsagePurpose::ClientAuth];
        params.not_before = not_before;
        params.not_after = not_after;
        let key = KeyPair::generate().change_context(ErrorKind::LocalResource)?;
        let certificate =
            params.signed_by(&key, &self.issuer).change_context(ErrorKind::LocalResource)?;
        Ok(IssuedCredentials { certificate_pem: certificate.pem(), key_pem: key.serialize_pem() })
    }
}

impl IssuedCredentials {
    /// Writes certificate and private key to the given paths; fails if one of the files exists.
    pub fn save(&self, certificate: &Path, key: &Path) -> Result<(), Report<ErrorKind>> {
        write_new_file(key, &self.key_pem, KEY_MODE)?;
        write_new_file(certificate, &self.certificate_pem, CERTIFICATE_MODE)
    }
}

/// Returns the DNS name in the certificate of a VM, which TLS verifies as the server name.
pub(crate) fn server_name(vm: VmId) -> String {
    format!("{vm}.{SERVER_NAME_SUFFIX}")
}

/// Parses role and VM name from the URI in a certificate; returns `None` if it has another form.
pub(crate) fn parse_identity_uri(uri: &str) -> Option<(ProcessRole, &str)> {
    let (role, name) = uri.strip_prefix(URI_SCHEME)?.split_once('/')?;
    let role = match role {
        "router" => ProcessRole::Router,
        "agent" => ProcessRole::Agent,
        "operator" => ProcessRole::Operator,
        _ => return None,
    };
    validate_vm_name(name).ok()?;
    Some((role, name))
}

/// Reads a text file; an error names the path.
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
    format!("{URI_SCHEME}{role}/{vm_name}")
}

fn validate_vm_name(vm_name: &str) -> Result<(), Report<ErrorKind>> {
    let allowed = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.');
    if vm_name.is_empty() || vm_name.len() > VM_NAME_LIMIT_BYTES || !vm_name.chars().all(allowed) {
        return Err(Report::new(ErrorKind::SettingsInvalid).attach(format!(
            "VM name {vm_name:?} must consist of 1 to {VM_NAME_LIMIT_BYTES} ASCII letters, digits, \
             '-', '_' and '.'"
        )));
    }
    Ok(())
}

fn subject_name(name: &str) -> DistinguishedName {
    let mut distinguished = DistinguishedName::new();
    distinguished.push(DnType::CommonName, name);
    distinguished
}

fn ia5_string(text: &str) -> Result<Ia5String, Report<ErrorKind>> {
    Ia5String::try_from(text).change_context(ErrorKind::SettingsInvalid)
}

fn write_new_file(path: &Path, text: &str, mode: u32) -> Result<(), Report<ErrorKind>> {
    fs::OpenOptions::new()
        .write(true)
        .create_new(true)
        .mode(mode)
        .open(path)
        .and_then(|mut file| file.write_all(text.as_bytes()))
        .change_context(ErrorKind::LocalResource)
        .attach_with(|| path.display().to_string())
}
