//! Fake back ends. They have slots and a queue, leave requests without a response when both are
//! full, make calls of their own, drain, crash, and return lost or corrupted responses when a fault
//! is injected.

use std::io;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use serde_json::json;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Notify, Semaphore, mpsc, watch};
use tokio::task::JoinSet;

use crate::caller::{self, Outgoing};
use crate::checker::{Arrival, Arrived, body_of, signature_of};
use crate::crashing;
use crate::deployment::{BACK_END_SLOTS, DRAIN_TIME, HEARTBEAT_INTERVAL, Layout, QUEUE_LENGTH};
use crate::endless_answers;
use crate::rough_answers;
use crate::soak::Soak;
use crate::wire::{Connection, Request, encode_request, encode_response};

/// Duration of the work on a request, in milliseconds: the minimum, and the exclusive bound of the
/// random part added to it.
const WORK_MILLIS: (u64, u64) = (4, 30);
/// Time between two heartbeats while the announcement of a drain is not acknowledged.
const DRAIN_RETRY_INTERVAL: Duration = Duration::from_millis(300);
/// Maximum time to wait for the acknowledgement of a heartbeat.
const ACKNOWLEDGEMENT_TIMEOUT: Duration = Duration::from_secs(1);
/// Time after which a draining back end without an acknowledgement ends anyway.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(6);
/// Time for which a drained back end still serves after the required [`DRAIN_TIME`].
const EXTRA_SERVING_TIME: Duration = Duration::from_millis(800);
/// Time between the end of a drained back end and the start of its replacement.
const REPLACEMENT_DELAY: Duration = Duration::from_millis(400);
/// Unix time of the start of each soak, in milliseconds. The value is arbitrary: start times of
/// back ends must only increase.
const SOAK_START_UNIX_MILLIS: u64 = 1_760_000_000_000;
/// Time between a response and the late extra copy of it.
const EXTRA_ANSWER_DELAY: Duration = Duration::from_millis(60);

/// Header field with the label of the incarnation that responds, for the checker.
pub const INSTANCE_FIELD: &str = "Soak-Instance";
/// Header field with the rate limit of the back end, in requests per second.
pub const RATE_LIMIT_FIELD: &str = "Server-Limit";
/// Header field that marks a response to a request that was not run.
const NOT_EXECUTED_FIELD: &str = "Not-Executed";
/// Header field with the load of the back end.
const LOAD_FIELD: &str = "Server-Load";
/// Header field that marks a response of a back end that is leaving.
pub const LEAVING_FIELD: &str = "Server-Leaving";

/// Action of the schedule on a back end.
#[derive(Clone, Copy, Debug)]
pub enum Action {
    /// Crashes the back end and starts another one after this time.
    Crash(Duration),
    /// Drains the back end and replaces it.
    Drain,
    /// States in all responses that the back end is leaving, and replaces it after this time. Its
    /// heartbeats and health answers do not say so.
    Leave(Duration),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    Ready,
    Draining,
    Acknowledged,
}

/// One incarnation of a back end.
struct Incarnation {
    soak: Arc<Soak>,
    node: usize,
    instance: String,
    /// Unix time of the start, in milliseconds.
    started_at: u64,
    state: watch::Sender<State>,
    /// Limits the requests that are worked on concurrently.
    slots: Semaphore,
    /// Limits the requests that are worked on or queued.
    capacity: Semaphore,
    /// Notified when a request crashes the back end.
    crashed: Notify,
    /// Whether the responses state that the back end is leaving.
    states_leaving: AtomicBool,
}

/// Keeps a back end running on a node's machine until the channel of actions closes.
pub async fn supervise(soak: Arc<Soak>, node: usize, mut actions: mpsc::UnboundedReceiver<Action>) {
    let mut number = 0;
    loop {
        number += 1;
        let incarnation = Arc::new(Incarnation {
            soak: soak.clone(),
            node,
            instance: instance_id(&soak, node, number),
            started_at: unix_millis(&soak),
            state: watch::Sender::new(State::Ready),
            slots: Semaphore::new(BACK_END_SLOTS),
            capacity: Semaphore::new(BACK_END_SLOTS + QUEUE_LENGTH),
            crashed: Notify::new(),
            states_leaving: AtomicBool::new(false),
        });
        soak.machines[node].set_instance(&incarnation.label());
        let Ok(listener) = TcpListener::bind(soak.layout.back_end(node).0).await else {
            tokio::time::sleep(Duration::from_millis(100)).await;
            continue;
        };
        let mut tasks = JoinSet::new();
        tasks.spawn(incarnation.clone().accept(listener));
        tasks.spawn(incarnation.clone().announce());
        let action = tokio::select! {
            action = actions.recv() => action,
            () = incarnation.crashed.notified() => Some(Action::Crash(crashing::CRASH_DOWNTIME)),
        };
        let pause = match action {
            None => return,
            Some(Action::Crash(down)) => down,
            Some(Action::Drain) => {
                incarnation.drain().await;
                REPLACEMENT_DELAY
            }
            Some(Action::Leave(serving)) => {
                incarnation.states_leaving.store(true, Ordering::Relaxed);
                tokio::time::sleep(serving).await;
                REPLACEMENT_DELAY
            }
        };
        tasks.shutdown().await;
        tokio::time::sleep(pause).await;
        // Actions that arrived meanwhile were meant for the previous back end.
        while actions.try_recv().is_ok() {}
    }
}

/// Reports the end of a run to the checker when dropped, so also if the run is cancelled.
struct RunGuard {
    soak: Arc<Soak>,
    id: String,
    instance: String,
}

impl Drop for RunGuard {
    fn drop(&mut self) {
        let now = self.soak.now();
        self.soak
            .checker()
            .on_run_ended(now, &self.id, &self.instance);
    }
}

impl Incarnation {
    async fn accept(self: Arc<Self>, listener: TcpListener) {
        let mut connections = JoinSet::new();
        loop {
            if let Ok((stream, _)) = listener.accept().await {
                connections.spawn(self.clone().serve(stream));
            }
            while connections.try_join_next().is_some() {}
        }
    }

    async fn serve(self: Arc<Self>, stream: TcpStream) {
        let mut connection = Connection::new(stream);
        while let Ok(Some(request)) = connection.read_request().await {
            let served = if request.target == "/health" {
                self.answer_health(&mut connection).await
            } else {
                self.answer(&mut connection, &request).await
            };
            if !served.unwrap_or(false) {
                return;
            }
        }
    }

    async fn answer_health(&self, connection: &mut Connection) -> io::Result<bool> {
        let is_ready = *self.state.borrow() == State::Ready;
        let status = if is_ready { 200 } else { 503 };
        let mut fields = vec![("Instance-Id", self.instance.clone())];
        if let Some(load) = self.stated_load() {
            fields.push((LOAD_FIELD, load));
        }
        connection
            .write(&encode_response(status, &fields, b""))
            .await?;
        Ok(true)
    }

    /// Handles a request; returns whether the connection stays open.
    async fn answer(&self, connection: &mut Connection, request: &Request) -> io::Result<bool> {
        let id = request
            .fields
            .get("Attempt-Id")
            .unwrap_or_default()
            .to_owned();
        let arrived = Arrived {
            id: &id,
            method: &request.method,
            target: &request.target,
            body: &request.body,
            caller_service: request.fields.get("Caller-Service").unwrap_or_default(),
            tenant: request.fields.get("Tenant"),
            has_credential: request.fields.get("Authorization").is_some(),
            service: Layout::service(self.node),
            instance: &self.label(),
        };
        if request
            .fields
            .get("Expected-Instance")
            .is_some_and(|name| name != self.instance)
        {
            let fields = [("Instance-Id", self.instance.clone()), ("Attempt-Id", id)];
            connection
                .write(&encode_response(421, &fields, b""))
                .await?;
            return Ok(true);
        }
        let arrival = self.soak.checker().on_arrived(self.soak.now(), &arrived);
        let machine = &self.soak.machines[self.node];
        if self.soak.draw_percent(&machine.rejected_percent) {
            return self.reject(connection, id).await;
        }
        let Ok(_admission) = self.capacity.try_acquire() else {
            // A request that does not fit into the queue gets no response, and the connection is
            // not used any further.
            connection.wait_closed().await;
            return Ok(false);
        };
        let Ok(_slot) = self.slots.acquire().await else {
            return Ok(false);
        };
        self.soak
            .checker()
            .on_run_started(self.soak.now(), &arrived);
        let guard = RunGuard {
            soak: self.soak.clone(),
            id: id.clone(),
            instance: self.label(),
        };
        let deadline = request
            .fields
            .get("Deadline-Ms")
            .and_then(|text| text.parse().ok());
        let deadline = Duration::from_millis(deadline.unwrap_or(10_000));
        let work = tokio::time::timeout(deadline, self.work(request, &id, arrival));
        tokio::pin!(work);
        let status = tokio::select! {
            status = &mut work => status.unwrap_or(504),
            () = connection.wait_closed() => {
                // For the checker, the request no longer runs once its connection is closed.
                drop(guard);
                if machine.finishes_abandoned_work.load(Ordering::Relaxed) {
                    let _ = work.await;
                }
                return Ok(false);
            }
        };
        // The run ends with its work, whatever becomes of the answer.
        drop(guard);
        self.reply(connection, &id, status).await
    }

    /// Answers that a request was not run, and sends some of these answers a second time, late;
    /// returns whether the connection stays open.
    async fn reject(&self, connection: &mut Connection, id: String) -> io::Result<bool> {
        let mut fields = vec![(NOT_EXECUTED_FIELD, "1".to_owned()), ("Attempt-Id", id)];
        // All answers of a back end state its limit and its departure.
        fields.extend(self.notice_fields());
        let bytes = encode_response(503, &fields, b"");
        if !self.deliver(connection, &bytes).await? {
            return Ok(false);
        }
        let machine = &self.soak.machines[self.node];
        if self.soak.draw_percent(&machine.repeated_rejection_percent) {
            tokio::time::sleep(EXTRA_ANSWER_DELAY).await;
            connection.write(&bytes).await?;
        }
        Ok(true)
    }

    /// Works on a request and makes its calls; returns the status of the response.
    async fn work(&self, request: &Request, id: &str, arrival: Arrival) -> u16 {
        let machine = &self.soak.machines[self.node];
        let (min, spread) = WORK_MILLIS;
        let slowdown_factor = u64::from(machine.slowdown_factor.load(Ordering::Relaxed).max(1));
        let millis = (min + self.soak.draw(spread)) * slowdown_factor;
        tokio::time::sleep(Duration::from_millis(millis)).await;
        if crashing::is_crashing(&request.target) {
            self.soak
                .checker()
                .on_crash(self.soak.now(), &request.target);
            self.crashed.notify_one();
            return std::future::pending().await;
        }
        if self.soak.draw_percent(&machine.failed_percent) {
            return 500;
        }
        let service = Layout::service(self.node);
        let Some(target) = call_target(service, &request.target) else {
            return 200;
        };
        let calls = match service {
            "middle" => self.soak.middle_calls,
            _ => 1,
        };
        for number in 1..=calls {
            let call = Outgoing {
                // Each run makes calls of its own.
                id: format!("{id}.{}-{number}", arrival.number),
                method: "GET",
                target: target.clone(),
                body: Vec::new(),
                is_idempotent: true,
                is_call: true,
                is_of_retry: arrival.is_retry,
                deadline: Duration::from_millis(700),
            };
            let answer = caller::exchange(&self.soak, self.node, &mut None, &call).await;
            if answer.is_none_or(|response| response.status != 200) {
                return 500;
            }
        }
        200
    }

    /// Sends the response, unless an injected fault loses or corrupts it; returns whether the
    /// connection stays open.
    async fn reply(&self, connection: &mut Connection, id: &str, status: u16) -> io::Result<bool> {
        let machine = &self.soak.machines[self.node];
        if self.soak.draw_percent(&machine.lost_percent) {
            if self.soak.draw(2) == 0 {
                let _ = connection.stream.set_zero_linger();
            }
            return Ok(false);
        }
        let body = body_of(id, &self.label());
        let mut fields = vec![
            ("Attempt-Id", id.to_owned()),
            ("Response-Signature", signature_of(&body)),
            ("Keep-Alive", "timeout=5".to_owned()),
        ];
        fields.extend(self.notice_fields());
        let bytes = encode_response(status, &fields, &body);
        if self.soak.draw_percent(&machine.corrupted_percent) {
            return self.corrupt(connection, &bytes).await;
        }
        if self.soak.draw_percent(&machine.endless_percent) {
            return self.answer_without_end(connection, id, &body).await;
        }
        self.deliver(connection, &bytes).await
    }

    /// Sends a whole answer, some of them roughly; returns whether the connection stays open.
    async fn deliver(&self, connection: &mut Connection, bytes: &[u8]) -> io::Result<bool> {
        let machine = &self.soak.machines[self.node];
        if self.soak.draw_percent(&machine.rough_percent) {
            return rough_answers::send(&self.soak, connection, bytes).await;
        }
        connection.write(bytes).await?;
        Ok(true)
    }

    /// Sends bytes without end in place of an answer.
    async fn answer_without_end(
        &self,
        connection: &mut Connection,
        id: &str,
        body: &[u8],
    ) -> io::Result<bool> {
        let forms = endless_answers::Form::ALL;
        let drawn = usize::try_from(self.soak.draw(forms.len() as u64)).unwrap_or(0);
        let signature = signature_of(body);
        let head = format!(
            "HTTP/1.1 200 Status\r\nAttempt-Id: {id}\r\nResponse-Signature: {signature}\r\n"
        );
        endless_answers::send(connection, forms[drawn], &head).await?;
        Ok(false)
    }

    /// Sends a response with a randomly chosen protocol error; returns whether the connection stays
    /// open.
    async fn corrupt(&self, connection: &mut Connection, bytes: &[u8]) -> io::Result<bool> {
        match self.soak.draw(5) {
            // Response without its last bytes.
            0 => connection.write(&bytes[..bytes.len() - 3]).await?,
            // Bytes that are not a response.
            1 => {
                connection
                    .write(b"\x16\x03\x01 this is no answer\r\n\r\n")
                    .await?
            }
            // Two copies of the response at once.
            2 => {
                connection.write(bytes).await?;
                connection.write(bytes).await?;
                return Ok(true);
            }
            // A late second copy, in place of the response to the next request.
            3 => {
                connection.write(bytes).await?;
                tokio::time::sleep(EXTRA_ANSWER_DELAY).await;
                connection.write(bytes).await?;
                return Ok(true);
            }
            // Half of the response, then a reset.
            _ => {
                connection.write(&bytes[..bytes.len() / 2]).await?;
                let _ = connection.stream.set_zero_linger();
            }
        }
        Ok(false)
    }

    /// Returns the header fields with what the back end states about itself, and reports its rate
    /// limit to the checker.
    fn notice_fields(&self) -> Vec<(&'static str, String)> {
        let rate_limit = self.soak.machines[self.node].stated_rate_limit();
        let now = self.soak.now();
        let mut checker = self.soak.checker();
        checker
            .notices()
            .on_rate_limit(now, &self.label(), rate_limit);
        let mut fields = vec![(INSTANCE_FIELD, self.label())];
        if let Some(rate) = rate_limit {
            fields.push((RATE_LIMIT_FIELD, rate.to_string()));
        }
        if let Some(load) = self.stated_load() {
            fields.push((LOAD_FIELD, load));
        }
        if self.states_leaving.load(Ordering::Relaxed) {
            fields.push((LEAVING_FIELD, "1".to_owned()));
        }
        fields
    }

    /// Returns the load that the back end states, if any.
    fn stated_load(&self) -> Option<String> {
        let machine = &self.soak.machines[self.node];
        let slowdown = machine.slowdown_factor.load(Ordering::Relaxed);
        let running = BACK_END_SLOTS - self.slots.available_permits();
        machine.stated_load.next(running, BACK_END_SLOTS, slowdown)
    }

    /// Returns a label that identifies the incarnation: its identifier and start time.
    fn label(&self) -> String {
        format!("{}@{}", self.instance, self.started_at)
    }

    /// Sends heartbeats until the incarnation ends.
    async fn announce(self: Arc<Self>) {
        let mut state = self.state.subscribe();
        let mut sequence = 0;
        loop {
            sequence += 1;
            let announced = *state.borrow_and_update();
            let acknowledged = self.heartbeat(announced, sequence).await;
            if announced == State::Draining && acknowledged {
                let now = self.soak.now();
                self.soak
                    .checker()
                    .on_drain_acknowledged(now, &self.label());
                self.state.send_replace(State::Acknowledged);
            }
            let pause = match *self.state.borrow() {
                State::Draining => DRAIN_RETRY_INTERVAL,
                _ => HEARTBEAT_INTERVAL,
            };
            let _ = tokio::time::timeout(pause, state.changed()).await;
        }
    }

    /// Sends a heartbeat; returns whether the node acknowledged it.
    async fn heartbeat(&self, state: State, sequence: u64) -> bool {
        let word = if state == State::Ready {
            "ready"
        } else {
            "draining"
        };
        let mut body = json!({
            "service": Layout::service(self.node),
            "address": self.soak.layout.back_end(self.node).1.to_string(),
            "zone": Layout::zone(self.node),
            "version": "v1",
            "slots": BACK_END_SLOTS,
            "state": word,
            "cold-remaining-s": 0,
            "call-seq": sequence,
        });
        if self.soak.has_renewals {
            body["born"] = json!(self.started_at);
        }
        let path = format!("/-/instances/{}/heartbeat", self.instance);
        self.control(&path, &body.to_string()).await
    }

    /// Makes a call to the node's control address; returns whether it succeeded.
    async fn control(&self, path: &str, body: &str) -> bool {
        let address = self.soak.layout.control(self.node);
        let fields = [
            ("Host", address.to_string()),
            ("Content-Type", "application/json".to_owned()),
            ("Connection", "close".to_owned()),
        ];
        let bytes = encode_request("POST", path, &fields, body.as_bytes());
        let call = async {
            let mut connection = Connection::new(TcpStream::connect(address).await?);
            connection.write(&bytes).await?;
            connection.read_response().await
        };
        let answer = tokio::time::timeout(ACKNOWLEDGEMENT_TIMEOUT, call).await;
        matches!(answer, Ok(Ok(response)) if response.status == 200)
    }

    /// Announces the drain, serves until the drain time after its acknowledgement has passed, and
    /// leaves.
    async fn drain(&self) {
        let mut state = self.state.subscribe();
        self.state.send_replace(State::Draining);
        let is_acknowledged = |state: &State| *state == State::Acknowledged;
        let acknowledged = state.wait_for(is_acknowledged);
        if tokio::time::timeout(DRAIN_TIMEOUT, acknowledged)
            .await
            .is_ok()
        {
            tokio::time::sleep(DRAIN_TIME + EXTRA_SERVING_TIME).await;
        }
        let path = format!("/-/instances/{}/leave", self.instance);
        self.control(&path, "{}").await;
    }
}

/// Returns the identifier of an incarnation. With renewals, two successive incarnations share one.
fn instance_id(soak: &Soak, node: usize, run: u32) -> String {
    let number = if soak.has_renewals { run / 2 } else { run };
    format!("b{node}-{number}")
}

/// Returns the current Unix time as reported by back ends, in milliseconds.
fn unix_millis(soak: &Soak) -> u64 {
    SOAK_START_UNIX_MILLIS + u64::try_from(soak.now().as_millis()).unwrap_or(0)
}

/// Returns the target of the call that a service makes for a request, or `None` if it makes none.
fn call_target(service: &str, target: &str) -> Option<String> {
    if !target.contains("/calls") {
        return None;
    }
    match service {
        "front" => Some("/middle/calls".to_owned()),
        "middle" => Some("/deep/plain".to_owned()),
        _ => None,
    }
}
