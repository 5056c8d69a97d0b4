//! Stand-in for the platform's store: lists, watches, writes under a condition.

use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use serde_json::{Value, json};

use crate::wire::{Connection, Head, response};

#[derive(Default)]
struct Inner {
    revision: u64,
    objects: BTreeMap<(String, String), Value>,
    events: Vec<(u64, String, Value, bool)>,
}

#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    shared: Arc<(Mutex<Inner>, Condvar)>,
}

impl Store {
    pub fn start(ip: &str) -> Store {
        let listener = TcpListener::bind((ip, 0)).expect("port for the store");
        let address = listener.local_addr().expect("address");
        let shared =
            Arc::new((Mutex::new(Inner { revision: 1, ..Inner::default() }), Condvar::new()));
        let store = Store { address, shared };
        let server = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = server.clone();
                thread::spawn(move || store.serve(Connection::new(stream)));
            }
        });
        store
    }

    /// Writes an object, which is acknowledged when this returns.
    pub fn put(&self, kind: &str, name: &str, spec: &Value) -> Value {
        let (inner, changed) = &*self.shared;
        let mut inner = inner.lock().expect("store");
        inner.revision += 1;
        let revision = inner.revision;
        let object = json!({"metadata": {"name": name, "rev": revision, "created": 1,
            "finalizers": [], "deleting": false}, "spec": spec, "status": null});
        inner.objects.insert((kind.to_owned(), name.to_owned()), object.clone());
        inner.events.push((revision, kind.to_owned(), object.clone(), false));
        changed.notify_all();
        object
    }

    fn serve(&self, mut connection: Connection) {
        while let Ok(Some(head)) = connection.read_head() {
            let (body, is_whole) = connection.read_body(&head);
            if !is_whole {
                return;
            }
            let (status, answer) = self.answer(&head, &body);
            let headers = "content-type: application/json\r\n";
            let bytes = response(status, headers, answer.to_string().as_bytes());
            if connection.write(&bytes).is_err() {
                return;
            }
        }
    }

    fn answer(&self, head: &Head, body: &[u8]) -> (&'static str, Value) {
        let (path, query) = head.target().split_once('?').unwrap_or((head.target(), ""));
        let path = path.trim_start_matches("/api/objects/");
        let parameter = |name: &str| {
            let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            pairs.find(|(key, _)| *key == name).map(|(_, value)| value.to_owned())
        };
        if head.method() == "GET" {
            if let Some(after) = parameter("watch") {
                let wait = parameter("wait_ms").and_then(|wait| wait.parse().ok()).unwrap_or(0);
                return ("200 OK", self.watch(path, after.parse().unwrap_or(0), wait));
            }
            let inner = self.shared.0.lock().expect("store");
            let items = inner.objects.iter().filter(|((kind, _), _)| kind == path);
            let items: Vec<Value> = items.map(|(_, object)| object.clone()).collect();
            return (
                "200 OK",
                json!({"items": items, "has_more": false, "current_rev": inner.revision}),
            );
        }
        let Ok(body) = serde_json::from_slice::<Value>(body) else {
            return ("400 Bad Request", json!({}));
        };
        let (kind, name) = match path.split_once('/') {
            Some((kind, name)) => (kind, name.to_owned()),
            None => (path, body["metadata"]["name"].as_str().unwrap_or_default().to_owned()),
        };
        let known = {
            let inner = self.shared.0.lock().expect("store");
            inner.objects.get(&(kind.to_owned(), name.clone())).cloned()
        };
        match (head.method(), known) {
            ("POST", Some(object)) => ("409 Conflict", object),
            ("PUT", None) => ("404 Not Found", json!({})),
            ("PUT", Some(object)) if body["metadata"]["rev"] != object["metadata"]["rev"] => {
                ("409 Conflict", object)
            }
            _ => ("200 OK", self.put(kind, &name, &body["spec"])),
        }
    }

    fn watch(&self, kind: &str, after: u64, wait_ms: u64) -> Value {
        let (inner, changed) = &*self.shared;
        let end = Instant::now() + Duration::from_millis(wait_ms);
        let mut inner = inner.lock().expect("store");
        loop {
            let newer = inner.events.iter().filter(|(rev, of, _, _)| *rev > after && of == kind);
            let events: Vec<Value> = newer
                .map(|(_, _, object, deleted)| json!({"object": object, "deleted": deleted}))
                .collect();
            let left = end.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                return json!({"events": events, "current_rev": inner.revision});
            }
            inner = changed.wait_timeout(inner, left).expect("store").0;
        }
    }
}
