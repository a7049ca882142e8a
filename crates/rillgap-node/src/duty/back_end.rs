//! Back-end duty: sends requests to the local back end.

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

/// Fails every request of a node that has no back end; the node should never send one.
async fn refuse_all(events: RingSender<Event>, commands: RingReceiver<BackEndCommand>) {
    while let Some(command) = commands.recv().await {
        let BackEndCommand::Call(request) = command else {
            continue;
        };
        log::error!("back end: this node has no back end");
        let events = events.clone();
        // The duty's loop must not wait for the node.
        tokio::spawn(async move {
            let event = Event::BackEndFailed {
                attempt: request.attempt,
                failure: BackEndFailure::NotConnected,
            };
            let _ = events.send(event).await;
        });
    }
}
