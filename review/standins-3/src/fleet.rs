//! Router processes, started with the command of the deploy file.

use std::fs::{self, File};
use std::io;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::time::{Duration, Instant};

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

const PROGRAM: &str = "target/release/jackdaw-edge";

/// What a deployment sets for all its routers.
#[derive(Clone)]
pub struct Deployment {
    pub memory_mb: u32,
    pub descriptors: u32,
    pub grace_s: u32,
    pub retry_slack: u32,
    pub store: SocketAddr,
    pub ports: [u16; 5],
}

impl Deployment {
    /// The figures of the smallest machines of `nkpf-ruter-grown`, with free ports.
    pub fn new(store: SocketAddr) -> Deployment {
        let free = || {
            let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("free port");
            (listener.local_addr().expect("address").port(), listener)
        };
        let held = [free(), free(), free(), free(), free()];
        let ports = [held[0].0, held[1].0, held[2].0, held[3].0, held[4].0];
        Deployment { memory_mb: 112, descriptors: 2940, grace_s: 8, retry_slack: 128, store, ports }
    }
}

/// A machine with a router process.
pub struct Router {
    pub name: String,
    pub ip: Ipv4Addr,
    pub zone: String,
    deployment: Deployment,
    seeds: Vec<Ipv4Addr>,
    folder: PathBuf,
    child: Option<Child>,
}

/// Returns a loopback address for the machine with a number.
pub fn machine_ip(number: u8) -> Ipv4Addr {
    let process = std::process::id().to_le_bytes();
    Ipv4Addr::new(127, 64 + (process[1] & 63), process[0].max(1), number)
}

impl Router {
    pub fn new(
        deployment: &Deployment,
        number: u8,
        zone: &str,
        seeds: &[Ipv4Addr],
        folder: &Path,
    ) -> Router {
        Router {
            name: format!("front-{zone}-{number}"),
            ip: machine_ip(number),
            zone: zone.to_owned(),
            deployment: deployment.clone(),
            seeds: seeds.to_vec(),
            folder: folder.to_owned(),
            child: None,
        }
    }

    pub fn front(&self) -> SocketAddr {
        (self.ip, self.deployment.ports[0]).into()
    }

    fn ready_address(&self) -> SocketAddr {
        (self.ip, self.deployment.ports[1]).into()
    }

    /// Fills `platform/edge.ini` in as the platform does.
    fn settings(&self) -> io::Result<String> {
        let template = fs::read_to_string("platform/edge.ini")?;
        let Deployment { ports, store, .. } = &self.deployment;
        let seeds: Vec<String> = self.seeds.iter().map(|ip| format!("{ip}:{}", ports[2])).collect();
        let values = [
            ("{{node}}", self.name.clone()),
            ("{{zone}}", self.zone.clone()),
            ("{{listen.front}}", format!("{}:{}", self.ip, ports[0])),
            ("{{listen.ready}}", format!("{}:{}", self.ip, ports[1])),
            ("{{listen.control}}", format!("{}:{}", self.ip, ports[2])),
            ("{{internal_ports.0}}", ports[3].to_string()),
            ("{{internal_ports.1}}", ports[4].to_string()),
            ("{{seeds}}", seeds.join(",")),
            ("{{platform.address}}", store.to_string()),
            ("{{limits.max_fds}}", self.deployment.descriptors.to_string()),
            ("{{limits.cpu_share}}", "0.063".to_owned()),
            ("{{bounds.grace_s}}", self.deployment.grace_s.to_string()),
            ("{{bounds.quota_window_s}}", "4".to_owned()),
            ("{{bounds.budget_window_s}}", "10".to_owned()),
            ("{{bounds.retry_budget_ratio}}", "0.2".to_owned()),
            ("{{bounds.retry_budget_slack}}", self.deployment.retry_slack.to_string()),
            ("{{#zones}}{{@}}:{{.}}{{,}}{{/zones}}", "a:r,b:r".to_owned()),
            ("{{bounds.evacuate_ms}}", "5000".to_owned()),
            ("{{bounds.cold_overage}}", "1.5".to_owned()),
            ("{{bounds.cold_slack}}", "5".to_owned()),
        ];
        let filled = values.iter().fold(template, |text, (key, value)| text.replace(key, value));
        match filled.contains("{{") {
            true => Err(io::Error::other(format!("placeholder left in the settings:\n{filled}"))),
            false => Ok(filled),
        }
    }

    pub fn start(&mut self) -> io::Result<()> {
        let settings = self.folder.join(format!("{}.ini", self.name));
        fs::write(&settings, self.settings()?)?;
        let log = self.folder.join(format!("{}.log", self.name));
        let log = File::options().create(true).append(true).open(log)?;
        let child = Command::new(PROGRAM)
            .arg(format!("--memory-mb={}", self.deployment.memory_mb))
            .env_clear()
            .env("JACKDAWVALE_NODE_FILE", &settings)
            .stdin(Stdio::null())
            .stderr(log.try_clone()?)
            .stdout(log)
            .spawn()?;
        self.child = Some(child);
        Ok(())
    }

    pub fn pid(&self) -> u32 {
        self.child.as_ref().map_or(0, Child::id)
    }

    /// Sends a signal, such as `TERM`, `KILL`, `STOP` or `CONT`.
    pub fn signal(&self, signal: &str) {
        if let Some(child) = &self.child {
            let _ =
                Command::new("kill").arg(format!("-{signal}")).arg(child.id().to_string()).status();
        }
    }

    /// Returns the exit status once the process has ended.
    pub fn ended(&mut self) -> Option<ExitStatus> {
        self.child.as_mut().and_then(|child| child.try_wait().ok().flatten())
    }

    /// Returns the resident memory of the process in megabytes.
    pub fn memory_mb(&self) -> Option<f64> {
        let status = fs::read_to_string(format!("/proc/{}/status", self.pid())).ok()?;
        let line = status.lines().find(|line| line.starts_with("VmRSS:"))?;
        Some(line.split_whitespace().nth(1)?.parse::<f64>().ok()? / 1024.0)
    }

    /// Asks as the platform does once a second.
    pub async fn is_ready(&self) -> bool {
        let ask = async {
            let mut stream = TcpStream::connect(self.ready_address()).await?;
            let request = "GET /api/readiness HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n";
            stream.write_all(request.as_bytes()).await?;
            let mut answer = Vec::new();
            stream.read_to_end(&mut answer).await?;
            Ok::<_, io::Error>(answer.starts_with(b"HTTP/1.1 200"))
        };
        matches!(tokio::time::timeout(Duration::from_millis(500), ask).await, Ok(Ok(true)))
    }

    /// Waits until the router reports that it is ready.
    pub async fn wait_ready(&self, most: Duration) -> bool {
        let start = Instant::now();
        while start.elapsed() < most {
            if self.is_ready().await {
                return true;
            }
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
        false
    }

    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

impl Drop for Router {
    fn drop(&mut self) {
        self.kill();
    }
}
