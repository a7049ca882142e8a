//! Accepts connections of callers, and of the back end for calls of its own.

mod connection;
mod reader;

use std::rc::Rc;
use std::time::Duration;

use rillgap_forward::buffer_account::HolderKind;
use tokio::net::TcpListener;
use tokio::sync::mpsc::unbounded_channel;

use crate::ending::Ending;
use crate::hub::Hub;
use connection::CallerConnection;

/// Maximum number of open connections; further ones are closed at once.
const MAX_CONNECTIONS: usize = 3_000;

/// Pause after a connection could not be accepted.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Accepts connections until the node ends them.
pub async fn accept(hub: Rc<Hub>, listener: TcpListener) {
    let mut ending = hub.ending();
    let callers = Ending::Callers;
    while let Some(stream) = ending.accept_until(callers, &listener, ACCEPT_PAUSE).await {
        if hub.caller_count() >= MAX_CONNECTIONS {
            continue;
        }
        let hub = hub.clone();
        tokio::task::spawn_local(async move {
            let (sender, answers) = unbounded_channel();
            let unread = Rc::new(hub.buffers().open(HolderKind::UnreadAnswers));
            let id = hub.add_caller(sender, unread.clone());
            let connection = CallerConnection::new(hub.clone(), id, stream, unread);
            connection.run(answers).await;
            hub.remove_caller(id);
        });
    }
}
