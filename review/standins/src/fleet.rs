//! Routers as processes, started as the deploy file says, and the record of a case.

use std::fs::{self, File};
use std::io::Write;
use std::net::{SocketAddr, TcpListener, UdpSocket};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use serde_json::{Value, json};

use crate::wire::Connection;

/// Bounds and machines of the sheet `mehta-agni`.
pub const GRACE_S: u64 = 8;
pub const STABLE_WINDOW_MS: u64 = 3000;
pub const CONFIG_APPLY_MS: u64 = 2000;

const FRONT: u16 = 8783;
const READY: u16 = 8780;
const CONTROL: u16 = 8785;
const REPORTS: u16 = 7400;
const METRICS: u16 = 7415;

/// Writes `record.txt`, with the time since the start of the case.
#[derive(Clone)]
pub struct Record {
    start: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    pub fn create(folder: &Path) -> Record {
        let file = File::create(folder.join("record.txt")).expect("record");
        Record { start: Instant::now(), file: Arc::new(Mutex::new(file)) }
    }

    pub fn line(&self, text: &str) {
        let line = format!("{:8.3} {text}", self.start.elapsed().as_secs_f64());
        println!("{line}");
        let _ = writeln!(self.file.lock().expect("record"), "{line}");
    }
}

pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

/// Loopback addresses of this run, `127.A.B.N`.
pub struct Net {
    a: u8,
    b: u8,
}

impl Net {
    /// Finds a range whose first addresses are free.
    pub fn find() -> Net {
        for attempt in 0..200u32 {
            let number =
                std::process::id().wrapping_mul(2_654_435_761).wrapping_add(attempt * 7919);
            let net = Net { a: 64 + (number >> 16) as u8 % 128, b: (number >> 8) as u8 };
            if (1..=5).all(|host| net.is_free(host)) {
                return net;
            }
        }
        panic!("no free loopback addresses");
    }

    pub fn ip(&self, host: u8) -> String {
        format!("127.{}.{}.{host}", self.a, self.b)
    }

    fn is_free(&self, host: u8) -> bool {
        let ip = self.ip(host);
        [FRONT, READY, CONTROL, METRICS]
            .iter()
            .all(|port| TcpListener::bind((ip.as_str(), *port)).is_ok())
            && UdpSocket::bind((ip.as_str(), REPORTS)).is_ok()
    }
}

pub struct Router {
    pub child: Child,
    pub ip: String,
}

impl Router {
    pub fn front(&self) -> SocketAddr {
        front(&self.ip)
    }

    pub fn signal(&self, signal: i32) {
        // SAFETY: sends a signal to a child that this process started and has not reaped.
        unsafe { libc::kill(self.child.id() as i32, signal) };
    }
}

impl Drop for Router {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Returns the address of a router for clients.
pub fn front(ip: &str) -> SocketAddr {
    format!("{ip}:{FRONT}").parse().expect("address")
}

/// Asks a router whether it is ready.
pub fn is_ready(ip: &str) -> bool {
    let address: SocketAddr = format!("{ip}:{READY}").parse().expect("address");
    let Ok(mut connection) = Connection::open(address) else {
        return false;
    };
    let _ = connection.stream.set_read_timeout(Some(Duration::from_millis(500)));
    let _ = connection.write(b"GET /api/readiness HTTP/1.1\r\nhost: x\r\n\r\n");
    matches!(connection.read_head(), Ok(Some(head)) if head.status() == 200)
}

/// Temporary folder of a run.
pub struct Folder(pub PathBuf);

impl Folder {
    pub fn create() -> Folder {
        let path = std::env::temp_dir().join(format!("review-{}", std::process::id()));
        fs::create_dir_all(&path).expect("temporary folder");
        Folder(path)
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        // With KEEP set, the routers' logs and settings stay.
        if std::env::var_os("KEEP").is_none() {
            let _ = fs::remove_dir_all(&self.0);
        }
    }
}

/// Fills in the template of the deploy file as the platform does for a machine of the sheet.
fn settings(template: &str, number: usize, net: &Net, store: SocketAddr) -> String {
    let ip = net.ip(number as u8 + 1);
    let zones = ["guj-surat", "guj-ahd", "guj-vadodara"];
    let seeds: Vec<String> = (1..=3).map(|host| format!("{}:{CONTROL}", net.ip(host))).collect();
    let values = [
        ("node", format!("front-{}-1", zones[number])),
        ("zone", zones[number].to_owned()),
        ("listen.front", format!("{ip}:{FRONT}")),
        ("listen.ready", format!("{ip}:{READY}")),
        ("listen.control", format!("{ip}:{CONTROL}")),
        ("internal_ports.0", REPORTS.to_string()),
        ("internal_ports.1", METRICS.to_string()),
        ("seeds", seeds.join(",")),
        ("platform.address", store.to_string()),
        ("limits.max_fds", "2870".to_owned()),
        ("limits.cpu_share", "0.13".to_owned()),
        ("bounds.grace_s", GRACE_S.to_string()),
        ("bounds.quota_window_s", "4".to_owned()),
        ("bounds.budget_window_s", "10".to_owned()),
        ("bounds.retry_budget_ratio", "0.2".to_owned()),
        ("bounds.retry_budget_slack", "112".to_owned()),
        ("bounds.evacuate_ms", String::new()),
        ("bounds.cold_overage", String::new()),
        ("bounds.cold_slack", String::new()),
    ];
    let zones = zones.map(|zone| format!("{zone}:guj")).join(",");
    let mut text = template.replace("{{#zones}}{{@}}:{{.}}{{,}}{{/zones}}", &zones);
    for (name, value) in values {
        text = text.replace(&format!("{{{{{name}}}}}"), &value);
    }
    assert!(!text.contains("{{"), "placeholder left in the template: {text}");
    text
}

/// Starts three routers, one in each zone, and waits until all are ready.
pub fn start_routers(
    net: &Net,
    folder: &Folder,
    stores: [SocketAddr; 3],
    record: &Record,
) -> Vec<Router> {
    let template =
        fs::read_to_string("platform/edge.ini").expect("template; run in the repository");
    let mut routers = Vec::new();
    for (number, store) in stores.into_iter().enumerate() {
        let path = folder.0.join(format!("edge-{number}.ini"));
        fs::write(&path, settings(&template, number, net, store)).expect("settings");
        let child = spawn_router(folder, number);
        routers.push(Router { child, ip: net.ip(number as u8 + 1) });
    }
    let end = Instant::now() + Duration::from_secs(15);
    while !routers.iter().all(|router| is_ready(&router.ip)) {
        if Instant::now() > end {
            record.line("routers are not ready; the case can't run");
            drop(routers);
            std::process::exit(2);
        }
        thread::sleep(Duration::from_millis(50));
    }
    record.line("three routers are ready");
    routers
}

/// Starts the process of a router as the deploy file says.
fn spawn_router(folder: &Folder, number: usize) -> Child {
    let path = folder.0.join(format!("edge-{number}.ini"));
    let log = folder.0.join(format!("edge-{number}.log"));
    let log = File::options().create(true).append(true).open(log).expect("log");
    Command::new("target/release/jackdaw-edge")
        .env_clear()
        .env("PATH", "/usr/bin:/bin")
        .env("JACKDAWVALE_NODE_FILE", &path)
        .stdin(Stdio::null())
        .stdout(log.try_clone().expect("log"))
        .stderr(log)
        .spawn()
        .expect("target/release/jackdaw-edge; build it first")
}

/// Starts the process of a router again after it has ended.
pub fn restart_router(router: &mut Router, folder: &Folder, number: usize) {
    router.child = spawn_router(folder, number);
}

/// Entry that an engine registers.
pub fn entry(address: SocketAddr, service: &str, born: u64) -> Value {
    json!({"service": service, "address": address.to_string(), "zone": "guj-surat", "version": "v1",
        "slots": 64, "state": "ready", "cold_left_ms": 0, "stage": "both",
        "models": [{"name": "m", "version": 1, "adapters": []}], "seq_no": 1, "born": born})
}

/// Route of a plain service or of streams, with the times of the sheet.
pub fn route(name: &str, kind: &str, service: &str, timeout_ms: u64, attempts: u32) -> Value {
    json!({"name": name, "host": "a.example", "path_prefix": format!("/{name}/"), "kind": kind,
        "timeout_ms": timeout_ms, "target_latency_ms": 500, "priority": 1, "service": service,
        "max_attempts": attempts, "public": false, "sticky": false,
        "resumable": kind == "streaming" && attempts > 1})
}

/// Config with these routes and services, and one tenant with one key.
pub fn config(version: u64, routes: &[Value], services: &[&str]) -> Value {
    let services = services.iter().map(|name| {
        json!({"name": name, "health_path": "/health", "max_conns": 220, "protocol": "h1", "tls": false})
    });
    json!({"version": version, "routes": routes, "services": services.collect::<Vec<_>>(),
        "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000, "tokens_per_s": 630000},
        "tenants": [{"name": "hule930", "api_keys": ["k1"], "priority": 1}]})
}

/// Head of a client's request without a body length.
pub fn request_head(method: &str, path: &str, id: &str, deadline_ms: u64) -> String {
    format!(
        "{method} {path} HTTP/1.1\r\nhost: a.example\r\nattempt-id: {id}\r\n\
         deadline-ms: {deadline_ms}\r\nauthorization: Token k1\r\n"
    )
}
