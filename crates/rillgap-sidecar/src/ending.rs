//! Tells the tasks of connections when a stopping node ends them.

use std::time::Duration;

use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

/// Which connections a stopping node ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Ending {
    /// None: the node serves.
    None,
    /// Those of callers.
    Callers,
    /// Those of callers, which have ended, and the links to peers.
    Links,
}

/// Tells a task when the node ends its connections.
#[derive(Clone, Debug)]
pub(crate) struct EndingSignal(watch::Receiver<Ending>);

impl EndingSignal {
    /// Creates a signal for the connections whose end `ending` tells.
    pub const fn new(ending: watch::Receiver<Ending>) -> Self {
        Self(ending)
    }

    /// Waits until the node ends these connections.
    pub async fn reached(&mut self, ending: Ending) {
        // The sender lives as long as the hub, so that this cannot fail before the process ends.
        let _ = self.0.wait_for(|current| *current >= ending).await;
    }

    /// Accepts a connection, again after a pause if that fails; `None` once the node ends these
    /// connections.
    pub async fn accept_until(
        &mut self,
        ending: Ending,
        listener: &TcpListener,
        pause: Duration,
    ) -> Option<TcpStream> {
        loop {
            let accepted = tokio::select! {
                biased;
                () = self.reached(ending) => return None,
                accepted = listener.accept() => accepted,
            };
            if let Ok((stream, _)) = accepted {
                return Some(stream);
            }
            tokio::time::sleep(pause).await;
        }
    }
}
