//! Connections to the back end beside the node.

mod connection;
mod probe;
mod response;

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;

use rillgap_forward::action::Exchange;
use rillgap_forward::event::{Event, ExchangeResult};
use rillgap_forward::id::{ExchangeId, ProbeId};
use rillgap_forward::incarnation::Incarnation;
use tokio::sync::{mpsc, oneshot};

use crate::hub::Hub;

/// A request for a connection, with the receiver that ends when nobody waits for it.
pub(super) struct Job {
    pub exchange: Exchange,
    pub cancelled: oneshot::Receiver<()>,
}

/// Connections to the back end; the one used last is used first.
pub struct BackEndClient {
    address: SocketAddr,
    /// Incarnation that the idle connections lead to.
    connected_incarnation: RefCell<Option<Incarnation>>,
    idle: RefCell<Vec<mpsc::UnboundedSender<Job>>>,
    in_flight: RefCell<BTreeMap<ExchangeId, oneshot::Sender<()>>>,
}

impl BackEndClient {
    /// Creates the client of the back end at an address.
    pub fn new(address: SocketAddr) -> Self {
        Self {
            address,
            connected_incarnation: RefCell::default(),
            idle: RefCell::default(),
            in_flight: RefCell::default(),
        }
    }

    /// Hands a request to the back end; its end is an event.
    pub fn start(&self, hub: &Rc<Hub>, exchange: Exchange) {
        self.close_earlier_connections(&exchange.incarnation);
        let (cancel, cancelled) = oneshot::channel();
        self.in_flight.borrow_mut().insert(exchange.id, cancel);
        self.run(
            hub,
            Job {
                exchange,
                cancelled,
            },
        );
    }

    /// Closes idle connections to an earlier run of the back end: they may have died silently with it.
    fn close_earlier_connections(&self, incarnation: &Incarnation) {
        let before = self
            .connected_incarnation
            .replace(Some(incarnation.clone()));
        if before.is_some_and(|before| before != *incarnation) {
            self.idle.borrow_mut().clear();
        }
    }

    /// Closes the connection on which a request runs.
    pub fn cancel(&self, exchange: ExchangeId) {
        self.in_flight.borrow_mut().remove(&exchange);
    }

    /// Asks the health endpoint; the answer is an event.
    pub fn probe(&self, hub: &Rc<Hub>, probe: ProbeId, path: String) {
        let hub = hub.clone();
        let address = self.address;
        tokio::task::spawn_local(async move {
            let result = probe::send(hub.dialect().headers(), address, &path).await;
            hub.dispatch(Event::ProbeEnded { probe, result });
        });
    }

    /// Runs a job on an idle connection, or on a new one.
    fn run(&self, hub: &Rc<Hub>, mut job: Job) {
        while let Some(connection) = self.take_idle() {
            match connection.send(job) {
                Ok(()) => return,
                Err(returned) => job = returned.0,
            }
        }
        let hub = hub.clone();
        let address = self.address;
        tokio::task::spawn_local(connection::open(hub, address, job));
    }

    fn take_idle(&self) -> Option<mpsc::UnboundedSender<Job>> {
        self.idle.borrow_mut().pop()
    }

    /// Takes back a connection whose request has ended.
    fn add_idle(&self, connection: mpsc::UnboundedSender<Job>) {
        self.idle.borrow_mut().push(connection);
    }

    /// Forgets connections that have closed.
    fn remove_closed(&self) {
        self.idle
            .borrow_mut()
            .retain(|connection| !connection.is_closed());
    }

    /// Reports how a request ended, unless it was cancelled.
    fn report_end(&self, hub: &Rc<Hub>, exchange: ExchangeId, result: ExchangeResult) {
        let is_in_flight = self.in_flight.borrow_mut().remove(&exchange).is_some();
        if is_in_flight {
            hub.dispatch(Event::ExchangeEnded { exchange, result });
        }
    }
}
