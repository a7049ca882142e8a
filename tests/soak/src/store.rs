//! Fake platform store: objects with revisions, lists and watches. Each node has its own endpoint,
//! into which faults can be injected independently.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use serde_json::{Value, json};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

use crate::wire::{Connection, Request, encode_response};

/// Delay of each response.
const ANSWER_DELAY: Duration = Duration::from_millis(4);
/// Maximum time for which a watch waits for changes.
const MAX_WATCH_WAIT: Duration = Duration::from_secs(30);

/// Fault of a store endpoint.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum StoreFault {
    /// Calls are answered normally.
    #[default]
    None,
    /// All calls are refused with 503.
    Busy,
    /// All calls are refused with 429.
    Throttle,
    /// Calls are performed, but not answered.
    LoseAnswers,
    /// Responses are delayed by this time.
    Slow(Duration),
}

#[derive(Clone, Debug)]
struct Object {
    name: String,
    spec: Value,
    revision: u64,
}

impl Object {
    fn to_json(&self) -> Value {
        json!({
            "metadata": {"name": self.name, "revision": self.revision},
            "spec": self.spec,
        })
    }
}

#[derive(Clone, Debug)]
struct Change {
    revision: u64,
    kind: String,
    object: Object,
    gone: bool,
}

/// Maximum number of backups that are kept.
const MAX_BACKUPS: usize = 20;
/// Time between two backups.
const BACKUP_INTERVAL: Duration = Duration::from_millis(500);

#[derive(Clone, Debug, Default)]
struct Contents {
    /// Increases by one each time the store is restored from a backup.
    epoch: u64,
    /// Revision of the last change.
    revision: u64,
    /// Revision up to which the history has been discarded.
    compacted_revision: u64,
    kinds: BTreeMap<String, BTreeMap<String, Object>>,
    history: Vec<Change>,
}

/// The fake store.
#[derive(Debug)]
pub struct Store {
    contents: Mutex<Contents>,
    revision: watch::Sender<u64>,
    /// Backups of the contents, newest last.
    backups: Mutex<Vec<Contents>>,
    faults: Vec<watch::Sender<StoreFault>>,
}

impl Store {
    /// Creates an empty store with this number of endpoints.
    pub fn new(endpoints: usize) -> Arc<Self> {
        let faults = (0..endpoints).map(|_| watch::Sender::new(StoreFault::None));
        Arc::new(Self {
            contents: Mutex::default(),
            revision: watch::Sender::new(0),
            backups: Mutex::default(),
            faults: faults.collect(),
        })
    }

    /// Accepts calls to an endpoint at `address`.
    ///
    /// # Errors
    ///
    /// Fails if the address cannot be bound.
    pub async fn listen(self: &Arc<Self>, endpoint: usize, address: SocketAddr) -> io::Result<()> {
        let listener = TcpListener::bind(address).await?;
        let store = self.clone();
        tokio::spawn(async move {
            loop {
                if let Ok((stream, _)) = listener.accept().await {
                    tokio::spawn(store.clone().serve(endpoint, stream));
                }
            }
        });
        Ok(())
    }

    /// Sets the fault of an endpoint.
    pub fn set_fault(&self, endpoint: usize, fault: StoreFault) {
        self.faults[endpoint].send_replace(fault);
    }

    /// Writes an object on behalf of the operator.
    pub fn put(&self, kind: &str, name: &str, spec: Value) {
        let mut contents = self.lock();
        contents.write(kind, name, spec);
        self.revision.send_replace(contents.revision);
    }

    /// Discards the whole history and wakes up waiting watches, which then fail with 410.
    pub fn compact(&self) {
        let mut contents = self.lock();
        contents.revision += 1;
        contents.compacted_revision = contents.revision;
        contents.history.clear();
        self.revision.send_replace(contents.revision);
    }

    /// Starts a task that takes backups periodically.
    pub fn start_backups(self: &Arc<Self>) {
        let store = self.clone();
        tokio::spawn(async move {
            loop {
                store.take_backup();
                tokio::time::sleep(BACKUP_INTERVAL).await;
            }
        });
    }

    fn take_backup(&self) {
        let backup = self.lock().clone();
        let mut backups = self.backups();
        if backups.len() >= MAX_BACKUPS {
            backups.remove(0);
        }
        backups.push(backup);
    }

    /// Restores a backup of about this age, or the oldest one if all are younger: later writes are
    /// lost and revisions are reused. Waiting watches after a lost revision fail with 410; others
    /// see no change until a later revision is written.
    pub fn restore_backup(&self, age: Duration) {
        let back = usize::try_from(age.as_millis() / BACKUP_INTERVAL.as_millis()).unwrap_or(0);
        let backups = self.backups();
        let Some(backup) = backups.iter().rev().nth(back).or(backups.first()) else {
            return;
        };
        let mut contents = self.lock();
        let epoch = contents.epoch + 1;
        *contents = backup.clone();
        contents.epoch = epoch;
        self.revision.send_replace(contents.revision);
    }

    fn backups(&self) -> std::sync::MutexGuard<'_, Vec<Contents>> {
        self.backups.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Contents> {
        self.contents.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn serve(self: Arc<Self>, endpoint: usize, stream: TcpStream) {
        let mut connection = Connection::new(stream);
        while let Ok(Some(request)) = connection.read_request().await {
            let fault = *self.faults[endpoint].borrow();
            tokio::time::sleep(ANSWER_DELAY).await;
            let (status, body) = match fault {
                StoreFault::Busy => (503, json!({"error": "busy"})),
                StoreFault::Throttle => (429, json!({"error": "too many calls"})),
                _ => self.answer(&request).await,
            };
            if let StoreFault::Slow(delay) = fault {
                tokio::time::sleep(delay).await;
            }
            if *self.faults[endpoint].borrow() == StoreFault::LoseAnswers {
                // The connection stays open without any further response.
                return connection.wait_closed().await;
            }
            let fields = [
                ("Content-Type", "application/json".to_owned()),
                ("Store-Era", self.lock().epoch.to_string()),
            ];
            let bytes = encode_response(status, &fields, body.to_string().as_bytes());
            if connection.write(&bytes).await.is_err() {
                return;
            }
        }
    }

    async fn answer(&self, request: &Request) -> (u16, Value) {
        let (path, query) = request
            .target
            .split_once('?')
            .unwrap_or((&request.target, ""));
        let Some(path) = path.strip_prefix("/-/objects/") else {
            return (404, json!({"error": "no such call"}));
        };
        let (kind, name) = match path.split_once('/') {
            Some((kind, name)) => (kind, Some(name)),
            None => (path, None),
        };
        let parameter = |wanted: &str| {
            let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            pairs
                .clone()
                .find(|(name, _)| *name == wanted)
                .map(|(_, value)| value)
        };
        let number = |wanted| parameter(wanted).and_then(|text| text.parse::<u64>().ok());
        match (request.method.as_str(), name) {
            ("GET", None) => match number("watch") {
                Some(after) => {
                    let wait = Duration::from_millis(number("wait-ms").unwrap_or(0));
                    self.watch(kind, after, wait.min(MAX_WATCH_WAIT)).await
                }
                None => self.lock().list(kind),
            },
            ("GET", Some(name)) => self.lock().read(kind, name),
            ("POST", None) | ("PUT" | "DELETE", Some(_)) => self.change(request, kind, name),
            _ => (405, json!({"error": "no such call"})),
        }
    }

    fn change(&self, request: &Request, kind: &str, name: Option<&str>) -> (u16, Value) {
        let mut contents = self.lock();
        let result = match (request.method.as_str(), name) {
            ("DELETE", Some(name)) => contents.remove(kind, name),
            (method, name) => {
                let Ok(body) = serde_json::from_slice::<Value>(&request.body) else {
                    return (400, json!({"error": "not JSON"}));
                };
                let name_in_body = body["metadata"]["name"].as_str().unwrap_or_default();
                let name = name.unwrap_or(name_in_body).to_owned();
                contents.put(kind, &name, &body, method == "POST")
            }
        };
        self.revision.send_replace(contents.revision);
        result
    }

    async fn watch(&self, kind: &str, after: u64, wait: Duration) -> (u16, Value) {
        let mut revision = self.revision.subscribe();
        let deadline = tokio::time::Instant::now() + wait;
        loop {
            let answer = self.lock().events(kind, after);
            match answer {
                Ok((events, at)) if !events.is_empty() => {
                    return (200, json!({"events": events, "at": at}));
                }
                Ok(_) => {}
                Err(()) => return (410, json!({"error": "history is gone"})),
            }
            let changed = tokio::time::timeout_at(deadline, revision.changed()).await;
            if changed.is_err() {
                let at = self.lock().revision;
                return (200, json!({"events": [], "at": at}));
            }
        }
    }
}

impl Contents {
    fn write(&mut self, kind: &str, name: &str, spec: Value) -> Object {
        self.revision += 1;
        let object = Object {
            name: name.to_owned(),
            spec,
            revision: self.revision,
        };
        let objects = self.kinds.entry(kind.to_owned()).or_default();
        objects.insert(name.to_owned(), object.clone());
        self.record(kind, object.clone(), false);
        object
    }

    fn record(&mut self, kind: &str, object: Object, gone: bool) {
        self.history.push(Change {
            revision: self.revision,
            kind: kind.to_owned(),
            object,
            gone,
        });
    }

    fn put(&mut self, kind: &str, name: &str, body: &Value, is_new: bool) -> (u16, Value) {
        let present = self.kinds.get(kind).and_then(|objects| objects.get(name));
        if let Some(present) = present {
            let expected = body["metadata"]["revision"].as_u64();
            let differs = expected.is_some_and(|revision| revision != present.revision);
            if is_new || differs {
                return (409, present.to_json());
            }
            if present.spec == body["spec"] {
                return (200, present.to_json());
            }
        } else if !is_new {
            return (404, json!({"error": "no such object"}));
        }
        let object = self.write(kind, name, body["spec"].clone());
        (if is_new { 201 } else { 200 }, object.to_json())
    }

    fn remove(&mut self, kind: &str, name: &str) -> (u16, Value) {
        let objects = self.kinds.entry(kind.to_owned()).or_default();
        let Some(object) = objects.remove(name) else {
            return (404, json!({"error": "no such object"}));
        };
        self.revision += 1;
        self.record(kind, object, true);
        (200, json!({}))
    }

    fn read(&self, kind: &str, name: &str) -> (u16, Value) {
        let object = self.kinds.get(kind).and_then(|objects| objects.get(name));
        match object {
            Some(object) => (200, object.to_json()),
            None => (404, json!({"error": "no such object"})),
        }
    }

    fn list(&self, kind: &str) -> (u16, Value) {
        let objects = self.kinds.get(kind);
        let items: Vec<Value> = objects
            .into_iter()
            .flat_map(|objects| objects.values())
            .map(Object::to_json)
            .collect();
        let body = json!({"items": items, "more": false, "at": self.revision});
        (200, body)
    }

    /// Returns the changes after a revision and the current revision. Fails if these changes have
    /// been discarded, or if the revision is newer than the store's.
    fn events(&self, kind: &str, after: u64) -> Result<(Vec<Value>, u64), ()> {
        if after < self.compacted_revision || after > self.revision {
            return Err(());
        }
        let events = self
            .history
            .iter()
            .filter(|change| change.revision > after && change.kind == kind)
            .map(|change| json!({"object": change.object.to_json(), "gone": change.gone}))
            .collect();
        Ok((events, self.revision))
    }
}
