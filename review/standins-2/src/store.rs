//! Stand-in of the platform's store: objects by kind and name, one revision counter, lists, watches
//! and conditional writes.
//!
//! Specs are kept as the bytes that their writer sent.

use std::collections::BTreeMap;
use std::io::{self, BufReader};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{read_head, read_request_body, write_response};

/// How long the store keeps its history: `history_s` of the site.
const HISTORY: Duration = Duration::from_secs(20);

/// Entries and bytes of one page of a list.
const PAGE: usize = 500;
const PAGE_BYTES: usize = 1024 * 1024;

#[derive(Clone)]
struct Object {
    rev: u64,
    created: u64,
    spec: Vec<u8>,
}

#[derive(Default)]
struct State {
    rev: u64,
    objects: BTreeMap<(String, String), Object>,
    /// Revision, kind, object and whether it was deleted.
    events: Vec<(u64, String, Vec<u8>, bool)>,
    /// When these events were made.
    event_times: Vec<Instant>,
    /// Revision up to which there are no events any more.
    history_start: u64,
    /// How often the waiting watches of a kind were cut off.
    cuts: BTreeMap<String, u64>,
    /// How often the open connections went silent.
    silences: u64,
    /// Watches that wait now, by kind.
    waiting: BTreeMap<String, usize>,
}

struct Shared {
    state: Mutex<State>,
    changed: Condvar,
}

/// The store; it serves until the process ends.
#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    shared: Arc<Shared>,
}

impl Store {
    pub fn start() -> io::Result<Store> {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0))?;
        let address = listener.local_addr()?;
        let state = State { rev: 1, ..State::default() };
        let shared = Arc::new(Shared { state: Mutex::new(state), changed: Condvar::new() });
        let store = Store { address, shared: Arc::clone(&shared) };
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let shared = Arc::clone(&shared);
                // An error means that the caller closed the connection.
                thread::spawn(move || drop(serve(&shared, stream)));
            }
        });
        Ok(store)
    }

    /// Writes an object as its author sends it; returns when the store has acknowledged it.
    pub fn put(&self, kind: &str, name: &str, spec: &[u8]) -> Instant {
        let mut state = self.shared.state.lock().unwrap();
        state.write(kind, name, spec);
        self.shared.changed.notify_all();
        Instant::now()
    }

    /// Removes an object; returns when the store has acknowledged it.
    pub fn remove(&self, kind: &str, name: &str) -> Instant {
        let mut state = self.shared.state.lock().unwrap();
        if let Some(mut object) = state.objects.remove(&(kind.to_owned(), name.to_owned())) {
            state.rev += 1;
            object.rev = state.rev;
            let event = (state.rev, kind.to_owned(), render(name, &object), true);
            state.events.push(event);
            state.event_times.push(Instant::now());
            self.shared.changed.notify_all();
        }
        Instant::now()
    }

    /// Makes all open connections silent for good; new ones work.
    pub fn silence(&self) -> Instant {
        let mut state = self.shared.state.lock().unwrap();
        state.silences += 1;
        self.shared.changed.notify_all();
        Instant::now()
    }

    /// Cuts off the watches of a kind that are waiting; returns their number.
    pub fn cut_watches(&self, kind: &str) -> usize {
        let mut state = self.shared.state.lock().unwrap();
        *state.cuts.entry(kind.to_owned()).or_default() += 1;
        let waiting = state.waiting.get(kind).copied().unwrap_or(0);
        self.shared.changed.notify_all();
        waiting
    }
}

impl State {
    /// Drops the history that is too old.
    fn forget(&mut self) {
        let old = self.event_times.iter().take_while(|time| time.elapsed() > HISTORY).count();
        if old > 0 {
            self.history_start = self.events[old - 1].0;
            self.events.drain(..old);
            self.event_times.drain(..old);
        }
    }

    fn write(&mut self, kind: &str, name: &str, spec: &[u8]) -> Vec<u8> {
        let key = (kind.to_owned(), name.to_owned());
        let known = self.objects.get(&key).cloned();
        if let Some(known) = known.as_ref().filter(|known| known.spec == spec) {
            return render(name, known);
        }
        self.rev += 1;
        let created = known.map_or(self.rev, |known| known.created);
        let object = Object { rev: self.rev, created, spec: spec.to_vec() };
        let bytes = render(name, &object);
        self.events.push((self.rev, kind.to_owned(), bytes.clone(), false));
        self.event_times.push(Instant::now());
        self.objects.insert(key, object);
        bytes
    }
}

fn render(name: &str, object: &Object) -> Vec<u8> {
    let Object { rev, created, spec } = object;
    let mut bytes = format!(
        "{{\"metadata\":{{\"name\":\"{name}\",\"rev\":{rev},\"created\":{created},\
        \"finalizers\":[],\"deleting\":false}},\"spec\":"
    )
    .into_bytes();
    bytes.extend_from_slice(spec);
    bytes.extend_from_slice(b",\"status\":null}");
    bytes
}

fn serve(shared: &Shared, stream: TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let mut writer = stream.try_clone()?;
    let mut reader = BufReader::new(stream);
    let silences = shared.state.lock().unwrap().silences;
    while let Some(head) = read_head(&mut reader)? {
        let body = read_request_body(&mut reader, &head)?;
        let (path, query) = head.word(1).split_once('?').unwrap_or((head.word(1), ""));
        let rest = path.strip_prefix("/api/objects/").unwrap_or("");
        let (kind, name) = rest.split_once('/').unwrap_or((rest, ""));
        let parameter = |name: &str| {
            let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            pairs.into_iter().find(|(key, _)| *key == name).map(|(_, value)| value)
        };
        let (status, answer) = match head.word(0) {
            _ if kind.is_empty() => ("404 Not Found", b"{}".to_vec()),
            "GET" => match parameter("watch").and_then(|text| text.parse().ok()) {
                Some(after) => {
                    let wait = parameter("wait_ms").and_then(|text| text.parse().ok());
                    let wait = Duration::from_millis(wait.unwrap_or(0));
                    match watch(shared, kind, after, wait) {
                        Some(answer) if answer.is_empty() => ("410 Gone", b"{}".to_vec()),
                        Some(answer) => ("200 OK", answer),
                        // Cut off: the connection ends without a response.
                        None => return Ok(()),
                    }
                }
                None => ("200 OK", list(shared, kind, name, parameter("after_rev"))),
            },
            "POST" | "PUT" => write(shared, kind, name, &body, head.word(0) == "POST"),
            _ => ("404 Not Found", b"{}".to_vec()),
        };
        if shared.state.lock().unwrap().silences != silences {
            continue;
        }
        let headers = [("Content-Type", "application/json"), ("Store-Era", "0")];
        write_response(&mut writer, status, &headers, &answer)?;
    }
    Ok(())
}

fn list(shared: &Shared, kind: &str, name: &str, after: Option<&str>) -> Vec<u8> {
    let state = shared.state.lock().unwrap();
    let objects = state.objects.iter().filter(|((its_kind, its_name), _)| {
        its_kind == kind
            && (name.is_empty() || its_name == name)
            && after.is_none_or(|after| its_name.as_str() > after)
    });
    let items: Vec<Vec<u8>> = objects.map(|((_, name), object)| render(name, object)).collect();
    let mut sum = 0;
    let fitting = items.iter().take(PAGE).take_while(|item| {
        sum += item.len();
        sum <= PAGE_BYTES
    });
    // A page has one entry at least.
    let count = fitting.count().max(1).min(items.len());
    let has_more = items.len() > count;
    let mut bytes = b"{\"items\":[".to_vec();
    bytes.extend(items[..count].join(&b','));
    bytes.extend(format!("],\"has_more\":{has_more},\"current_rev\":{}}}", state.rev).bytes());
    bytes
}

/// Waits for changes; `None` if the watch was cut off, nothing if the history is gone.
fn watch(shared: &Shared, kind: &str, after: u64, wait: Duration) -> Option<Vec<u8>> {
    let ends = Instant::now() + wait;
    let mut state = shared.state.lock().unwrap();
    let cuts = state.cuts.get(kind).copied();
    state.forget();
    if after < state.history_start {
        return Some(Vec::new());
    }
    let events = loop {
        let newer =
            state.events.iter().filter(|(rev, its_kind, ..)| *rev > after && its_kind == kind);
        let events: Vec<Vec<u8>> = newer
            .map(|(_, _, object, is_deleted)| {
                let mut event = format!("{{\"deleted\":{is_deleted},\"object\":").into_bytes();
                event.extend_from_slice(object);
                event.push(b'}');
                event
            })
            .collect();
        let left = ends.saturating_duration_since(Instant::now());
        if !events.is_empty() || left.is_zero() {
            break events;
        }
        *state.waiting.entry(kind.to_owned()).or_default() += 1;
        state = shared.changed.wait_timeout(state, left).unwrap().0;
        *state.waiting.entry(kind.to_owned()).or_default() -= 1;
        if state.cuts.get(kind).copied() != cuts {
            return None;
        }
    };
    let mut bytes = b"{\"events\":[".to_vec();
    bytes.extend(events.join(&b','));
    bytes.extend(format!("],\"current_rev\":{}}}", state.rev).bytes());
    Some(bytes)
}

/// Carries out a write of the system, which creates or replaces an object.
fn write(
    shared: &Shared,
    kind: &str,
    name: &str,
    body: &[u8],
    is_new: bool,
) -> (&'static str, Vec<u8>) {
    let text = String::from_utf8_lossy(body);
    let field = |name: &str, end: &[char]| {
        let rest = text.split_once(&format!("\"{name}\":"))?.1;
        Some(rest.split(end).next().unwrap_or("").trim_matches('"').to_owned())
    };
    let name = match name {
        "" => field("name", &[',', '}']).unwrap_or_default(),
        name => name.to_owned(),
    };
    let Some((_, spec)) = text.split_once("\"spec\":") else {
        return ("400 Bad Request", b"{}".to_vec());
    };
    let spec = spec.strip_suffix('}').unwrap_or(spec);
    let rev = field("rev", &[',', '}']).and_then(|text| text.parse::<u64>().ok());
    let mut state = shared.state.lock().unwrap();
    let known = state.objects.get(&(kind.to_owned(), name.clone())).cloned();
    match known {
        Some(known) if is_new || rev.is_some_and(|rev| rev != known.rev) => {
            ("409 Conflict", render(&name, &known))
        }
        None if !is_new => ("404 Not Found", b"{}".to_vec()),
        _ => {
            let answer = state.write(kind, &name, spec.as_bytes());
            shared.changed.notify_all();
            ("200 OK", answer)
        }
    }
}
