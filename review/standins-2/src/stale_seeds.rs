//! The seeds in the settings of all routers are machines that are gone. Engines of two software versions
//! serve. Callers lose their connections in the middle of streams and take the streams up again at other
//! routers.

use std::net::SocketAddr;
use std::thread;
use std::time::{Duration, Instant};

use crate::caller::{Answer, Call, send, send_until, stream_config};
use crate::engine::{Engine, Work};
use crate::record::{CaseError, Record, Verdict};
use crate::router::Fleet;
use crate::store::Store;

const ZONES: [&str; 3] = ["guj-surat", "guj-ahd", "guj-vadodara"];
const ENGINES: usize = 12;
const EVENTS: u64 = 49;
const PAUSE: Duration = Duration::from_millis(40);
const STREAMS: usize = 60;
/// Events after which the connections break.
const EVENTS_BEFORE_BREAK: u64 = 20;
const BUDGET: Duration = Duration::from_secs(12);

/// Plays the case.
pub fn play(record: &Record, has_trouble: bool) -> Result<Verdict, CaseError> {
    let store = Store::start()?;
    store.put("config", "main", stream_config(2).as_bytes());
    for number in 0..ENGINES {
        let work = Work::Stream { events: EVENTS, pause: PAUSE };
        let zone = ZONES[number % ZONES.len()];
        let version = if number < ENGINES / 2 { "v1" } else { "v2" };
        let id = format!("i-{number:02}");
        let engine = Engine::start_version(&id, "huvo11a", zone, version, work)?;
        store.put("servers", &engine.id, &engine.entry("ready"));
    }
    let mut fleet = Fleet::prepare_with_seeds(&ZONES, store.address, !has_trouble)?;
    fleet.start()?;
    if !fleet.wait_ready(Duration::from_secs(20)) {
        return Err("the routers did not become ready".into());
    }
    // Longer than any caller waits, so that the routers know the service's versions of that time.
    thread::sleep(Duration::from_secs(20));
    let addresses: Vec<SocketAddr> = fleet.routers.iter().map(|router| router.callers).collect();
    record.line(&format!("{STREAMS} streams begin"));
    let begin = Instant::now();
    let broken = ask_all("first", &addresses, |number, attempt, address| {
        let prefix = prefix(number);
        let call = Call {
            method: "POST",
            path: "/pufi791/2f",
            attempt,
            deadline: BUDGET,
            headers: &[("Model", "m"), ("Token-Count", "628,49"), ("Prompt-Prefix", &prefix)],
            body: &format!("question {number}"),
        };
        send_until(address, &call, EVENTS_BEFORE_BREAK)
    })?;
    let held = broken.iter().filter(|answer| last_id(answer) >= Some(EVENTS_BEFORE_BREAK)).count();
    record.line(&format!(
        "{held} callers hold {EVENTS_BEFORE_BREAK} events when their connections break"
    ));
    thread::sleep(Duration::from_millis(500));
    let left = BUDGET.saturating_sub(begin.elapsed());
    record.line(&format!(
        "the callers take their streams up again, {:.1} s of their time budget left; others begin new streams",
        left.as_secs_f64()
    ));
    let taken = ask_all("again", &addresses, |number, attempt, address| {
        let after = last_id(&broken[number]).unwrap_or(0).to_string();
        let (first, prefix) = (format!("first-{number:02}"), prefix(number));
        send(
            address,
            &Call {
                method: "POST",
                path: "/pufi791/2f",
                attempt,
                deadline: left,
                headers: &[
                    ("Model", "m"),
                    ("Token-Count", "628,49"),
                    ("Prompt-Prefix", &prefix),
                    ("Last-Event-Id", &after),
                    ("Resumes", &first),
                ],
                body: &format!("question {number}"),
            },
        )
    })?;
    let begun = ask_all("other", &addresses, |number, attempt, address| {
        let prefix = prefix(number);
        send(
            address,
            &Call {
                method: "POST",
                path: "/pufi791/2f",
                attempt,
                deadline: BUDGET,
                headers: &[("Model", "m"), ("Token-Count", "628,49"), ("Prompt-Prefix", &prefix)],
                body: &format!("other question {number}"),
            },
        )
    })?;
    fleet.kill();
    for (name, answers) in [("first", &broken), ("again", &taken), ("other", &begun)] {
        for (number, answer) in answers.iter().enumerate() {
            let text = format!(
                "sent {name}-{number:02}; answer: status {}, last event {:?}, complete {}",
                answer.status,
                last_id(answer),
                answer.is_complete
            );
            record.line_at(answer.sent, &text);
        }
    }
    let goes_on = |answer: &&Answer| answer.status == 200 && last_id(answer).is_some();
    let (on, new) = (taken.iter().filter(goes_on).count(), begun.iter().filter(goes_on).count());
    record.line(&format!("{on} of {STREAMS} streams go on, {new} of {STREAMS} new ones begin"));
    if new == 0 {
        return Err("no new stream began".into());
    }
    Ok(match on * 2 < new {
        false => Verdict::Held,
        true => Verdict::Broken(format!(
            "LOST: {on} of {STREAMS} streams that were taken up again go on, {new} of {STREAMS} new ones begin"
        )),
    })
}

/// Sends a request for each stream at the same time. What is taken up again goes to another router.
fn ask_all(
    name: &str,
    addresses: &[SocketAddr],
    ask: impl Fn(usize, &str, SocketAddr) -> Answer + Sync,
) -> Result<Vec<Answer>, CaseError> {
    thread::scope(|scope| {
        let ask = &ask;
        let threads: Vec<_> = (0..STREAMS)
            .map(|number| {
                let attempt = format!("{name}-{number:02}");
                let offset = usize::from(name == "again");
                let address = addresses[(number + offset) % addresses.len()];
                scope.spawn(move || ask(number, &attempt, address))
            })
            .collect();
        let answers = threads.into_iter().map(|thread| thread.join());
        answers.collect::<Result<_, _>>().map_err(|_| "a caller failed".into())
    })
}

fn prefix(number: usize) -> String {
    format!("5c1e07a2:119,{:x}:79,{number:x}ffff:430", 0x9100 + number % 20)
}

fn last_id(answer: &Answer) -> Option<u64> {
    answer.body.lines().filter_map(|line| line.strip_prefix("id: ")?.parse().ok()).next_back()
}
