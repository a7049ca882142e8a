//! Client of the node's back end: a pool of connections, and health probes.

mod carried_requests;
mod connection;
mod probe;
mod response;

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;

use rillgap_forward::action::Exchange;
use rillgap_forward::back_end_notice::{BackEndNotice, LoadNotice};
use rillgap_forward::event::{Event, ExchangeResult, ProbeResult};
use rillgap_forward::id::{ExchangeId, ProbeId};
use rillgap_forward::incarnation::Incarnation;
use tokio::sync::{mpsc, oneshot};

use crate::hub::Hub;
use carried_requests::CarriedRequests;

/// A request to run on a connection; `cancelled` completes when the request is cancelled.
pub(super) struct Job {
    pub exchange: Exchange,
    pub cancelled: oneshot::Receiver<()>,
}

/// A connection that waits for its next request.
struct IdleConnection {
    jobs: mpsc::UnboundedSender<Job>,
    carried: Rc<RefCell<CarriedRequests>>,
}

/// Pool of connections to the back end; the most recently used idle connection is used first.
pub struct BackEndClient {
    address: SocketAddr,
    /// Incarnation of the back end to which the idle connections were opened; `None` before the
    /// first request.
    connected_incarnation: RefCell<Option<Incarnation>>,
    idle: RefCell<Vec<IdleConnection>>,
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

    /// Sends a request to the back end; [`Event::ExchangeEnded`] reports its end unless it is
    /// cancelled.
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

    /// Closes idle connections to an earlier incarnation of the back end, which may have ended
    /// without closing them.
    fn close_earlier_connections(&self, incarnation: &Incarnation) {
        let before = self
            .connected_incarnation
            .replace(Some(incarnation.clone()));
        if before.is_some_and(|before| before != *incarnation) {
            self.idle.borrow_mut().clear();
        }
    }

    /// Cancels a request, which closes its connection.
    pub fn cancel(&self, exchange: ExchangeId) {
        self.in_flight.borrow_mut().remove(&exchange);
    }

    /// Probes the health endpoint; [`Event::ProbeEnded`] reports the result.
    pub fn probe(&self, hub: &Rc<Hub>, probe: ProbeId, path: String) {
        let hub = hub.clone();
        let address = self.address;
        tokio::task::spawn_local(async move {
            let answer = probe::send(hub.dialect().as_ref(), address, &path).await;
            let result = answer.result;
            let stated = match &result {
                ProbeResult::Healthy { instance } => Some(instance.clone()),
                _ => None,
            };
            hub.dispatch(Event::ProbeEnded { probe, result });
            let notice = answer.load;
            if let Some(instance) = stated.filter(|_| notice != LoadNotice::Absent) {
                hub.dispatch(Event::HealthNotice { instance, notice });
            }
        });
    }

    /// Runs a job on an idle connection that has not carried its request yet, or on a new one.
    fn run(&self, hub: &Rc<Hub>, mut job: Job) {
        while let Some(connection) = self.take_idle(&job.exchange.request.request_id) {
            match connection.jobs.send(job) {
                Ok(()) => return,
                Err(returned) => job = returned.0,
            }
        }
        let hub = hub.clone();
        let address = self.address;
        tokio::task::spawn_local(connection::open(hub, address, job));
    }

    /// Takes the most recently used connection that has not carried a request.
    fn take_idle(&self, request_id: &str) -> Option<IdleConnection> {
        let mut idle = self.idle.borrow_mut();
        let position = idle
            .iter()
            .rposition(|connection| !connection.carried.borrow().contains(request_id))?;
        Some(idle.remove(position))
    }

    /// Adds a connection whose request has ended to the idle connections.
    fn add_idle(&self, connection: IdleConnection) {
        self.idle.borrow_mut().push(connection);
    }

    /// Removes closed connections from the idle connections.
    fn remove_closed(&self) {
        self.idle
            .borrow_mut()
            .retain(|connection| !connection.jobs.is_closed());
    }

    /// Reports the notices in the head of the answer to a request, unless it was cancelled.
    fn report_notice(&self, hub: &Rc<Hub>, exchange: ExchangeId, notice: BackEndNotice) {
        let is_in_flight = self.in_flight.borrow().contains_key(&exchange);
        if is_in_flight {
            hub.dispatch(Event::BackEndNotice { exchange, notice });
        }
    }

    /// Reports that the answer to a request is overdue, unless the request was cancelled.
    fn report_overdue(&self, hub: &Rc<Hub>, exchange: ExchangeId) {
        let is_in_flight = self.in_flight.borrow().contains_key(&exchange);
        if is_in_flight {
            hub.dispatch(Event::AnswerOverdue(exchange));
        }
    }

    /// Reports how a request ended, unless it was cancelled.
    fn report_end(&self, hub: &Rc<Hub>, exchange: ExchangeId, result: ExchangeResult) {
        let is_in_flight = self.in_flight.borrow_mut().remove(&exchange).is_some();
        if is_in_flight {
            hub.dispatch(Event::ExchangeEnded { exchange, result });
        }
    }
}
