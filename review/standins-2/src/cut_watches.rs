//! The store cuts off the watches that wait, twice within a second or so, and serves everything else.
//! Meanwhile the entry of an engine goes, since the engine is cut off from the store.

use std::thread;
use std::time::Duration;

use crate::caller::plain_config;
use crate::engine::{Engine, Work};
use crate::record::{CaseError, Record, Verdict};
use crate::router::Fleet;
use crate::store::Store;
use crate::unreadable_entry::{Crowd, write_traffic};

const ZONES: [&str; 3] = ["guj-surat", "guj-ahd", "guj-vadodara"];
const ENGINES: usize = 5;
const KINDS: [&str; 3] = ["servers", "config", "crash-findings"];

/// Bounds of the site.
const DRAIN: Duration = Duration::from_millis(2000);
const STABLE_WINDOW: Duration = Duration::from_millis(3000);
const CHECK_IN: Duration = Duration::from_millis(1200);

/// When the watches are cut off: before the entry goes, and after.
const FIRST_CUT: Duration = Duration::from_millis(500);
const SECOND_CUT: Duration = Duration::from_millis(600);

/// Plays the case.
pub fn play(record: &Record, has_trouble: bool) -> Result<Verdict, CaseError> {
    let store = Store::start()?;
    store.put("config", "main", plain_config().as_bytes());
    let mut engines = Vec::new();
    for number in 0..ENGINES {
        let work = Work::Plain(Duration::from_millis(15));
        let zone = ZONES[number % ZONES.len()];
        let engine = Engine::start(&format!("i-{number:02}"), "wuno96b", zone, work)?;
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
    let cut = || {
        let count: usize = KINDS.iter().map(|kind| store.cut_watches(kind)).sum();
        record.line(&format!("the store cuts off {count} watches that wait"));
    };
    record.line("engine i-00 is cut off from the store");
    thread::sleep(CHECK_IN * 3 - FIRST_CUT);
    if has_trouble {
        cut();
    }
    thread::sleep(FIRST_CUT);
    let gone = store.remove("servers", "i-00");
    record.line("the store has removed the entry of i-00");
    thread::sleep(SECOND_CUT);
    if has_trouble {
        cut();
    }
    let calm = gone + SECOND_CUT + STABLE_WINDOW;
    // With `CUTS=regular`, no watch may wait for longer than a second from now on.
    let is_regular = has_trouble && std::env::var("CUTS").as_deref() == Ok("regular");
    for _ in 0..9 {
        thread::sleep(Duration::from_secs(1));
        if is_regular {
            cut();
        }
    }
    let answers = crowd.stop();
    fleet.kill();
    write_traffic(record, &answers, &engines);
    let served = answers.iter().filter(|(_, answer)| answer.is_served()).count();
    record.line(&format!("{served} of {} requests were served", answers.len()));
    if served * 2 < answers.len() {
        return Err("too few requests were served".into());
    }
    let runs = engines[0].runs();
    let late = runs.iter().filter(|run| run.at > gone + DRAIN).count();
    let calm: Vec<_> = runs.iter().filter(|run| run.at > calm).collect();
    record.line(&format!(
        "i-00 got {late} requests later than drain_ms after its entry had gone, {} of them later than \
        stable_window_ms after the last cut",
        calm.len()
    ));
    // Only the latter are judged: the routers are in touch then, even if a watch that is cut off
    // counted as a reset of a connection.
    Ok(match calm.last() {
        None => Verdict::Held,
        Some(last) => Verdict::Broken(format!(
            "DRAIN: {} requests reached i-00 from routers in touch, the last {:.1} s after its entry had gone",
            calm.len(),
            (last.at - gone).as_secs_f64()
        )),
    })
}
