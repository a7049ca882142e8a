//! Executes the node's commands for the local back end.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use http::HeaderValue;
use rillgap_core::action::BackEndRequest;
use rillgap_core::event::Event;
use rillgap_core::id::AttemptId;
use rillgap_ring::{RingReceiver, RingSender};
use tokio::task::AbortHandle;

use crate::announcement::Announcement;
use crate::attempt::{Attempt, AttemptContext};
use crate::credit::Credit;
use crate::health;
use crate::pool::ConnectionPool;
use crate::settings::BackEndSettings;

/// A command from the node to its local back end's client.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum BackEndCommand {
    /// Sends a request.
    Call(Box<BackEndRequest>),
    /// Cancels a request by closing its connection.
    Cancel {
        /// Attempt to cancel.
        attempt: AttemptId,
    },
    /// Grants credit to read more of an answer.
    Read {
        /// Attempt whose answer may be read.
        attempt: AttemptId,
        /// Number of bytes added to the credit.
        bytes: u32,
    },
}

/// HTTP client of the local back end.
#[derive(Debug)]
pub struct BackEndClient {
    settings: BackEndSettings,
    context: AttemptContext,
    running: RunningAttempts,
}

#[derive(Debug)]
struct RunningAttempt {
    credit: Arc<Credit>,
    task: Option<AbortHandle>,
}

/// Running attempts, shared with their tasks; each task removes its entry when it ends.
#[derive(Clone, Debug, Default)]
struct RunningAttempts {
    attempts: Arc<Mutex<BTreeMap<AttemptId, RunningAttempt>>>,
}

impl BackEndClient {
    /// Creates a client that sends answers and failures to the node through `events`.
    pub fn new(settings: BackEndSettings, events: RingSender<Event>) -> Self {
        let pool = ConnectionPool::new(
            settings.address,
            settings.connections,
            settings.connect_timeout,
        );
        let host = HeaderValue::from_str(&settings.address.to_string())
            .unwrap_or(HeaderValue::from_static("back-end"));
        let context = AttemptContext {
            pool,
            announcement: Announcement::new(events.clone()),
            events,
            host,
        };
        Self {
            settings,
            context,
            running: RunningAttempts::default(),
        }
    }

    /// Executes the commands received from a ring until all its senders are dropped.
    ///
    /// Never waits for the back end: each request runs in its own task.
    pub async fn run(self, commands: RingReceiver<BackEndCommand>) {
        let health = tokio::spawn(health::watch(
            self.settings.clone(),
            self.context.host.clone(),
            self.context.announcement.clone(),
        ));
        while let Some(command) = commands.recv().await {
            self.execute(command);
        }
        health.abort();
    }

    fn execute(&self, command: BackEndCommand) {
        match command {
            BackEndCommand::Call(request) => self.call(*request),
            BackEndCommand::Cancel { attempt } => self.running.cancel(attempt),
            BackEndCommand::Read { attempt, bytes } => self.running.add_credit(attempt, bytes),
        }
    }

    fn call(&self, request: BackEndRequest) {
        let id = request.attempt;
        let credit = Arc::new(Credit::default());
        self.running.begin(id, Arc::clone(&credit));
        let attempt = Attempt::new(id, credit, self.context.clone());
        let running = self.running.clone();
        let task = tokio::spawn(async move {
            attempt.run(request).await;
            running.end(id);
        });
        self.running.set_task(id, task.abort_handle());
    }
}

impl RunningAttempts {
    fn begin(&self, id: AttemptId, credit: Arc<Credit>) {
        let attempt = RunningAttempt { credit, task: None };
        self.lock().insert(id, attempt);
    }

    fn set_task(&self, id: AttemptId, task: AbortHandle) {
        if let Some(attempt) = self.lock().get_mut(&id) {
            attempt.task = Some(task);
        }
    }

    fn end(&self, id: AttemptId) {
        self.lock().remove(&id);
    }

    fn cancel(&self, id: AttemptId) {
        if let Some(task) = self.lock().remove(&id).and_then(|attempt| attempt.task) {
            task.abort();
        }
    }

    fn add_credit(&self, id: AttemptId, bytes: u32) {
        if let Some(attempt) = self.lock().get(&id) {
            attempt.credit.add(bytes);
        }
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<AttemptId, RunningAttempt>> {
        self.attempts.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
