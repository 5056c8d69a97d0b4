//! A router process with a store and targets, and what it uses.

use std::cell::Cell;
use std::fs;
use std::net::SocketAddr;
use std::process::{Child, Command, Stdio};
use std::rc::Rc;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use jackdaw_platform_standins::{
    RouterEndpoints, StoreStandin, TargetBehavior, TargetStandin, TargetState, build_request,
    sample_config, send_request,
};
use serde_json::{Value, json};
use tempfile::TempDir;
use tokio::task::{JoinHandle, LocalSet};

/// Memory that the router may use, in megabytes.
const MEMORY_MB: usize = 64;

/// Descriptors that the router may open, unless a test says otherwise.
pub(crate) const DESCRIPTORS: usize = 512;

/// Size limit of a body in the configuration, in bytes.
pub(crate) const BODY_LIMIT: usize = 1024 * 1024;

/// A further service, and the path of the route to it, which carries streams.
pub(crate) const OTHER_SERVICE: &str = "t";
pub(crate) const OTHER_PATH: &str = "/other/x";

/// Time limit of the routes; longer than any test.
const ROUTE_TIMEOUT_MS: u64 = 120_000;

/// Interval at which the use of memory is sampled.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(20);

/// Attempts of an ordinary caller, and the pause between them.
const ATTEMPTS: usize = 20;
const ATTEMPT_PAUSE: Duration = Duration::from_millis(250);

const MEGABYTE: usize = 1024 * 1024;

/// Held while a test runs.
static TURN: Mutex<()> = Mutex::new(());

/// A router process, one target and the store that names it.
pub(crate) struct CrowdFleet {
    _store: StoreStandin,
    pub(crate) target: TargetStandin,
    pub(crate) address: SocketAddr,
    process: Child,
    sampler: JoinHandle<()>,
    peak: Rc<Cell<usize>>,
    descriptors: usize,
    _directory: TempDir,
}

/// Runs a test on a single thread, while no other one runs.
pub(crate) fn run_alone<F: Future<Output = ()>>(test: F) {
    let _turn: MutexGuard<'_, ()> = TURN.lock().unwrap_or_else(PoisonError::into_inner);
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    LocalSet::new().block_on(&runtime.expect("runtime"), test);
}

/// Returns the configuration of the tests.
fn crowd_config() -> Value {
    let mut config = sample_config(1, &["k1"]);
    config["limits"]["max_body_bytes"] = BODY_LIMIT.into();
    config["limits"]["idle_timeout_ms"] = ROUTE_TIMEOUT_MS.into();
    config["limits"]["header_timeout_ms"] = ROUTE_TIMEOUT_MS.into();
    let services = config["services"].as_array_mut().expect("list of services");
    services.push(json!({"name": OTHER_SERVICE, "health_path": "/health", "max_conns": 1000}));
    services[0]["max_conns"] = 1000.into();
    let routes = config["routes"].as_array_mut().expect("list of routes");
    let mut other = routes[2].clone();
    other["name"] = "other".into();
    other["path_prefix"] = "/other/".into();
    other["service"] = OTHER_SERVICE.into();
    routes.push(other);
    for route in routes {
        route["timeout_ms"] = ROUTE_TIMEOUT_MS.into();
    }
    config
}

impl CrowdFleet {
    /// Starts a router that may open so many descriptors.
    pub(crate) async fn spawn(descriptors: usize) -> CrowdFleet {
        CrowdFleet::spawn_beside(StoreStandin::bind().await, descriptors).await
    }

    /// As [`CrowdFleet::spawn`], with a store that may name further targets.
    pub(crate) async fn spawn_beside(store: StoreStandin, descriptors: usize) -> CrowdFleet {
        store.put_config(&crowd_config());
        let target = TargetStandin::bind("i-1").await;
        target.set_default_behavior(TargetBehavior::Complete(200, "done"));
        store.put_target("i-1", &target.entry("s", TargetState::Ready));
        let endpoints = RouterEndpoints::allocate("a");
        let directory = tempfile::tempdir().expect("directory");
        let path = directory.path().join("edge.ini");
        let text = endpoints.settings(&[endpoints], store.address)
            + &format!("memory_mb = {MEMORY_MB}\ndescriptors = {descriptors}\n");
        fs::write(&path, text).expect("settings");
        let log = fs::File::create(directory.path().join("edge.log")).expect("log");
        let process = Command::new(env!("CARGO_BIN_EXE_jackdaw-edge"))
            .arg("--settings")
            .arg(&path)
            .stdin(Stdio::null())
            .stdout(log.try_clone().expect("log"))
            .stderr(log)
            .spawn()
            .expect("router");
        let (address, peak) = (endpoints.caller_address(), Rc::new(Cell::new(0)));
        let sampler = sample_memory(process.id(), address, Rc::clone(&peak));
        let sampler = tokio::task::spawn_local(sampler);
        let fleet = CrowdFleet {
            _store: store,
            target,
            address,
            process,
            sampler,
            peak,
            descriptors,
            _directory: directory,
        };
        fleet.assert_serves("before").await;
        fleet
    }

    /// Checks that an ordinary request is answered.
    async fn assert_serves(&self, label: &str) {
        for attempt in 0..ATTEMPTS {
            let request = build_request("/safe/x", &format!("{label}-{attempt}"), "");
            let answer =
                tokio::time::timeout(Duration::from_secs(5), send_request(self.address, request));
            if let Ok(Some(answer)) = answer.await
                && answer.status == 200
                && answer.body.as_deref() == Some("done")
            {
                return;
            }
            tokio::time::sleep(ATTEMPT_PAUSE).await;
        }
        panic!("{label}: no ordinary request was answered in {ATTEMPTS} attempts");
    }

    /// Checks what must hold while a crowd is connected, and stops the router.
    pub(crate) async fn check(mut self) {
        let exit = self.process.try_wait().expect("state of the process");
        assert!(exit.is_none(), "the router has ended: {exit:?}");
        self.assert_serves("after").await;
        let peak = self.peak.get().max(read_kilobytes(self.process.id(), "VmHWM:"));
        assert!(peak <= MEMORY_MB * 1024, "{} MB of memory", peak.div_ceil(1024));
        let open = descriptor_count(self.process.id());
        assert!(open <= self.descriptors, "{open} descriptors");
    }
}

impl Drop for CrowdFleet {
    fn drop(&mut self) {
        self.sampler.abort();
        // Both fail only if the process has ended, which `check` reports.
        let _ = self.process.kill();
        let _ = self.process.wait();
    }
}

/// Samples the memory of a process with the bytes that wait in its sockets, in kilobytes.
async fn sample_memory(pid: u32, address: SocketAddr, peak: Rc<Cell<usize>>) {
    loop {
        let used = read_kilobytes(pid, "VmRSS:") + waiting_bytes(address) / 1024;
        peak.set(peak.get().max(used));
        tokio::time::sleep(SAMPLE_INTERVAL).await;
    }
}

/// Returns a value of `/proc/PID/status`; zero if the process has ended.
fn read_kilobytes(pid: u32, name: &str) -> usize {
    let text = fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
    let line = text.lines().find_map(|line| line.strip_prefix(name));
    let value = line.and_then(|line| line.split_whitespace().next());
    value.and_then(|value| value.parse().ok()).unwrap_or(0)
}

/// Returns the bytes that were received on connections to an address and not read yet.
pub(crate) fn waiting_bytes(address: SocketAddr) -> usize {
    let SocketAddr::V4(address) = address else {
        return 0;
    };
    let ip = u32::from_le_bytes(address.ip().octets());
    let local = format!("{ip:08X}:{:04X}", address.port());
    let text = fs::read_to_string("/proc/net/tcp").unwrap_or_default();
    let sockets = text.lines().filter_map(|line| {
        let mut fields = line.split_whitespace().skip(1);
        let is_own = fields.next()? == local;
        let queues = fields.nth(2)?.split_once(':')?;
        // The queue of a listening socket counts connections.
        is_own.then(|| usize::from_str_radix(queues.1, 16).ok())?
    });
    sockets.sum()
}

fn descriptor_count(pid: u32) -> usize {
    fs::read_dir(format!("/proc/{pid}/fd")).map_or(0, Iterator::count)
}

/// Returns a text of this many megabytes that lives as long as the test.
pub(crate) fn large_text(megabytes: usize) -> &'static str {
    "x".repeat(megabytes * MEGABYTE).leak()
}
