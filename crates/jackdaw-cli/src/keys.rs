//! Generates keys and certificates.

use error_stack::Report;
use jackdaw_base::ErrorKind;
use jackdaw_link::FleetAuthority;
use jackdaw_objects::digest_key;

use crate::args::KeysCommand;

const SECRET_BYTES: usize = 32;

/// Generates the requested keys and prints what was created.
pub(crate) fn execute(command: &KeysCommand) -> Result<(), Report<ErrorKind>> {
    match command {
        KeysCommand::Authority { directory, days } => {
            FleetAuthority::generate(*days)?.save(directory)?;
            println!("{}: authority for {days} days", directory.display());
        }
        KeysCommand::Issue { directory, vm_name, role, certificate, key, days } => {
            let issued = FleetAuthority::open(directory)?.issue(vm_name, *role, *days)?;
            issued.save(certificate, key)?;
            println!("{}: certificate of {vm_name} for {days} days", certificate.display());
        }
        KeysCommand::Secret => {
            let key = hex(&rand::random::<[u8; SECRET_BYTES]>());
            println!("key = {key}");
            println!("digest = {}", hex(&digest_key(&key).0));
        }
    }
    Ok(())
}

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}
