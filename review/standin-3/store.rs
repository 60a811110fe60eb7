//! The platform's store: objects with revisions, lists and watches.

use crate::http::{Connection, Message, response};
use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

#[derive(Clone, Debug)]
struct Object {
    revision: u64,
    spec: String,
}

#[derive(Clone, Debug)]
struct Event {
    revision: u64,
    kind: String,
    text: String,
}

struct State {
    revision: u64,
    objects: BTreeMap<(String, String), Object>,
    history: Vec<Event>,
}

pub struct Store {
    state: Mutex<State>,
    changed: Condvar,
    pub address: SocketAddr,
}

impl Store {
    pub fn start(address: &str) -> Arc<Self> {
        let listener = TcpListener::bind((address, 0)).expect("the store listens");
        let store = Arc::new(Self {
            state: Mutex::new(State {
                revision: 100,
                objects: BTreeMap::new(),
                history: Vec::new(),
            }),
            changed: Condvar::new(),
            address: listener.local_addr().expect("a bound listener has an address"),
        });
        let shared = store.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = shared.clone();
                std::thread::spawn(move || store.serve(stream));
            }
        });
        store
    }

    pub fn put(&self, kind: &str, name: &str, spec: &str) -> u64 {
        let mut state = self.state.lock().unwrap();
        let key = (kind.to_owned(), name.to_owned());
        if state.objects.get(&key).is_some_and(|object| object.spec == spec) {
            return state.revision;
        }
        state.revision += 1;
        let revision = state.revision;
        state.objects.insert(key, Object { revision, spec: spec.to_owned() });
        let text = format!("{{\"object\":{},\"deleted\":false}}", document(name, revision, spec));
        state.history.push(Event { revision, kind: kind.to_owned(), text });
        drop(state);
        self.changed.notify_all();
        revision
    }

    pub fn remove(&self, kind: &str, name: &str) {
        let mut state = self.state.lock().unwrap();
        let Some(old) = state.objects.remove(&(kind.to_owned(), name.to_owned())) else { return };
        state.revision += 1;
        let revision = state.revision;
        let text =
            format!("{{\"object\":{},\"deleted\":true}}", document(name, revision, &old.spec));
        state.history.push(Event { revision, kind: kind.to_owned(), text });
        drop(state);
        self.changed.notify_all();
    }

    fn serve(&self, stream: TcpStream) {
        let mut connection = Connection::new(stream);
        while let Ok(Some(request)) = connection.read() {
            let answer = self.handle(&request);
            if connection.write(&answer).is_err() {
                return;
            }
        }
    }

    fn handle(&self, request: &Message) -> Vec<u8> {
        let (path, query) = request.target().split_once('?').unwrap_or((request.target(), ""));
        let words: Vec<&str> = path.trim_start_matches('/').split('/').collect();
        let [_, _, kind, name @ ..] = words.as_slice() else { return answer(404, "{}") };
        let parameter = |key: &str| {
            query
                .split('&')
                .filter_map(|pair| pair.split_once('='))
                .find(|(k, _)| *k == key)
                .map(|(_, v)| v)
        };
        match request.start[0].as_str() {
            "GET" => match parameter("watch").and_then(|v| v.parse().ok()) {
                Some(since) => {
                    let wait = parameter("wait_ms").and_then(|v| v.parse().ok()).unwrap_or(0);
                    self.watch(kind, since, Duration::from_millis(wait))
                }
                None => self.list(kind, &percent_decoded(parameter("after").unwrap_or(""))),
            },
            "POST" | "PUT" => {
                let body = String::from_utf8_lossy(&request.body).into_owned();
                let Some((name, spec)) = name_and_spec(&body) else {
                    return answer(400, "{}");
                };
                let exists = self
                    .state
                    .lock()
                    .unwrap()
                    .objects
                    .contains_key(&((*kind).to_owned(), name.clone()));
                if request.start[0] == "POST" && exists {
                    return answer(409, "{}");
                }
                self.put(kind, &name, &spec);
                answer(200, "{}")
            }
            "DELETE" => {
                if let [name] = name {
                    self.remove(kind, name);
                }
                answer(200, "{}")
            }
            _ => answer(405, "{}"),
        }
    }

    /// Returns a page of the objects of a kind: those after a name, 500 or 1 MB at most.
    fn list(&self, kind: &str, after: &str) -> Vec<u8> {
        let state = self.state.lock().unwrap();
        let listed = state.objects.iter().filter(|((object_kind, name), _)| {
            object_kind == kind && (after.is_empty() || name.as_str() > after)
        });
        let (mut items, mut bytes, mut has_more) = (Vec::new(), 0, false);
        for ((_, name), object) in listed {
            let text = document(name, object.revision, &object.spec);
            has_more = items.len() == 500 || !items.is_empty() && bytes + text.len() > 1 << 20;
            if has_more {
                break;
            }
            bytes += text.len();
            items.push(text);
        }
        let body = format!(
            "{{\"items\":[{}],\"has_more\":{has_more},\"as_of\":{}}}",
            items.join(","),
            state.revision
        );
        drop(state);
        answer(200, &body)
    }

    fn watch(&self, kind: &str, since: u64, wait: Duration) -> Vec<u8> {
        let deadline = Instant::now() + wait;
        let mut state = self.state.lock().unwrap();
        loop {
            if since > state.revision {
                drop(state);
                return answer(410, "{}");
            }
            let events: Vec<&str> = state
                .history
                .iter()
                .filter(|event| event.revision > since && event.kind == kind)
                .map(|event| event.text.as_str())
                .collect();
            let left = deadline.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let body =
                    format!("{{\"events\":[{}],\"as_of\":{}}}", events.join(","), state.revision);
                drop(state);
                return answer(200, &body);
            }
            state = self.changed.wait_timeout(state, left).unwrap().0;
        }
    }
}

fn answer(status: u16, body: &str) -> Vec<u8> {
    let headers = "Content-Type: application/json\r\nStore-Era: 1\r\n";
    response(status, headers, body.as_bytes())
}

fn document(name: &str, revision: u64, spec: &str) -> String {
    format!(
        "{{\"meta\":{{\"name\":\"{name}\",\"revision\":{revision},\"created\":1,\"finalizers\":[],\"deleting\":false}},\"spec\":{spec},\"status\":null}}"
    )
}

fn percent_decoded(text: &str) -> String {
    let mut parts = text.split('%');
    let mut decoded = parts.next().unwrap_or("").as_bytes().to_vec();
    for part in parts {
        let code = part.get(..2).and_then(|code| u8::from_str_radix(code, 16).ok());
        decoded.extend(code);
        decoded.extend(part.bytes().skip(2));
    }
    String::from_utf8_lossy(&decoded).into_owned()
}

/// Returns the name and the spec of a document that a daemon writes.
fn name_and_spec(body: &str) -> Option<(String, String)> {
    let name = body.split("\"name\":\"").nth(1)?.split('"').next()?.to_owned();
    let from = body.find("\"spec\":")? + 7;
    let mut depth = 0;
    for (at, byte) in body[from..].bytes().enumerate() {
        match byte {
            b'{' => depth += 1,
            b'}' => depth -= 1,
            _ => {}
        }
        if depth == 0 {
            return Some((name, body[from..=from + at].to_owned()));
        }
    }
    None
}
