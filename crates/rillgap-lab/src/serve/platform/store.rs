//! Objects with versions, conditional puts, and sessions that hold leases.

use std::collections::BTreeMap;
use std::time::Duration;

use tokio::time::Instant;
use uuid::Uuid;

/// Index that is told of an object that never existed.
pub(super) const FIRST_INDEX: u64 = 1;

/// An object with its versions.
#[derive(Clone, Debug)]
pub(super) struct StoredObject {
    pub(super) value: Vec<u8>,
    pub(super) create_index: u64,
    pub(super) modify_index: u64,
    pub(super) session: Option<Uuid>,
}

/// On what a put depends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum PutCondition {
    /// Nothing.
    Always,
    /// The modify index is still this one; zero if the object must not exist.
    Index(u64),
    /// The object's lease is free or held by this session, which then holds it.
    Acquire(Uuid),
    /// The object's lease is held by this session, which then gives it up.
    Release(Uuid),
}

#[derive(Clone, Copy, Debug)]
struct Session {
    time_to_live: Duration,
    lapses_at: Instant,
}

/// The objects and sessions.
#[derive(Debug)]
pub(super) struct ObjectStore {
    index: u64,
    objects: BTreeMap<String, StoredObject>,
    sessions: BTreeMap<Uuid, Session>,
}

impl Default for ObjectStore {
    fn default() -> Self {
        Self {
            index: FIRST_INDEX,
            objects: BTreeMap::new(),
            sessions: BTreeMap::new(),
        }
    }
}

impl ObjectStore {
    /// Returns an object.
    pub(super) fn get(&self, key: &str) -> Option<&StoredObject> {
        self.objects.get(key)
    }

    /// Returns the index on which a blocking query for a key waits.
    pub(super) fn wait_index(&self, key: &str) -> u64 {
        self.get(key)
            .map_or(FIRST_INDEX, |object| object.modify_index)
    }

    /// Writes an object if the condition holds; returns whether it did.
    pub(super) fn put(&mut self, key: &str, value: Vec<u8>, condition: PutCondition) -> bool {
        if !self.allows(key, condition) {
            return false;
        }
        self.index += 1;
        let index = self.index;
        let object = self
            .objects
            .entry(key.to_owned())
            .or_insert_with(|| StoredObject {
                value: Vec::new(),
                create_index: index,
                modify_index: index,
                session: None,
            });
        object.value = value;
        object.modify_index = index;
        match condition {
            PutCondition::Acquire(session) => object.session = Some(session),
            PutCondition::Release(_) => object.session = None,
            PutCondition::Always | PutCondition::Index(_) => {}
        }
        true
    }

    fn allows(&self, key: &str, condition: PutCondition) -> bool {
        let object = self.get(key);
        let holder = object.and_then(|object| object.session);
        match condition {
            PutCondition::Always => true,
            PutCondition::Index(index) => object.map_or(0, |object| object.modify_index) == index,
            PutCondition::Acquire(session) => {
                let free = holder.is_none_or(|holder| holder == session);
                free && self.sessions.contains_key(&session)
            }
            PutCondition::Release(session) => holder == Some(session),
        }
    }

    /// Creates a session that lapses unless it is renewed within `time_to_live`.
    pub(super) fn create_session(&mut self, now: Instant, time_to_live: Duration) -> Uuid {
        let id = Uuid::new_v4();
        let session = Session {
            time_to_live,
            lapses_at: now + time_to_live,
        };
        self.sessions.insert(id, session);
        id
    }

    /// Renews a session; returns whether it still existed.
    pub(super) fn renew_session(&mut self, now: Instant, id: Uuid) -> bool {
        match self.sessions.get_mut(&id) {
            Some(session) => {
                session.lapses_at = now + session.time_to_live;
                true
            }
            None => false,
        }
    }

    /// Ends a session and frees the leases that it held.
    pub(super) fn end_session(&mut self, id: Uuid) {
        self.sessions.remove(&id);
        for object in self.objects.values_mut() {
            if object.session == Some(id) {
                self.index += 1;
                object.session = None;
                object.modify_index = self.index;
            }
        }
    }

    /// Ends the sessions that were not renewed in time; returns whether there were any.
    pub(super) fn end_lapsed_sessions(&mut self, now: Instant) -> bool {
        let lapsed: Vec<Uuid> = self
            .sessions
            .iter()
            .filter(|(_, session)| session.lapses_at <= now)
            .map(|(id, _)| *id)
            .collect();
        for id in &lapsed {
            self.end_session(*id);
        }
        !lapsed.is_empty()
    }
}
