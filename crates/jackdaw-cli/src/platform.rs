//! Prints the configuration in force and the VM list, as stored on the platform.

use std::net::SocketAddr;
use std::time::Duration;

use error_stack::Report;
use jackdaw_base::{DocumentBody, ErrorKind, ServiceId, ServiceKind, VmState};
use jackdaw_objects::{
    ConfigCatalog, ObjectStore, PlatformClient, PlatformSettings, TicketAcceptor, VmListing,
};

/// Prints one line per customer, service and VM.
pub(crate) fn print_status(platform: SocketAddr) -> Result<(), Report<ErrorKind>> {
    let (catalog, listing) = actix_rt::System::new().block_on(read_state(platform))?;
    for line in catalog_lines(&catalog) {
        println!("{line}");
    }
    for line in vm_lines(&catalog, &listing) {
        println!("{line}");
    }
    Ok(())
}

async fn read_state(platform: SocketAddr) -> Result<(ConfigCatalog, VmListing), Report<ErrorKind>> {
    let client = PlatformClient::open(PlatformSettings::new(platform));
    let listing = client.watch_vms(0, Duration::ZERO).await?;
    let catalog = TicketAcceptor::open(client).catalog().await?;
    Ok((catalog, listing))
}

fn catalog_lines(catalog: &ConfigCatalog) -> Vec<String> {
    let mut lines = Vec::new();
    for document in catalog.documents() {
        let number = document.number;
        match &document.body {
            Some(DocumentBody::Customer(record)) => lines.push(format!(
                "customer {}: share {}, queue limit {}, keys {}, ticket {number}",
                record.name,
                record.share.0,
                record.queue_limit,
                record.keys.len()
            )),
            Some(DocumentBody::Service(record)) => {
                let serves = match record.kind {
                    ServiceKind::Engine => format!("models {}", record.models.join(" ")),
                    ServiceKind::Plain => format!("prefix {}", record.path_prefix),
                };
                lines.push(format!(
                    "service {}: {serves}, places {} a target, ticket {number}",
                    record.name, record.target.place_limit
                ));
            }
            Some(DocumentBody::Vm(_)) | None => {}
        }
    }
    lines.sort();
    lines
}

fn vm_lines(catalog: &ConfigCatalog, listing: &VmListing) -> Vec<String> {
    let mut lines = Vec::new();
    for vm in &listing.vms {
        let role = match vm.service {
            Some(service) => format!("target of {}", service_name(catalog, service)),
            None => "router".to_owned(),
        };
        let state = match vm.state {
            VmState::Live => "live",
            VmState::Leaving => "leaving",
        };
        lines.push(format!("vm {}: {role}, {state}, {}", vm.name, vm.link_address));
    }
    lines.sort();
    lines
}

fn service_name(catalog: &ConfigCatalog, service: ServiceId) -> String {
    catalog.service(service).map_or_else(|| service.to_string(), |record| record.name.clone())
}
