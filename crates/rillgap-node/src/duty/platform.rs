//! Platform duty: sends the node's requests to the store and to the machine list.

use std::net::SocketAddr;
use std::sync::Arc;

use rillgap_core::event::Event;
use rillgap_core::store::StoreReply;
use rillgap_platform::PlatformClient;
use rillgap_ring::{RingReceiver, RingSender};
use tokio::sync::Semaphore;

use crate::rings::StoreCommand;

/// Most requests to the platform at a time; further ones fail at once.
const MAX_REQUESTS: usize = 64;

/// Runs the duty until the process ends.
///
/// Every request runs as a task of its own, since a blocking query takes half a minute.
pub async fn run(
    endpoints: Vec<SocketAddr>,
    events: RingSender<Event>,
    commands: RingReceiver<StoreCommand>,
) {
    let client = (!endpoints.is_empty()).then(|| PlatformClient::new(endpoints));
    let permits = Arc::new(Semaphore::new(MAX_REQUESTS));
    while let Some(command) = commands.recv().await {
        let permit = Arc::clone(&permits).try_acquire_owned().ok();
        let client = client.clone().filter(|_| permit.is_some());
        let events = events.clone();
        tokio::spawn(async move {
            let reply = match client {
                Some(client) => client.execute(command.body).await,
                None => StoreReply::Failed,
            };
            drop(permit);
            let event = Event::Store {
                request: command.request,
                reply,
            };
            // A closed ring means that the process ends.
            let _ = events.send(event).await;
        });
    }
}
