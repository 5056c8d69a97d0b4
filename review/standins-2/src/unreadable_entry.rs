//! An entry of kind `servers` holds bytes that can't be read. It names no engine to use; the others hold.
//!
//! In the background, one engine of five is cut off from the store, as on any day: its entry goes after
//! three check-in intervals. At the end all routers are killed and start again.

use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::caller::{Answer, Call, plain_config, send};
use crate::engine::{Engine, Work};
use crate::record::{CaseError, Record, Verdict};
use crate::router::Fleet;
use crate::store::Store;

const ZONES: [&str; 3] = ["guj-surat", "guj-ahd", "guj-vadodara"];
const ENGINES: usize = 5;
const CALLERS: usize = 12;
/// Pause of a caller between two requests.
const PAUSE: Duration = Duration::from_millis(120);

/// Bounds of the site.
const DRAIN: Duration = Duration::from_millis(2000);
const STABLE_WINDOW: Duration = Duration::from_millis(3000);
const CHECK_IN: Duration = Duration::from_millis(1200);
const RECOVER: Duration = Duration::from_secs(12);

/// Time for which callers are watched after the recovery.
const AFTER_RECOVERY: Duration = Duration::from_secs(10);

/// The bytes of the entry, by the variable `ENTRY`; the first are the case.
const UNREADABLE: [(&str, &[u8]); 3] = [
    // No UTF-8, as JSON has to be.
    ("bytes", b"{\"service\":\"wuno96b\",\"address\":\"\xff\xfe\x80\",\"zone\":\"\xc3\x28\"}"),
    // Half of a surrogate pair, which the grammar of JSON allows.
    ("surrogate", br#"{"service":"wuno96b","address":"\ud800","zone":"guj-ahd"}"#),
    // A number that no floating-point number holds, which the grammar of JSON allows as well.
    ("number", br#"{"service":"wuno96b","address":"127.0.0.1:9","slots":1e400}"#),
];

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
    thread::sleep(Duration::from_secs(3));

    record.line(&format!("{CALLERS} callers send unsafe requests, each on a new connection"));
    let crowd = Crowd::start(&fleet);
    thread::sleep(Duration::from_secs(3));
    if has_trouble {
        let variant = std::env::var("ENTRY").unwrap_or_else(|_| UNREADABLE[0].0.to_owned());
        if variant == "name" {
            // An entry that fills a page of a list by itself, and whose name has to be escaped there.
            let entry = format!("{{\"note\":\"{}\"}}", "x".repeat(1_048_300));
            store.put("servers", "a writer", entry.as_bytes());
            record.line("another writer has written an entry of 1 MB whose name holds a space");
        } else {
            let entry = UNREADABLE.iter().find(|(name, _)| *name == variant);
            let (_, entry) = entry.ok_or("there is no such variant of the entry")?;
            store.put("servers", "i-odd", entry);
            record.line("another writer has written the entry i-odd, which can't be read");
        }
    }
    thread::sleep(STABLE_WINDOW);
    record.line("engine i-00 is cut off from the store");
    thread::sleep(CHECK_IN * 3);
    let gone = store.remove("servers", "i-00");
    record.line("the store has removed the entry of i-00");
    thread::sleep(DRAIN + Duration::from_secs(6));
    let late: Vec<_> = engines[0].runs().into_iter().filter(|run| run.at > gone + DRAIN).collect();
    record.line(&format!(
        "i-00 got {} requests later than drain_ms after that, the other engines {}",
        late.len(),
        engines[1..].iter().map(|engine| count_since(engine, gone + DRAIN)).sum::<usize>()
    ));
    let served_before = crowd.served();

    fleet.kill();
    record.line("all routers are killed");
    thread::sleep(Duration::from_millis(1200));
    fleet.start()?;
    let back = Instant::now();
    record.line("all routers are back");
    thread::sleep(RECOVER + AFTER_RECOVERY);
    let answers = crowd.stop();
    write_traffic(record, &answers, &engines);
    let after: Vec<&Answer> =
        answers.iter().map(|(_, answer)| answer).filter(|it| it.sent > back + RECOVER).collect();
    let served = after.iter().filter(|answer| answer.is_served()).count();
    let ready = fleet.routers.iter().filter(|router| router.is_ready()).count();
    record.line(&format!(
        "later than recover_s after the routers were back, {served} of {} requests were served; \
        {ready} of {} routers are ready",
        after.len(),
        ZONES.len()
    ));
    fleet.kill();
    if served_before == 0 || after.is_empty() {
        return Err("no request was served before the fault, or none was sent after it".into());
    }
    let mut broken = Vec::new();
    if served * 4 < after.len() {
        broken.push(format!("RECOVER: {served} of {} requests were served", after.len()));
    }
    if let Some(last) = late.last() {
        broken.push(format!(
            "DRAIN: {} requests reached i-00 more than drain_ms after it was gone, the last {:.1} s after",
            late.len(),
            (last.at - gone).as_secs_f64()
        ));
    }
    Ok(match broken.is_empty() {
        true => Verdict::Held,
        false => Verdict::Broken(broken.join("; ")),
    })
}

/// Records what callers got and what ran where.
pub fn write_traffic(record: &Record, answers: &[(String, Answer)], engines: &[Arc<Engine>]) {
    for (attempt, answer) in answers {
        let text = format!(
            "sent {attempt}; answer: status {}, sealed {}, complete {}",
            answer.status, answer.is_sealed, answer.is_complete
        );
        record.line_at(answer.sent, &text);
    }
    for engine in engines {
        for run in engine.runs() {
            record.line_at(run.at, &format!("run of {} at {}", run.attempt, engine.id));
        }
    }
}

fn count_since(engine: &Arc<Engine>, since: Instant) -> usize {
    engine.runs().iter().filter(|run| run.at > since).count()
}

/// Callers that send requests one after the other until they are stopped.
pub struct Crowd {
    is_over: Arc<AtomicBool>,
    served: Arc<AtomicUsize>,
    answers: Arc<Mutex<Vec<(String, Answer)>>>,
    threads: Vec<thread::JoinHandle<()>>,
}

impl Crowd {
    /// Starts the callers, which are spread evenly over the routers.
    pub fn start(fleet: &Fleet) -> Crowd {
        let mut crowd = Crowd {
            is_over: Arc::default(),
            served: Arc::default(),
            answers: Arc::default(),
            threads: Vec::new(),
        };
        for number in 0..CALLERS {
            let address = fleet.routers[number % fleet.routers.len()].callers;
            let (is_over, served) = (Arc::clone(&crowd.is_over), Arc::clone(&crowd.served));
            let answers = Arc::clone(&crowd.answers);
            crowd.threads.push(thread::spawn(move || {
                for count in 0.. {
                    if is_over.load(Ordering::SeqCst) {
                        return;
                    }
                    let attempt = format!("attempt-{number:02}-{count:04}");
                    let answer = send(
                        address,
                        &Call {
                            method: "POST",
                            path: "/puxa403/2f",
                            attempt: &attempt,
                            deadline: Duration::from_millis(1000),
                            headers: &[],
                            body: "certificate",
                        },
                    );
                    served.fetch_add(usize::from(answer.is_served()), Ordering::SeqCst);
                    answers.lock().unwrap().push((attempt, answer));
                    thread::sleep(PAUSE);
                }
            }));
        }
        crowd
    }

    /// Returns the number of requests served so far.
    pub fn served(&self) -> usize {
        self.served.load(Ordering::SeqCst)
    }

    /// Stops the callers and returns what they got.
    pub fn stop(self) -> Vec<(String, Answer)> {
        self.is_over.store(true, Ordering::SeqCst);
        for thread in self.threads {
            let _ = thread.join();
        }
        std::mem::take(&mut *self.answers.lock().unwrap())
    }
}
