//! Edge routers as processes, with the command of the deploy file.

use std::fs;
use std::io::{self, BufReader, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use crate::http::read_head;

/// Ports that all routers of a deployment have.
#[derive(Debug, Clone, Copy)]
struct Ports {
    front: u16,
    ready: u16,
    control: u16,
    report: u16,
    metrics: u16,
}

/// A deployment of routers, each on a loopback address of its own.
pub struct Fleet {
    pub routers: Vec<Router>,
    folder: PathBuf,
}

pub struct Router {
    pub name: String,
    pub callers: SocketAddr,
    pub ready: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
}

unsafe extern "C" {
    fn prctl(option: i32, argument: u64) -> i32;
}

/// Option of `prctl`: the signal that a process gets when the one that started it ends.
const SET_PARENT_DEATH_SIGNAL: i32 = 1;
const SIGKILL: u64 = 9;

impl Fleet {
    /// Prepares one router for each zone named; the first three are the seeds of all.
    pub fn prepare(zones: &[&str], store: SocketAddr) -> io::Result<Fleet> {
        Fleet::prepare_with_seeds(zones, store, true)
    }

    /// As [`Fleet::prepare`]; the seeds may be three machines that are gone.
    pub fn prepare_with_seeds(
        zones: &[&str],
        store: SocketAddr,
        are_seeds_there: bool,
    ) -> io::Result<Fleet> {
        let pid = std::process::id();
        let folder = std::env::temp_dir().join(format!("review-case-{pid}"));
        fs::create_dir_all(&folder)?;
        let address = |number: usize| {
            Ipv4Addr::new(127, 20 + (pid >> 8) as u8 % 200, pid as u8, 10 + number as u8)
        };
        let ips: Vec<Ipv4Addr> = (0..zones.len()).map(address).collect();
        let ports = free_ports(&ips)?;
        let template = fs::read_to_string("platform/edge.ini")?;
        let seeds: Vec<Ipv4Addr> = match are_seeds_there {
            true => ips.iter().copied().take(3).collect(),
            false => (100..103).map(address).collect(),
        };
        let seeds: Vec<String> = seeds.iter().map(|ip| format!("{ip}:{}", ports.control)).collect();
        let mut names: Vec<&str> = zones.to_vec();
        names.dedup();
        let regions: Vec<String> = names.iter().map(|zone| format!("{zone}:guj")).collect();
        let mut routers = Vec::new();
        for (number, (zone, ip)) in zones.iter().zip(&ips).enumerate() {
            let name = format!("front-{zone}-{number}");
            let values = [
                ("{{node}}", name.clone()),
                ("{{zone}}", zone.to_string()),
                ("{{listen.front}}", format!("{ip}:{}", ports.front)),
                ("{{listen.ready}}", format!("{ip}:{}", ports.ready)),
                ("{{listen.control}}", format!("{ip}:{}", ports.control)),
                ("{{internal_ports.0}}", ports.report.to_string()),
                ("{{internal_ports.1}}", ports.metrics.to_string()),
                ("{{seeds}}", seeds.join(",")),
                ("{{platform.address}}", store.to_string()),
                ("{{limits.max_fds}}", "2870".into()),
                ("{{limits.memory_mb}}", "96".into()),
                ("{{limits.cpu_share}}", "0.13".into()),
                ("{{bounds.grace_s}}", "8".into()),
                ("{{bounds.quota_window_s}}", "4".into()),
                ("{{bounds.budget_window_s}}", "10".into()),
                ("{{bounds.retry_budget_ratio}}", "0.2".into()),
                ("{{bounds.retry_budget_slack}}", "112".into()),
                ("{{#zones}}{{@}}:{{.}}{{,}}{{/zones}}", regions.join(",")),
                ("{{bounds.evacuate_ms}}", String::new()),
                ("{{bounds.cold_overage}}", String::new()),
                ("{{bounds.cold_slack}}", String::new()),
            ];
            let mut text = template.clone();
            for (placeholder, value) in values {
                text = text.replace(placeholder, &value);
            }
            let settings = folder.join(format!("{name}.ini"));
            fs::write(&settings, text)?;
            routers.push(Router {
                callers: (*ip, ports.front).into(),
                ready: (*ip, ports.ready).into(),
                log: folder.join(format!("{name}.log")),
                name,
                settings,
                child: None,
            });
        }
        Ok(Fleet { routers, folder })
    }

    /// Starts all routers.
    pub fn start(&mut self) -> io::Result<()> {
        self.routers.iter_mut().try_for_each(Router::start)
    }

    /// Waits until all routers say that they are ready; returns whether they do in time.
    pub fn wait_ready(&self, time: Duration) -> bool {
        let ends = Instant::now() + time;
        while Instant::now() < ends {
            if self.routers.iter().all(Router::is_ready) {
                return true;
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        false
    }

    /// Kills all routers.
    pub fn kill(&mut self) {
        for router in &mut self.routers {
            router.kill();
        }
    }

    /// Copies the log of each router to a folder; for those who look into a case.
    pub fn keep_logs(&self, folder: &Path) {
        let _ = fs::create_dir_all(folder);
        for router in &self.routers {
            let _ = fs::copy(&router.log, folder.join(format!("{}.log", router.name)));
        }
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        self.kill();
        if let Some(folder) = std::env::var_os("KEEP_LOGS") {
            self.keep_logs(Path::new(&folder));
        }
        let _ = fs::remove_dir_all(&self.folder);
    }
}

impl Router {
    /// Starts the process as the platform does.
    pub fn start(&mut self) -> io::Result<()> {
        let log = fs::OpenOptions::new().create(true).append(true).open(&self.log)?;
        let mut command = Command::new("target/release/jackdaw-edge");
        command
            .env_clear()
            .env("JACKDAWVALE_NODE_FILE", &self.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log);
        // No router may outlive the case, however that ends.
        // SAFETY: the call only sets an attribute of the new process.
        unsafe {
            command.pre_exec(|| {
                prctl(SET_PARENT_DEATH_SIGNAL, SIGKILL);
                Ok(())
            });
        }
        self.child = Some(command.spawn()?);
        Ok(())
    }

    /// Asks for readiness as the platform does.
    pub fn is_ready(&self) -> bool {
        let ask = || {
            let mut stream =
                TcpStream::connect_timeout(&self.ready, Duration::from_millis(500)).ok()?;
            stream.set_read_timeout(Some(Duration::from_secs(1))).ok()?;
            stream.write_all(b"GET /api/readiness HTTP/1.1\r\nHost: ready\r\n\r\n").ok()?;
            read_head(&mut BufReader::new(stream)).ok()?
        };
        ask().is_some_and(|head| head.word(1) == "200")
    }

    /// Kills the process and waits for its end.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

/// Finds ports that are free on all addresses.
fn free_ports(ips: &[Ipv4Addr]) -> io::Result<Ports> {
    let mut found = Vec::new();
    let mut held = Vec::new();
    while found.len() < 5 {
        let first = TcpListener::bind((ips[0], 0))?;
        let port = first.local_addr()?.port();
        let others = ips[1..].iter().all(|ip| TcpListener::bind((*ip, port)).is_ok());
        if others && ips.iter().all(|ip| UdpSocket::bind((*ip, port)).is_ok()) {
            found.push(port);
        }
        held.push(first);
    }
    Ok(Ports {
        front: found[0],
        ready: found[1],
        control: found[2],
        report: found[3],
        metrics: found[4],
    })
}
