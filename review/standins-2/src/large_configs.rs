//! All open connections to the store go silent, and new ones work, while configs of some size come in quick
//! succession. The last one has to be in force in time.

use std::thread;
use std::time::{Duration, Instant};

use crate::caller::large_config_of;
use crate::engine::{Engine, Work};
use crate::record::{CaseError, Record, Verdict};
use crate::router::Fleet;
use crate::store::Store;
use crate::unreadable_entry::{Crowd, write_traffic};

const ZONES: [&str; 3] = ["guj-surat", "guj-ahd", "guj-vadodara"];
const SERVICES: [&str; 2] = ["wuno96b", "nimo40c"];

/// Bounds of the site.
const CONFIG_APPLY: Duration = Duration::from_millis(2000);
const STABLE_WINDOW: Duration = Duration::from_millis(3000);

/// The configs: how many, how often, and how many routes each has that nobody uses.
const CONFIGS: u64 = 12;
const GAP: Duration = Duration::from_millis(330);
const ROUTES: usize = 3000;

/// Plays the case.
pub fn play(record: &Record, has_trouble: bool) -> Result<Verdict, CaseError> {
    let store = Store::start()?;
    store.put("config", "main", large_config_of(7, SERVICES[0], ROUTES).as_bytes());
    let mut engines = Vec::new();
    for number in 0..6 {
        let work = Work::Plain(Duration::from_millis(15));
        let (zone, service) = (ZONES[number / 2], SERVICES[number % 2]);
        let engine = Engine::start(&format!("i-{number:02}"), service, zone, work)?;
        store.put("servers", &engine.id, &engine.entry("ready"));
        engines.push(engine);
    }
    let mut fleet = Fleet::prepare(&ZONES, store.address)?;
    fleet.start()?;
    if !fleet.wait_ready(Duration::from_secs(20)) {
        return Err("the routers did not become ready".into());
    }
    thread::sleep(Duration::from_secs(4));
    let crowd = Crowd::start(&fleet);
    record.line("callers send unsafe requests, each on a new connection");
    thread::sleep(Duration::from_secs(2));
    let silence = Instant::now();
    if has_trouble {
        store.silence();
        record.line("the open connections to the store go silent");
    }
    let mut acknowledged = silence;
    for number in 1..=CONFIGS {
        let service = SERVICES[usize::from(number == CONFIGS)];
        let config = large_config_of(7 + number, service, ROUTES);
        acknowledged = store.put("config", "main", config.as_bytes());
        record.line(&format!(
            "the store has acknowledged config {} of {} kB: the route goes to {service}",
            7 + number,
            config.len() / 1000
        ));
        thread::sleep(GAP);
    }
    thread::sleep(Duration::from_secs(25));
    let answers = crowd.stop();
    fleet.kill();
    write_traffic(record, &answers, &engines);
    let bound = (acknowledged + CONFIG_APPLY).max(silence + STABLE_WINDOW);
    let old = engines.iter().step_by(2).flat_map(|engine| engine.runs());
    let old: Vec<String> = old.map(|run| run.attempt).collect();
    let sent = answers.iter().filter(|(_, answer)| answer.sent > bound);
    let stale: Vec<_> = sent.filter(|(attempt, _)| old.contains(attempt)).collect();
    let last = stale.iter().map(|(_, answer)| answer.sent).max();
    record.line(&format!(
        "{} requests that were sent {:.2} s after the ack or later, by routers in touch, ran at the old service",
        stale.len(),
        (bound - acknowledged).as_secs_f64()
    ));
    if !answers.iter().any(|(_, answer)| answer.is_served()) {
        return Err("no request was served".into());
    }
    Ok(match last {
        None => Verdict::Held,
        Some(last) => Verdict::Broken(format!(
            "CONFIG: {} requests of machines in touch ran at the old service, the last sent {:.2} s after the ack",
            stale.len(),
            (last - acknowledged).as_secs_f64()
        )),
    })
}
