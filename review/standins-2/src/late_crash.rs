//! A request crashes each engine that begins to run it, 60 ms after the begin. It comes again and again,
//! at any router.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use crate::caller::{Call, send, stream_config};
use crate::engine::{Engine, Work};
use crate::record::{CaseError, Record, Verdict};
use crate::router::Fleet;
use crate::store::Store;

const ZONES: [&str; 3] = ["guj-surat", "guj-ahd", "guj-vadodara"];
const ENGINES: usize = 12;
const EVENTS: u64 = 49;
/// An event holds 6 tokens, a step takes 3.55 ms.
const PAUSE: Duration = Duration::from_millis(21);
/// Events that an engine makes of a deadly request: it crashes some 60 ms after the begin.
const EVENTS_BEFORE_CRASH: u64 = 3;
const DOWN: Duration = Duration::from_secs(3);
const CHECK_IN: Duration = Duration::from_millis(1200);
const STABLE_WINDOW: Duration = Duration::from_millis(3000);

const DEADLY: &str = "a question that crashes engines";
const REPEATS: usize = 25;
const BETWEEN: Duration = Duration::from_secs(1);
const SOUND_CALLERS: usize = 24;

/// Retries that the rule allows after the third crash.
const ALLOWED: usize = 3;

/// Plays the case.
pub fn play(record: &Record, has_trouble: bool) -> Result<Verdict, CaseError> {
    let lasts = std::env::var("EVENTS").ok().and_then(|text| text.parse().ok());
    let lasts = lasts.unwrap_or(EVENTS_BEFORE_CRASH);
    let store = Store::start()?;
    store.put("config", "main", stream_config(2).as_bytes());
    let mut starts = 0;
    let mut start = |zone: &str| -> Result<Arc<Engine>, CaseError> {
        let work = Work::Stream { events: EVENTS, pause: PAUSE };
        let engine = Engine::start(&format!("i-{starts:03}"), "huvo11a", zone, work)?;
        starts += 1;
        if has_trouble {
            engine.set_deadly(DEADLY, lasts);
        }
        store.put("servers", &engine.id, &engine.entry("ready"));
        Ok(engine)
    };
    let mut engines = Vec::new();
    for number in 0..ENGINES {
        engines.push(start(ZONES[number % ZONES.len()])?);
    }
    let mut fleet = Fleet::prepare(&ZONES, store.address)?;
    fleet.start()?;
    if !fleet.wait_ready(Duration::from_secs(20)) {
        return Err("the routers did not become ready".into());
    }
    thread::sleep(Duration::from_secs(4));
    let is_over = Arc::new(AtomicBool::new(false));
    let callers: Vec<_> = (0..SOUND_CALLERS)
        .map(|number| {
            let (address, is_over) = (fleet.routers[number % 3].callers, Arc::clone(&is_over));
            thread::spawn(move || {
                let mut answers = Vec::new();
                while !is_over.load(Ordering::SeqCst) {
                    let attempt = format!("sound-{number:02}-{:03}", answers.len());
                    let body = format!("question {number} {}", answers.len());
                    let answer = ask(address, &attempt, number, &body);
                    answers.push((attempt, answer));
                    thread::sleep(Duration::from_millis(100));
                }
                answers
            })
        })
        .collect();
    thread::sleep(Duration::from_secs(2));
    record.line(&format!(
        "one caller sends the same request {REPEATS} times, one a second; an engine that runs it crashes \
        after {lasts} events"
    ));
    // Engines that crashed: when, and whether they were replaced and their entry removed.
    let mut crashes: Vec<(Instant, usize, bool, bool)> = Vec::new();
    let begin = Instant::now();
    let mut askers = Vec::new();
    let end = begin + BETWEEN * REPEATS as u32 + Duration::from_secs(2);
    while Instant::now() < end {
        if askers.len() < REPEATS && begin + BETWEEN * askers.len() as u32 <= Instant::now() {
            let number = askers.len();
            let address = fleet.routers[number % 3].callers;
            askers.push(thread::spawn(move || {
                ask(address, &format!("deadly-{number:02}"), 7, DEADLY)
            }));
        }
        for (index, engine) in engines.iter().enumerate() {
            if engine.is_down() && crashes.iter().all(|(_, crashed, ..)| *crashed != index) {
                record.line(&format!("engine {} has crashed", engine.id));
                crashes.push((Instant::now(), index, false, false));
            }
        }
        for (at, index, is_replaced, is_removed) in &mut crashes {
            if !*is_replaced && at.elapsed() >= DOWN {
                let zone = engines[*index].zone.clone();
                engines.push(start(&zone)?);
                *is_replaced = true;
            }
            if !*is_removed && at.elapsed() >= CHECK_IN * 3 {
                store.remove("servers", &engines[*index].id);
                *is_removed = true;
            }
        }
        thread::sleep(Duration::from_millis(5));
    }
    for (number, asker) in askers.into_iter().enumerate() {
        let answer = asker.join().map_err(|_| "a caller failed")?;
        let text = format!("sent deadly-{number:02}; answer: status {}", answer.status);
        record.line_at(answer.sent, &text);
    }
    is_over.store(true, Ordering::SeqCst);
    let (mut sent, mut whole) = (0, 0);
    for caller in callers {
        for (attempt, answer) in caller.join().map_err(|_| "a caller failed")? {
            let text = format!(
                "sent {attempt}; answer: status {}, complete {}",
                answer.status, answer.is_complete
            );
            record.line_at(answer.sent, &text);
            (sent, whole) = (sent + 1, whole + usize::from(answer.is_served()));
        }
    }
    fleet.kill();
    let mut deadly: Vec<_> =
        engines.iter().flat_map(|engine| engine.runs()).filter(|run| run.is_deadly).collect();
    deadly.sort_by_key(|run| run.at);
    for run in &deadly {
        record.line_at(run.at, &format!("deadly run of {}", run.attempt));
    }
    let third = crashes.get(2).map(|(at, ..)| *at);
    let late =
        deadly.iter().filter(|run| third.is_some_and(|third| run.at > third + STABLE_WINDOW));
    let late = late.count();
    record.line(&format!(
        "{} engines crashed; {late} retries reached engines later than stable_window_ms after the third \
        crash; {whole} of {sent} sound streams came whole",
        crashes.len()
    ));
    Ok(match late > ALLOWED {
        false => Verdict::Held,
        true => Verdict::Broken(format!(
            "BUDGET: {late} retries of the request reached engines, {} engines crashed",
            crashes.len()
        )),
    })
}

fn ask(
    address: std::net::SocketAddr,
    attempt: &str,
    number: usize,
    body: &str,
) -> crate::caller::Answer {
    let parts = format!("5c1e07a2:119,{:x}:79,{number:x}ffff:430", 0x9100 + number);
    send(
        address,
        &Call {
            method: "POST",
            path: "/pufi791/2f",
            attempt,
            deadline: Duration::from_secs(12),
            headers: &[("Model", "m"), ("Token-Count", "628,49"), ("Prompt-Prefix", &parts)],
            body,
        },
    )
}
