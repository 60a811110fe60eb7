//! The stand-in of the platform of [`berylpin_wire::platform`]: versioned objects with conditional
//! updates and watches, and the VM list.

use crate::http_server::HttpServer;
use berylpin_wire::platform::{Object, ObjectList, Stored, Vm};
use poem::http::{HeaderMap, StatusCode};
use poem::web::{Data, Json, Path, Query};
use poem::{EndpointExt, IntoResponse, Response, Route, get, handler};
use serde::Deserialize;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::{sleep, timeout};

/// Maximum size of an object's value.
const MAX_VALUE_BYTES: usize = 1024 * 1024;

/// Faults injected into the platform.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct PlatformFaults {
    /// Every call fails.
    pub down: bool,
    /// Extra latency of every call.
    pub delay: Duration,
    /// Every change is stored but answered with a gateway timeout.
    pub lose_answers: bool,
    /// Lists, reads and watches return the objects as of the moment when this fault was set.
    pub stale: bool,
}

/// A stand-in of the platform; its HTTP server stops when it is dropped.
#[derive(Debug)]
pub struct Platform {
    server: HttpServer,
    state: Arc<Shared>,
}

#[derive(Debug)]
struct Shared {
    store: Mutex<Store>,
    revision: watch::Sender<u64>,
}

#[derive(Debug, Default)]
struct Store {
    revision: u64,
    /// Sorted by name.
    objects: Vec<Object>,
    /// All versions of all objects, in order of their storage.
    history: Vec<Object>,
    /// The objects that reads return during the `stale` fault.
    stale: ObjectList,
    vms: Vec<Vm>,
    faults: PlatformFaults,
    calls: u64,
}

impl Platform {
    /// Starts a platform without objects on a free loopback port.
    ///
    /// # Errors
    ///
    /// Returns the error of opening the listener.
    pub async fn start() -> io::Result<Self> {
        let state = Arc::new(Shared { store: Mutex::default(), revision: watch::Sender::new(0) });
        let routes = Route::new()
            .at("/v1/objects", get(list_objects))
            .at("/v1/objects/*name", get(get_object).put(put_object).delete(delete_object))
            .at("/v1/watch", get(watch_objects))
            .at("/v1/vms", get(list_vms))
            .data(state.clone());
        Ok(Self { server: HttpServer::start(routes).await?, state })
    }

    /// Returns the address of the platform's listener.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Replaces the VM list.
    pub fn set_vms(&self, vms: Vec<Vm>) {
        self.state.store().vms = vms;
    }

    /// Removes a VM from the list.
    pub fn remove_vm(&self, name: &str) {
        self.state.store().vms.retain(|vm| vm.name != name);
    }

    /// Replaces the injected faults.
    pub fn set_faults(&self, faults: PlatformFaults) {
        let mut store = self.state.store();
        if !store.faults.stale {
            store.stale = store.list("");
        }
        store.faults = faults;
    }

    /// Stores an object unconditionally.
    pub fn store(&self, name: &str, value: &str) {
        let mut store = self.state.store();
        store.put(name, value);
        self.state.revision.send_replace(store.revision);
    }

    /// Returns the stored objects whose names have a prefix; faults don't apply.
    pub fn objects(&self, prefix: &str) -> ObjectList {
        self.state.store().list(prefix)
    }

    /// Returns the version and value of every stored version of an object, oldest first.
    pub fn history(&self, name: &str) -> Vec<(u64, String)> {
        let store = self.state.store();
        let versions = store.history.iter().filter(|object| object.name == name);
        versions.map(|object| (object.version, object.value.clone())).collect()
    }

    /// Returns the number of calls received; a watch counts as one.
    pub fn calls(&self) -> u64 {
        self.state.store().calls
    }
}

impl Shared {
    fn store(&self) -> MutexGuard<'_, Store> {
        self.store.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Counts a call and applies the delay and the outage; returns the active faults.
    async fn admit(&self) -> Result<PlatformFaults, Response> {
        let faults = {
            let mut store = self.store();
            store.calls += 1;
            store.faults
        };
        sleep(faults.delay).await;
        if faults.down {
            return Err(StatusCode::SERVICE_UNAVAILABLE.into_response());
        }
        Ok(faults)
    }

    /// Wakes the watches of a change and returns its response, or an error with `lose_answers`.
    fn publish_change(&self, faults: PlatformFaults, version: u64) -> Response {
        self.revision.send_replace(version);
        if faults.lose_answers {
            return StatusCode::GATEWAY_TIMEOUT.into_response();
        }
        Json(Stored { version }).into_response()
    }
}

impl Store {
    fn find(&self, name: &str) -> Result<usize, usize> {
        self.objects.binary_search_by(|object| object.name.as_str().cmp(name))
    }

    fn list(&self, prefix: &str) -> ObjectList {
        let objects = self.objects.iter().filter(|object| object.name.starts_with(prefix));
        ObjectList { revision: self.revision, objects: objects.cloned().collect() }
    }

    /// Returns the objects that a reader receives, which are old ones during the `stale` fault.
    fn read(&self, prefix: &str) -> ObjectList {
        if !self.faults.stale {
            return self.list(prefix);
        }
        let mut list = self.stale.clone();
        list.objects.retain(|object| object.name.starts_with(prefix));
        list
    }

    fn put(&mut self, name: &str, value: &str) {
        self.revision += 1;
        let (version, value) = (self.revision, value.to_owned());
        let object = Object { name: name.to_owned(), version, value };
        self.history.push(object.clone());
        match self.find(name) {
            Ok(index) => self.objects[index] = object,
            Err(index) => self.objects.insert(index, object),
        }
    }

    /// Returns whether the `if-match` or `if-none-match` header of a change holds.
    fn precondition_holds(&self, name: &str, headers: &HeaderMap) -> bool {
        let stored = self.find(name).ok().map(|index| self.objects[index].version);
        let text = |header: &str| headers.get(header).and_then(|value| value.to_str().ok());
        match (text("if-match"), text("if-none-match")) {
            (Some(version), _) => stored.is_some_and(|stored| stored.to_string() == version),
            (None, Some("*")) => stored.is_none(),
            _ => false,
        }
    }
}

#[derive(Deserialize)]
struct ListQuery {
    #[serde(default)]
    prefix: String,
}

#[derive(Deserialize)]
struct WatchQuery {
    #[serde(default)]
    prefix: String,
    after: u64,
    wait_ms: u64,
}

#[handler]
async fn list_objects(state: Data<&Arc<Shared>>, query: Query<ListQuery>) -> Response {
    if let Err(response) = state.admit().await {
        return response;
    }
    Json(state.store().read(&query.prefix)).into_response()
}

#[handler]
async fn get_object(state: Data<&Arc<Shared>>, Path(name): Path<String>) -> Response {
    if let Err(response) = state.admit().await {
        return response;
    }
    let object = state.store().read(&name).objects.into_iter().find(|object| object.name == name);
    object.map_or_else(|| StatusCode::NOT_FOUND.into_response(), |o| Json(o).into_response())
}

#[handler]
async fn put_object(
    state: Data<&Arc<Shared>>,
    Path(name): Path<String>,
    headers: &HeaderMap,
    value: String,
) -> Response {
    let faults = match state.admit().await {
        Ok(faults) => faults,
        Err(response) => return response,
    };
    if value.len() > MAX_VALUE_BYTES {
        return StatusCode::PAYLOAD_TOO_LARGE.into_response();
    }
    let mut store = state.store();
    if !store.precondition_holds(&name, headers) {
        return StatusCode::PRECONDITION_FAILED.into_response();
    }
    store.put(&name, &value);
    state.publish_change(faults, store.revision)
}

#[handler]
async fn delete_object(
    state: Data<&Arc<Shared>>,
    Path(name): Path<String>,
    headers: &HeaderMap,
) -> Response {
    let faults = match state.admit().await {
        Ok(faults) => faults,
        Err(response) => return response,
    };
    let mut store = state.store();
    let Ok(index) = store.find(&name) else { return StatusCode::NOT_FOUND.into_response() };
    if !store.precondition_holds(&name, headers) {
        return StatusCode::PRECONDITION_FAILED.into_response();
    }
    store.objects.remove(index);
    store.revision += 1;
    state.publish_change(faults, store.revision)
}

#[handler]
async fn watch_objects(state: Data<&Arc<Shared>>, query: Query<WatchQuery>) -> Response {
    if let Err(response) = state.admit().await {
        return response;
    }
    let mut revision = state.revision.subscribe();
    let wait = Duration::from_millis(query.wait_ms);
    // A watch that times out returns the unchanged state.
    let _ = timeout(wait, revision.wait_for(|revision| *revision > query.after)).await;
    Json(state.store().read(&query.prefix)).into_response()
}

#[handler]
async fn list_vms(state: Data<&Arc<Shared>>) -> Response {
    if let Err(response) = state.admit().await {
        return response;
    }
    Json(state.store().vms.clone()).into_response()
}

#[cfg(test)]
mod tests;
