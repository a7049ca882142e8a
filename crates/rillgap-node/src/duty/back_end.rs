//! Implements the back-end duty, which sends requests to the local back end.

use rillgap_backend::client::{BackEndClient, BackEndCommand};
use rillgap_backend::settings::BackEndSettings;
use rillgap_core::event::{BackEndFailure, Event};
use rillgap_ring::{RingReceiver, RingSender};

/// Runs the duty until the process ends.
pub async fn run(
    settings: Option<BackEndSettings>,
    events: RingSender<Event>,
    commands: RingReceiver<BackEndCommand>,
) {
    match settings {
        Some(settings) => BackEndClient::new(settings, events).run(commands).await,
        None => refuse_all(events, commands).await,
    }
}

/// Fails every request on a node without a back end; the node is expected to send none.
async fn refuse_all(events: RingSender<Event>, commands: RingReceiver<BackEndCommand>) {
    while let Some(command) = commands.recv().await {
        let BackEndCommand::Call(request) = command else {
            continue;
        };
        log::error!("back end: this node has no back end");
        let events = events.clone();
        // Sending in the loop itself could deadlock: the node may be waiting for this loop.
        tokio::spawn(async move {
            let event = Event::BackEndFailed {
                attempt: request.attempt,
                failure: BackEndFailure::NotConnected,
            };
            let _ = events.send(event).await;
        });
    }
}
