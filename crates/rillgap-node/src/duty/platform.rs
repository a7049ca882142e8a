//! Implements the platform duty, which sends the node's requests to the store and to the machine
//! list.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

use rillgap_core::event::Event;
use rillgap_core::store::{StoreReply, StoreRequest, StoreRequestId};
use rillgap_platform::PlatformClient;
use rillgap_ring::{RingReceiver, RingSender};
use tokio::sync::Semaphore;
use tokio::task::AbortHandle;

use crate::rings::StoreCommand;

/// Maximum number of requests to the platform in flight; further ones fail at once.
const MAX_REQUESTS: usize = 64;

/// Runs the duty until the process ends.
///
/// Each request runs in its own task, because a blocking query takes half a minute.
pub async fn run(
    endpoints: Vec<SocketAddr>,
    events: RingSender<Event>,
    commands: RingReceiver<StoreCommand>,
) {
    let mut requests = Requests {
        client: (!endpoints.is_empty()).then(|| PlatformClient::new(endpoints)),
        permits: Arc::new(Semaphore::new(MAX_REQUESTS)),
        events,
        in_flight: BTreeMap::new(),
    };
    while let Some(command) = commands.recv().await {
        match command {
            StoreCommand::Request { request, body } => requests.start(request, body),
            StoreCommand::Cancel(request) => requests.cancel(request),
        }
    }
}

/// Requests to the platform that are in flight, with the client that sends them.
struct Requests {
    client: Option<PlatformClient>,
    permits: Arc<Semaphore>,
    events: RingSender<Event>,
    in_flight: BTreeMap<StoreRequestId, AbortHandle>,
}

impl Requests {
    fn start(&mut self, request: StoreRequestId, body: StoreRequest) {
        self.in_flight.retain(|_, task| !task.is_finished());
        let permit = Arc::clone(&self.permits).try_acquire_owned().ok();
        let client = self.client.clone().filter(|_| permit.is_some());
        let events = self.events.clone();
        let task = tokio::spawn(async move {
            let reply = match client {
                Some(client) => client.execute(body).await,
                None => StoreReply::Failed,
            };
            drop(permit);
            // The ring is closed only while the process ends; the reply can be dropped.
            let _ = events.send(Event::Store { request, reply }).await;
        });
        self.in_flight.insert(request, task.abort_handle());
    }

    /// Aborts a request, which also closes its connection.
    fn cancel(&mut self, request: StoreRequestId) {
        if let Some(task) = self.in_flight.remove(&request) {
            task.abort();
        }
    }
}
