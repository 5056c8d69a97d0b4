//! Prints the cost of idle links: CPU time, UDP traffic and memory of one end.
//!
//! Both ends run in this process, so the printed values are half of the measured ones.
//! Arguments: numbers of links; `--seconds N` sets the duration of each measurement.

use std::net::SocketAddr;
use std::time::Duration;

use jackdaw_base::{ProcessIncarnation, VmId};
use jackdaw_link::{
    FleetAuthority, FleetIdentity, LinkEndpoint, LinkGreeting, LinkSettings, MESSAGE_VERSION,
    PeerLink, ProcessRole,
};
use pico_args::Arguments;
use rustix::time::{ClockId, clock_gettime};

/// Size of a memory page in bytes.
const PAGE_BYTES: u64 = 4096;

/// Size of the IPv4 and UDP headers of a datagram in bytes.
const HEADER_BYTES: u64 = 28;

/// Numbers of links that are measured if none are given.
const DEFAULT_COUNTS: [usize; 4] = [16, 64, 256, 1024];

fn main() {
    let mut arguments = Arguments::from_env();
    let seconds: u64 = arguments.opt_value_from_str("--seconds").expect("seconds").unwrap_or(10);
    let mut counts = Vec::new();
    for argument in arguments.finish() {
        counts.push(argument.to_string_lossy().parse().expect("number of links"));
    }
    if counts.is_empty() {
        counts.extend(DEFAULT_COUNTS);
    }
    println!(
        "links | CPU percent per end | datagrams/s | bytes/s with headers | KB memory per link"
    );
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.expect("runtime");
    for count in counts {
        runtime.block_on(measure(count, Duration::from_secs(seconds)));
    }
}

async fn measure(count: usize, time: Duration) {
    let authority = FleetAuthority::generate(1).expect("authority");
    let router = bind(&authority, "router-1", ProcessRole::Router);
    let agent = bind(&authority, "agent-1", ProcessRole::Agent);
    let memory = resident_bytes();
    let mut links = Vec::new();
    for _ in 0..count {
        let dialled = router.dial(agent.local_address(), VmId::from_name("agent-1"));
        links.push(dialled.await.expect("dialled"));
        links.push(agent.accept().await.expect("accepted"));
    }
    let memory = resident_bytes().saturating_sub(memory);
    let before = (cpu_seconds(), traffic(&links));
    tokio::time::sleep(time).await;
    let after = (cpu_seconds(), traffic(&links));
    let seconds = time.as_secs_f64();
    let percent = (after.0 - before.0) / seconds * 100.0 / 2.0;
    let datagrams = (after.1.0 - before.1.0) as f64 / seconds / 2.0;
    let bytes = (after.1.1 - before.1.1) as f64 / seconds / 2.0;
    let kilobytes = memory as f64 / links.len() as f64 / 1024.0;
    println!("{count} | {percent:.2} | {datagrams:.1} | {bytes:.0} | {kilobytes:.1}");
}

fn bind(authority: &FleetAuthority, name: &str, role: ProcessRole) -> LinkEndpoint {
    let keys = authority.issue(name, role, 1).expect("keys");
    let identity =
        FleetIdentity::from_pem(authority.certificate_pem(), &keys.certificate_pem, &keys.key_pem);
    let identity = identity.expect("identity");
    let greeting = LinkGreeting {
        version: MESSAGE_VERSION,
        vm: identity.vm(),
        incarnation: ProcessIncarnation(1),
        role,
        service: None,
    };
    let address = SocketAddr::from(([127, 0, 0, 1], 0));
    LinkEndpoint::bind(address, &identity, greeting, LinkSettings::default()).expect("bound")
}

/// Returns the number of datagrams sent on all links, and their size with headers in bytes.
fn traffic(links: &[PeerLink]) -> (u64, u64) {
    let mut total = (0, 0);
    for link in links {
        let datagrams = link.datagrams_sent();
        total.0 += datagrams;
        total.1 += link.datagram_bytes().0 + datagrams * HEADER_BYTES;
    }
    total
}

fn cpu_seconds() -> f64 {
    let time = clock_gettime(ClockId::ProcessCPUTime);
    time.tv_sec as f64 + time.tv_nsec as f64 / 1e9
}

fn resident_bytes() -> u64 {
    let text = std::fs::read_to_string("/proc/self/statm").expect("statm");
    let pages: u64 = text.split(' ').nth(1).expect("resident").parse().expect("pages");
    pages * PAGE_BYTES
}
