//! A stream whose engine crashes goes on at another engine; if that one fails the request, a third one
//! takes it. Each event must reach the caller once.

use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::caller::{Answer, Call, send, stream_config};
use crate::engine::{Engine, Work};
use crate::record::{CaseError, Record, Verdict};
use crate::router::Fleet;
use crate::store::Store;

const ZONES: [&str; 3] = ["guj-surat", "guj-ahd", "guj-vadodara"];
const ENGINES: usize = 12;
/// Engines that crash: a quarter.
const CRASHED: usize = 3;
/// Share of the requests that engines fail for a time, in percent.
const ERRORS: u64 = 45;
const ERROR_TIME: Duration = Duration::from_secs(4);
const STREAMS: usize = 240;
const EVENTS: u64 = 49;
const PAUSE: Duration = Duration::from_millis(40);

/// Plays the case.
pub fn play(record: &Record, has_trouble: bool) -> Result<Verdict, CaseError> {
    let store = Store::start()?;
    store.put("config", "main", stream_config(3).as_bytes());
    let mut engines = Vec::new();
    for number in 0..ENGINES {
        let work = Work::Stream { events: EVENTS, pause: PAUSE };
        let zone = ZONES[number % ZONES.len()];
        let engine = Engine::start(&format!("i-{number:02}"), "huvo11a", zone, work)?;
        store.put("servers", &engine.id, &engine.entry("ready"));
        engines.push(engine);
    }
    let mut fleet = Fleet::prepare(&ZONES, store.address)?;
    fleet.start()?;
    if !fleet.wait_ready(Duration::from_secs(20)) {
        return Err("the routers did not become ready".into());
    }
    thread::sleep(Duration::from_secs(4));
    record.line(&format!("{STREAMS} streams of {EVENTS} events begin within 0.8 s"));
    let answers: Arc<Mutex<Vec<(String, Answer)>>> = Arc::default();
    let start = Instant::now();
    let callers: Vec<_> = (0..STREAMS)
        .map(|number| {
            let address = fleet.routers[number % ZONES.len()].callers;
            let answers = Arc::clone(&answers);
            thread::spawn(move || {
                thread::sleep(Duration::from_millis(800) * number as u32 / STREAMS as u32);
                let attempt = format!("attempt-{number:03}");
                let parts =
                    format!("5c1e07a2:119,{:x}:79,{number:x}ffff:430", 0x9100 + number % 40);
                let answer = send(
                    address,
                    &Call {
                        method: "POST",
                        path: "/pufi791/2f",
                        attempt: &attempt,
                        deadline: Duration::from_secs(12),
                        headers: &[
                            ("Model", "m"),
                            ("Token-Count", "628,49"),
                            ("Prompt-Prefix", &parts),
                        ],
                        body: &format!("question {number}"),
                    },
                );
                answers.lock().unwrap().push((attempt, answer));
            })
        })
        .collect();
    if has_trouble {
        thread::sleep(Duration::from_millis(1300).saturating_sub(start.elapsed()));
        engines.iter().for_each(|engine| engine.set_errors(ERRORS));
        record.line(&format!("all engines fail {ERRORS} of 100 requests from now on"));
        thread::sleep(Duration::from_millis(200));
        let crashed: Vec<&str> =
            engines[..CRASHED].iter().map(|engine| engine.id.as_str()).collect();
        engines[..CRASHED].iter().for_each(|engine| engine.crash());
        record.line(&format!("crashed: {}", crashed.join(" ")));
        thread::sleep(ERROR_TIME - Duration::from_millis(200));
        engines.iter().for_each(|engine| engine.set_errors(0));
        record.line("no engine fails requests any more");
    }
    for caller in callers {
        caller.join().map_err(|_| "a caller failed")?;
    }
    fleet.kill();
    write_runs(record, &engines);
    check(record, &answers.lock().unwrap())
}

/// Records what ran where.
fn write_runs(record: &Record, engines: &[Arc<Engine>]) {
    let mut runs: Vec<_> = engines
        .iter()
        .flat_map(|engine| engine.runs().into_iter().map(move |run| (engine, run)))
        .collect();
    runs.sort_by_key(|(_, run)| run.at);
    for (engine, run) in runs {
        let after = run.after.map_or("none".to_owned(), |after| after.to_string());
        let text = format!(
            "run of {} at {}, Last-Event-Id {after}, status {}",
            run.attempt, engine.id, run.status
        );
        record.line_at(run.at, &text);
    }
}

/// Checks the rule ORDER on what callers got.
fn check(record: &Record, answers: &[(String, Answer)]) -> Result<Verdict, CaseError> {
    let (mut whole, mut broken_off, mut refused) = (0, 0, 0);
    let mut wrong = Vec::new();
    for (attempt, answer) in answers {
        let ids: Vec<u64> = answer
            .body
            .lines()
            .filter_map(|line| line.strip_prefix("id: ")?.parse().ok())
            .collect();
        let text = format!(
            "sent {attempt}; answer: status {}, complete {}, events {ids:?}",
            answer.status, answer.is_complete
        );
        record.line_at(answer.sent, &text);
        if answer.status != 200 {
            refused += 1;
            continue;
        }
        let in_order = ids.iter().enumerate().all(|(index, id)| *id == index as u64 + 1);
        let is_short = answer.is_complete && ids.len() as u64 != EVENTS;
        if !in_order || is_short {
            wrong.push(attempt.clone());
        } else if answer.is_complete {
            whole += 1;
        } else {
            broken_off += 1;
        }
    }
    record.line(&format!(
        "of {}: {whole} whole, {broken_off} broken off, {refused} refused or failed, {} out of order",
        answers.len(),
        wrong.len()
    ));
    if whole == 0 {
        return Err("no stream was served".into());
    }
    Ok(match wrong.first() {
        None => Verdict::Held,
        Some(first) => Verdict::Broken(format!(
            "ORDER: {} streams have events twice or out of order, such as {first}",
            wrong.len()
        )),
    })
}
