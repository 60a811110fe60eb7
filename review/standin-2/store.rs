//! The platform's store: objects with revisions, lists and watches.
//!
//! It hands out what other writers wrote as the bytes that they wrote.

use crate::http::{Reader, write_response};
use std::io;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

/// The number of objects in a page of a list.
const PAGE: usize = 500;

/// The longest wait of a watch.
const MAX_WAIT: Duration = Duration::from_secs(30);

/// The time for an answer.
const ANSWER_TIME: Duration = Duration::from_millis(4);

/// One change of an object; its revision is its index plus 1.
struct Change {
    kind: String,
    name: Vec<u8>,
    /// `None` if the object was removed.
    spec: Option<Vec<u8>>,
    at: Instant,
}

#[derive(Default)]
struct State {
    changes: Vec<Change>,
    /// How far calls with `stale_ok` are behind.
    staleness: Duration,
}

#[derive(Default)]
struct Shared {
    state: Mutex<State>,
    changed: Condvar,
}

#[derive(Clone)]
pub struct Store {
    shared: Arc<Shared>,
    address: SocketAddr,
}

impl Store {
    pub fn start() -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let store = Self { shared: Arc::default(), address: listener.local_addr()? };
        let shared = store.shared.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let shared = shared.clone();
                // A caller that closes its connection ends the thread.
                std::thread::spawn(move || shared.serve(stream));
            }
        });
        Ok(store)
    }

    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sets how far calls with `stale_ok` are behind.
    pub fn set_staleness(&self, staleness: Duration) {
        self.shared.state.lock().unwrap().staleness = staleness;
    }

    /// Creates or replaces an object; returns when it is acknowledged.
    pub fn put(&self, kind: &str, name: &[u8], spec: &[u8]) -> Instant {
        self.shared.write(kind, name, Some(spec.to_vec()))
    }

    /// Removes an object; returns when that is acknowledged.
    pub fn remove(&self, kind: &str, name: &[u8]) -> Instant {
        self.shared.write(kind, name, None)
    }
}

impl State {
    /// Returns the newest revision at a time.
    fn revision_at(&self, at: Instant) -> usize {
        self.changes.partition_point(|change| change.at <= at)
    }

    /// Returns the newest revision that a call may see.
    fn visible(&self, stale: bool) -> usize {
        let now = Instant::now();
        if !stale {
            return self.changes.len();
        }
        now.checked_sub(self.staleness).map_or(0, |at| self.revision_at(at))
    }

    /// Returns the last change of each object of a kind up to a revision, sorted by name.
    fn objects(&self, kind: &str, revision: usize) -> Vec<(usize, &Change)> {
        let mut last: Vec<(usize, &Change)> = Vec::new();
        for (index, change) in self.changes[..revision].iter().enumerate() {
            if change.kind == kind {
                last.retain(|(_, other)| other.name != change.name);
                last.push((index + 1, change));
            }
        }
        last.retain(|(_, change)| change.spec.is_some());
        last.sort_by(|a, b| a.1.name.cmp(&b.1.name));
        last
    }
}

fn document(name: &[u8], revision: usize, spec: &[u8]) -> Vec<u8> {
    let mut bytes = b"{\"meta\":{\"name\":\"".to_vec();
    bytes.extend_from_slice(name);
    bytes.extend_from_slice(
        format!("\",\"revision\":{revision},\"created\":1,\"finalizers\":[],\"deleting\":false}},\"spec\":")
            .as_bytes(),
    );
    bytes.extend_from_slice(spec);
    bytes.extend_from_slice(b",\"status\":null}");
    bytes
}

fn join(items: &[Vec<u8>]) -> Vec<u8> {
    items.join(&b","[..])
}

impl Shared {
    fn write(&self, kind: &str, name: &[u8], spec: Option<Vec<u8>>) -> Instant {
        let mut state = self.state.lock().unwrap();
        let current = state.objects(kind, state.changes.len());
        let current = current.iter().find(|(_, change)| change.name == name);
        let unchanged = match current {
            Some((_, change)) => change.spec == spec,
            None => spec.is_none(),
        };
        let at = Instant::now();
        if !unchanged {
            state.changes.push(Change { kind: kind.to_owned(), name: name.to_vec(), spec, at });
            self.changed.notify_all();
        }
        at
    }

    fn serve(&self, mut stream: TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let mut reader = Reader::new(stream.try_clone()?);
        while let Some(call) = reader.next()? {
            std::thread::sleep(ANSWER_TIME);
            let (path, query) = call.word(1).split_once('?').unwrap_or((call.word(1), ""));
            let parameter = |name: &str| {
                query
                    .split('&')
                    .find_map(|pair| pair.split_once('=').filter(|(key, _)| *key == name))
            };
            let path = path.strip_prefix("/berylpin/objects/").unwrap_or_default();
            let (kind, name) = path.split_once('/').unwrap_or((path, ""));
            let (status, body) = match call.word(0) {
                "GET" => {
                    let stale = parameter("stale_ok").is_some_and(|(_, value)| value == "1");
                    let watch = parameter("watch").and_then(|(_, value)| value.parse().ok());
                    match watch {
                        Some(since) => {
                            let wait = parameter("wait_ms").and_then(|(_, v)| v.parse().ok());
                            let wait = Duration::from_millis(wait.unwrap_or(0)).min(MAX_WAIT);
                            (200, self.watch(kind, since, wait, stale))
                        }
                        None => {
                            let after = parameter("after").map_or("", |(_, value)| value);
                            (200, self.list(kind, after.as_bytes(), stale))
                        }
                    }
                }
                "POST" | "PUT" => self.store_document(kind, call.word(0) == "POST", &call.body),
                "DELETE" => {
                    self.write(kind, name.as_bytes(), None);
                    (200, b"{}".to_vec())
                }
                _ => (400, Vec::new()),
            };
            write_response(&mut stream, status, "content-type: application/json\r\n", &body)?;
        }
        Ok(())
    }

    /// Stores the document of a daemon, `{"meta":{"name":"N"},"spec":{..}}`.
    fn store_document(&self, kind: &str, create: bool, body: &[u8]) -> (u16, Vec<u8>) {
        let text = String::from_utf8_lossy(body);
        let name = text.split("\"name\":\"").nth(1).and_then(|rest| rest.split('"').next());
        let spec = text.split_once("\"spec\":").map(|(_, rest)| &rest[..rest.len() - 1]);
        let (Some(name), Some(spec)) = (name, spec) else { return (400, Vec::new()) };
        let exists = {
            let state = self.state.lock().unwrap();
            let objects = state.objects(kind, state.changes.len());
            objects.iter().any(|(_, change)| change.name == name.as_bytes())
        };
        if create && exists {
            return (409, body.to_vec());
        }
        self.write(kind, name.as_bytes(), Some(spec.as_bytes().to_vec()));
        (200, body.to_vec())
    }

    fn list(&self, kind: &str, after: &[u8], stale: bool) -> Vec<u8> {
        let state = self.state.lock().unwrap();
        let revision = state.visible(stale);
        let objects = state.objects(kind, revision);
        let rest: Vec<_> = objects.iter().filter(|(_, change)| &change.name[..] > after).collect();
        let items: Vec<_> = rest
            .iter()
            .take(PAGE)
            .map(|(at, change)| {
                document(&change.name, *at, change.spec.as_deref().unwrap_or(b"null"))
            })
            .collect();
        let mut body = b"{\"items\":[".to_vec();
        body.extend(join(&items));
        let has_more = rest.len() > PAGE;
        body.extend(format!("],\"has_more\":{has_more},\"as_of\":{revision}}}").into_bytes());
        body
    }

    fn watch(&self, kind: &str, since: usize, wait: Duration, stale: bool) -> Vec<u8> {
        /// How often a stale copy is read while a watch waits.
        const INTERVAL: Duration = Duration::from_millis(10);
        let deadline = Instant::now() + wait;
        let mut state = self.state.lock().unwrap();
        loop {
            let revision = state.visible(stale).max(since);
            let changes = state.changes.iter().enumerate().take(revision).skip(since);
            let events: Vec<_> = changes
                .filter(|(_, change)| change.kind == kind)
                .map(|(index, change)| {
                    let spec = change.spec.as_deref().unwrap_or(b"null");
                    let mut event = b"{\"object\":".to_vec();
                    event.extend(document(&change.name, index + 1, spec));
                    let deleted = change.spec.is_none();
                    event.extend(format!(",\"deleted\":{deleted}}}").into_bytes());
                    event
                })
                .collect();
            let now = Instant::now();
            if !events.is_empty() || now >= deadline {
                let mut body = b"{\"events\":[".to_vec();
                body.extend(join(&events));
                body.extend(format!("],\"as_of\":{revision}}}").into_bytes());
                return body;
            }
            let pause = if stale { INTERVAL.min(deadline - now) } else { deadline - now };
            state = self.changed.wait_timeout(state, pause).unwrap().0;
        }
    }
}
