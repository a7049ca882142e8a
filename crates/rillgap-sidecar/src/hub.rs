//! Connects the node's state machine to the tasks that do its I/O.
//!
//! Tasks pass events to [`Hub::dispatch`], which runs the state machine and passes each action to
//! the queue of the task that executes it. Dispatching an event never waits.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, VecDeque};
use std::rc::Rc;
use std::sync::atomic::Ordering;

use bytes::BytesMut;
use rillgap_clock::SteadyClock;
use rillgap_core::time::Instant;
use rillgap_forward::action::{Action, Actions, CallerAnswer};
use rillgap_forward::back_end_notice::RequestRate;
use rillgap_forward::buffer_account::BufferLimits;
use rillgap_forward::event::Event;
use rillgap_forward::id::{AnnouncementId, ConnectionId, LinkId, PipelineIndex};
use rillgap_forward::log_record::LogRecord;
use rillgap_forward::message::LinkMessage;
use rillgap_forward::node::Node;
use rillgap_forward::settings::ForwardSettings;
use tokio::sync::Notify;
use tokio::sync::mpsc::UnboundedSender;
use tokio::sync::{oneshot, watch};

use crate::back_end::BackEndClient;
use crate::buffers::{Buffers, Held};
use crate::dialect::Dialect;
use crate::ending::{Ending, EndingSignal};
use crate::link::{self, Frame, FrameDecoder, FrameEncoder, FrameError};
use crate::logging::RequestLog;
use crate::metrics::Metrics;
use crate::store::Store;

/// An answer on a pipelined connection.
#[derive(Debug)]
pub struct PipelinedAnswer {
    /// Index of the request on the connection.
    pub pipeline_index: PipelineIndex,
    /// The answer.
    pub answer: CallerAnswer,
    /// Until when the caller waits for it; `None` for a request that was not accepted.
    pub wanted_until: Option<Instant>,
}

/// Queue of the answers for a caller's connection.
struct CallerQueue {
    answers: UnboundedSender<PipelinedAnswer>,
    /// Counts the answers that the caller has not read.
    unread: Rc<Held>,
}

/// Queue of the messages to send on a link.
struct LinkQueue {
    messages: UnboundedSender<LinkMessage>,
    /// Counts the messages that the peer has not read.
    held: Rc<Held>,
}

/// Connects the node's state machine to the tasks that do its I/O.
pub struct Hub {
    clock: SteadyClock,
    node: RefCell<Node>,
    events: RefCell<VecDeque<Event>>,
    is_running: Cell<bool>,
    /// Buffer for the actions of one event, reused for the next event.
    spare_actions: Cell<Actions>,
    wake_at: Cell<Instant>,
    wake_changed: Notify,
    exit: Notify,
    ending: watch::Sender<Ending>,
    next_connection: Cell<u64>,
    next_announcement: Cell<u64>,
    announcements: RefCell<BTreeMap<AnnouncementId, oneshot::Sender<bool>>>,
    callers: RefCell<BTreeMap<ConnectionId, CallerQueue>>,
    buffers: Rc<Buffers>,
    /// Bytes of answers that callers' connections have not accepted yet.
    unsent_answer_bytes: Cell<usize>,
    links: RefCell<BTreeMap<LinkId, LinkQueue>>,
    /// Codec of the links. All links share its buffers, because a node has many links.
    encoder: RefCell<FrameEncoder>,
    decoder: RefCell<FrameDecoder>,
    back_end: BackEndClient,
    dialect: Rc<dyn Dialect>,
    store: Rc<dyn Store>,
    log: RefCell<RequestLog>,
    metrics: Metrics,
}

impl Hub {
    /// Creates the hub of a new node.
    pub fn new(
        settings: ForwardSettings,
        dialect: Rc<dyn Dialect>,
        store: Rc<dyn Store>,
        log: RequestLog,
        metrics: Metrics,
        buffer_limits: BufferLimits,
    ) -> Rc<Self> {
        let back_end = BackEndClient::new(settings.back_end_address);
        let now = Instant::from_micros(0);
        Rc::new(Self {
            clock: SteadyClock::start(),
            node: RefCell::new(Node::new(now, settings)),
            events: RefCell::default(),
            is_running: Cell::new(false),
            spare_actions: Cell::default(),
            wake_at: Cell::new(now),
            wake_changed: Notify::new(),
            exit: Notify::new(),
            ending: watch::Sender::new(Ending::None),
            next_connection: Cell::new(0),
            next_announcement: Cell::new(0),
            announcements: RefCell::default(),
            callers: RefCell::default(),
            buffers: Buffers::new(buffer_limits),
            unsent_answer_bytes: Cell::new(0),
            links: RefCell::default(),
            encoder: RefCell::default(),
            decoder: RefCell::default(),
            back_end,
            dialect,
            store,
            log: RefCell::new(log),
            metrics,
        })
    }

    /// Returns the current time of the state machine.
    pub fn now(&self) -> Instant {
        self.clock.now()
    }

    /// Converts a time of the state machine to the runtime's time, for timers.
    pub fn deadline(&self, at: Instant) -> tokio::time::Instant {
        self.clock.deadline(at)
    }

    /// Waits until a time of the state machine; never returns if there is none.
    pub async fn sleep_until(&self, at: Option<Instant>) {
        match at {
            Some(at) => tokio::time::sleep_until(self.deadline(at)).await,
            None => std::future::pending().await,
        }
    }

    /// Returns the names and formats that the platform uses over HTTP.
    pub fn dialect(&self) -> &Rc<dyn Dialect> {
        &self.dialect
    }

    /// Returns the metrics.
    pub const fn metrics(&self) -> &Metrics {
        &self.metrics
    }

    /// Returns the connections to the back end.
    pub const fn back_end(&self) -> &BackEndClient {
        &self.back_end
    }

    /// Reads the state of the node.
    pub fn with_node<T>(&self, read: impl FnOnce(&Node) -> T) -> T {
        read(&self.node.borrow())
    }

    /// Returns the account of the bytes that are held for callers, back ends and peers.
    pub const fn buffers(&self) -> &Rc<Buffers> {
        &self.buffers
    }

    /// Registers a connection of a caller whose unread answers `unread` counts.
    pub fn add_caller(
        &self,
        answers: UnboundedSender<PipelinedAnswer>,
        unread: Rc<Held>,
    ) -> ConnectionId {
        let id = ConnectionId(self.next_connection.get() + 1);
        self.next_connection.set(id.0);
        let queue = CallerQueue { answers, unread };
        self.callers.borrow_mut().insert(id, queue);
        id
    }

    /// Ends the connection of the caller that reads most slowly, to make room for others.
    pub(crate) fn disconnect_slowest_reader(&self) {
        let Some(slowest) = self.buffers.slowest_reader(self.now()) else {
            return;
        };
        let mut callers = self.callers.borrow_mut();
        let connection = callers
            .iter()
            .find(|(_, queue)| queue.unread.id() == slowest)
            .map(|(connection, _)| *connection);
        // The task of the connection ends when its queue is dropped.
        if let Some(connection) = connection.filter(|id| callers.remove(id).is_some()) {
            log::warn!(connection = connection.0, held = self.buffers.held() as u64;
                "caller: disconnected, reads too slowly for the buffers of the node");
        }
    }

    /// Removes a connection of a caller and reports its end to the node.
    pub fn remove_caller(self: &Rc<Self>, id: ConnectionId) {
        self.callers.borrow_mut().remove(&id);
        self.dispatch(Event::CallerDisconnected(id));
        self.advance_ending();
    }

    /// Returns the number of connections of callers.
    pub fn caller_count(&self) -> usize {
        self.callers.borrow().len()
    }

    /// Counts bytes of answers that wait to be sent to a caller.
    pub(crate) fn add_unsent_answer_bytes(&self, length: usize) {
        let unsent = self.unsent_answer_bytes.get() + length;
        self.unsent_answer_bytes.set(unsent);
    }

    /// Counts bytes of answers that were sent or dropped with their connection.
    pub(crate) fn remove_unsent_answer_bytes(&self, length: usize) {
        let unsent = self.unsent_answer_bytes.get().saturating_sub(length);
        self.unsent_answer_bytes.set(unsent);
    }

    /// Returns the number of bytes of answers that wait to be sent to callers.
    pub fn unsent_answer_bytes(&self) -> usize {
        self.unsent_answer_bytes.get()
    }

    /// Returns a number for a new link.
    pub fn new_link(&self) -> LinkId {
        self.node.borrow_mut().new_link()
    }

    /// Registers the queue of messages to send on a link, which `held` counts.
    pub fn add_link(&self, link: LinkId, messages: UnboundedSender<LinkMessage>, held: Rc<Held>) {
        let queue = LinkQueue { messages, held };
        self.links.borrow_mut().insert(link, queue);
    }

    /// Removes a link and reports its end to the node.
    pub fn remove_link(self: &Rc<Self>, link: LinkId) {
        self.links.borrow_mut().remove(&link);
        self.dispatch(Event::LinkClosed(link));
        self.advance_ending();
    }

    /// Appends a message for a link to `out` as a frame, and counts it.
    pub(crate) fn encode_frame(
        &self,
        message: &LinkMessage,
        out: &mut BytesMut,
    ) -> Result<(), FrameError> {
        let before = out.len();
        self.encoder.borrow_mut().encode(message, out)?;
        self.metrics
            .count_message(message.kind(), out.len() - before);
        Ok(())
    }

    /// Decodes the next frame of a link from `input`; `None` if it has not arrived completely.
    pub(crate) fn decode_frame(&self, input: &mut BytesMut) -> Result<Option<Frame>, FrameError> {
        self.decoder.borrow_mut().decode(input)
    }

    /// Passes an announcement of the back end to the node; the receiver gets `true` if it is
    /// accepted.
    pub fn announce(
        self: &Rc<Self>,
        event: impl FnOnce(AnnouncementId) -> Event,
    ) -> oneshot::Receiver<bool> {
        let (sender, receiver) = oneshot::channel();
        let id = AnnouncementId(self.next_announcement.get() + 1);
        self.next_announcement.set(id.0);
        self.announcements.borrow_mut().insert(id, sender);
        self.dispatch(event(id));
        receiver
    }

    /// Passes an event to the node and executes the resulting actions. Events that the actions
    /// dispatch are queued and handled before it returns.
    pub fn dispatch(self: &Rc<Self>, event: Event) {
        if let Some(is_short) = self.buffers.take_shortage_change() {
            self.events.borrow_mut().push_back(Event::BufferShortage {
                is_short,
                held: self.buffers.held(),
                limit: self.buffers.limits().total,
            });
        }
        self.events.borrow_mut().push_back(event);
        if self.is_running.replace(true) {
            return;
        }
        let mut actions = self.spare_actions.take();
        while let Some(event) = self.take_event() {
            let now = self.now();
            self.node.borrow_mut().handle(now, event, &mut actions);
            for action in actions.drain(..) {
                self.execute(action);
            }
        }
        self.spare_actions.set(actions);
        self.is_running.set(false);
        self.update_wake();
    }

    /// Dispatches [`Event::Wake`] whenever the node has set a time for it; never returns.
    pub async fn run_timer(self: Rc<Self>) {
        loop {
            let wake_at = self.deadline(self.wake_at.get());
            tokio::select! {
                biased;
                () = self.wake_changed.notified() => {}
                () = tokio::time::sleep_until(wake_at) => self.dispatch(Event::Wake),
            }
        }
    }

    /// Returns a signal of the end of connections.
    pub(crate) fn ending(&self) -> EndingSignal {
        EndingSignal::new(self.ending.subscribe())
    }

    /// Returns whether the links to peers are being ended.
    pub(crate) fn ends_links(&self) -> bool {
        *self.ending.borrow() == Ending::Links
    }

    /// Ends the links once all callers' connections have ended, so that peers are answered until
    /// then, and reports when the links have ended.
    fn advance_ending(self: &Rc<Self>) {
        let ending = *self.ending.borrow();
        if ending == Ending::Callers && self.callers.borrow().is_empty() {
            self.ending.send_replace(Ending::Links);
        }
        if self.ends_links() && self.links.borrow().is_empty() {
            self.dispatch(Event::ConnectionsEnded);
        }
    }

    /// Counts and logs a record.
    pub(crate) fn log(&self, record: &LogRecord) {
        self.metrics.observe(record);
        self.log.borrow_mut().write(record);
    }

    /// Waits for [`Action::Exit`].
    pub async fn exited(&self) {
        self.exit.notified().await;
    }

    fn take_event(&self) -> Option<Event> {
        self.events.borrow_mut().pop_front()
    }

    fn update_wake(&self) {
        let wake_at = self.node.borrow().next_wake();
        let sooner = wake_at < self.wake_at.get() || self.wake_at.get() <= self.now();
        self.wake_at.set(wake_at);
        if sooner {
            self.wake_changed.notify_one();
        }
    }

    fn execute(self: &Rc<Self>, action: Action) {
        match action {
            Action::Answer {
                connection,
                pipeline_index,
                answer,
                wanted_until,
            } => {
                if let Some(queue) = self.callers.borrow().get(&connection) {
                    queue.unread.add_unread(self.now(), answer.body.len());
                    // Fails if the connection has just ended; the answer is not needed then.
                    let _ = queue.answers.send(PipelinedAnswer {
                        pipeline_index,
                        answer,
                        wanted_until,
                    });
                }
                if self.buffers.is_full() {
                    self.disconnect_slowest_reader();
                }
            }
            Action::OpenLink { link, address } => link::open(self.clone(), link, address),
            Action::SendOnLink { link, message } => {
                if let Some(queue) = self.links.borrow().get(&link) {
                    queue.held.add(message.body_bytes());
                    // Fails if the link has just ended; its task reports that.
                    let _ = queue.messages.send(message);
                }
            }
            Action::CloseLink(link) => {
                self.links.borrow_mut().remove(&link);
            }
            Action::StartExchange(exchange) => {
                self.metrics.back_end_requests.inc();
                self.back_end.start(self, exchange);
            }
            Action::CancelExchange(exchange) => self.back_end.cancel(exchange),
            Action::Acknowledge {
                announcement,
                is_accepted,
            } => {
                if let Some(sender) = self.announcements.borrow_mut().remove(&announcement) {
                    // Fails if the connection of the announcement has ended.
                    let _ = sender.send(is_accepted);
                }
            }
            Action::Probe { probe, path } => self.back_end.probe(self, probe, path),
            Action::CallStore { id, request } => {
                let hub = self.clone();
                let call = request.name();
                let reply = self.store.call(request);
                tokio::task::spawn_local(async move {
                    let reply = reply.await;
                    hub.metrics.count_store_call(call, &reply);
                    hub.dispatch(Event::Store { request: id, reply });
                });
            }
            Action::Log(record) => self.log(&record),
            Action::EndConnections => {
                self.ending.send_replace(Ending::Callers);
                self.advance_ending();
            }
            Action::Exit => self.exit.notify_one(),
        }
    }
}

impl Hub {
    /// Updates the gauges from the state of the node.
    pub fn update_gauges(&self) {
        let node = self.node.borrow();
        let load = node.inbound().load();
        let peers = node.directory().peers();
        let reachable = peers.filter(|peer| peer.open_link().is_some()).count();
        self.metrics.running.set(u64::from(load.running));
        self.metrics.queued.set(u64::from(load.total_queued()));
        self.metrics.limit.set(u64::from(load.limit));
        let rate_limit = node.inbound().rate_limit();
        self.metrics
            .back_end_rate_limit
            .set(rate_limit.map_or(-1.0, RequestRate::per_second));
        self.update_slowdown(&node);
        let refused_share = node.inbound().refused_share(self.now());
        self.metrics
            .back_end_refused_permille
            .set((refused_share * 1_000.0) as u64);
        self.metrics.peers.set(reachable as u64);
        self.metrics.ready.set(u64::from(node.is_ready()));
        self.metrics.buffered_bytes.set(self.buffers.held() as u64);
        let unsent = self.unsent_answer_bytes() as u64;
        self.metrics.unsent_answer_bytes.set(unsent);
        let quarantined = node.inbound().crashes().quarantined(self.now());
        self.metrics.quarantined.set(quarantined as u64);
        let short_tenants = node.short_tenants();
        self.metrics.tenants_short.set(short_tenants as u64);
        let level_refusals = node.outbound().refused_by_tenant_level();
        self.metrics
            .tenant_level_refusals
            .inner()
            .store(level_refusals, Ordering::Relaxed);
        let epoch = node.store_epoch().unwrap_or_default();
        self.metrics.store_epoch.set(epoch.0);
        let age = node.proof_age(self.now());
        self.metrics
            .proof_age
            .set(age.map_or(-1.0, |age| age.as_secs_f64()));
        self.metrics
            .configuration_version
            .set(node.configuration_version());
    }

    fn update_slowdown(&self, node: &Node) {
        let slowdown = node.inbound().slowdown();
        self.metrics
            .set_slowdown("measured", Some(slowdown.measured));
        self.metrics.set_slowdown("stated", slowdown.stated);
        self.metrics
            .set_slowdown("in_force", Some(slowdown.in_force));
        let total = node.inbound().queue_given_back();
        let counted = self.metrics.queue_given_back.get();
        self.metrics
            .queue_given_back
            .inc_by(total.saturating_sub(counted));
    }
}
