//! Runs requests on one connection to the back end, one at a time.

use std::cell::RefCell;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::{Buf, BytesMut};
use rillgap_core::time::Instant;
use rillgap_forward::action::Exchange;
use rillgap_forward::answer_pace::AnswerPace;
use rillgap_forward::event::ExchangeResult;
use rillgap_forward::log_record::LogRecord;
use rillgap_forward::message::NotRunProof;
use tokio::net::TcpStream;
use tokio::sync::mpsc::{self, UnboundedReceiver};
use tokio::time::timeout;

use super::carried_requests::CarriedRequests;
use super::response::{AnswerFault, Progress, ResponseReader};
use super::{IdleConnection, Job};
use crate::dialect::{Dialect, HeaderNames};
use crate::hub::Hub;
use crate::read::{read_some, release_if_empty};

/// Timeout for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Idle timeout of a connection if the back end sends none in `Keep-Alive`.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(4);
/// Fraction of the `Keep-Alive` timeout of the back end after which an idle connection is closed,
/// so that the node closes it before the back end does.
const IDLE_TIMEOUT_FRACTION: f64 = 0.7;
/// Time to wait for room for an answer after which the caller with the most unread bytes is
/// disconnected.
const RELIEF_DELAY: Duration = Duration::from_millis(500);
/// Maximum time to wait for room for an answer.
const ROOM_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Number in log records of an exchange for which no connection could be opened.
const NO_CONNECTION: u64 = 0;

/// Result of running a request on a connection.
enum Outcome {
    /// The request ended with `result`; the connection can be used again if `reusable`.
    Ended {
        result: ExchangeResult,
        reusable: bool,
        /// Why the answer is broken, if it is.
        fault: Option<AnswerFault>,
    },
    /// The request was cancelled.
    Cancelled,
    /// The connection had been closed or had unexpected input before a byte of the request was
    /// sent.
    Stale,
}

/// Wait for room for what has arrived of an answer.
#[derive(Clone, Copy, Debug, Default)]
struct RoomWait {
    /// Since when there is no room; `None` if there is.
    since: Option<Instant>,
    has_asked_for_relief: bool,
}

impl RoomWait {
    /// Returns when the next step of a long wait is due.
    fn ends_at(&self) -> Option<Instant> {
        let delay = if self.has_asked_for_relief {
            ROOM_TIMEOUT
        } else {
            RELIEF_DELAY
        };
        self.since.map(|since| since + delay)
    }
}

/// Opens a connection for a job and serves jobs on it until it ends.
pub(super) async fn open(hub: Rc<Hub>, address: SocketAddr, mut job: Job) {
    let connected = tokio::select! {
        biased;
        _ = &mut job.cancelled => return,
        connected = timeout(CONNECT_TIMEOUT, TcpStream::connect(address)) => connected,
    };
    let Ok(Ok(stream)) = connected else {
        log_end(
            &hub,
            &job,
            NO_CONNECTION,
            Duration::ZERO,
            &ExchangeResult::NotSent,
            None,
        );
        let client = hub.back_end();
        client.report_end(&hub, job.exchange.id, ExchangeResult::NotSent);
        return;
    };
    let number = hub.metrics().back_end_connections.inc() + 1;
    let connection = BackEndConnection::new(hub, number, stream);
    connection.serve(job).await;
}

struct BackEndConnection {
    hub: Rc<Hub>,
    /// Number of the connection in log records.
    number: u64,
    stream: TcpStream,
    input: BytesMut,
    carried: Rc<RefCell<CarriedRequests>>,
    idle_timeout: Duration,
}

impl BackEndConnection {
    fn new(hub: Rc<Hub>, number: u64, stream: TcpStream) -> Self {
        // Without `TCP_NODELAY` requests may wait for acknowledgements. The connection also works
        // without it, so an error is ignored.
        let _ = stream.set_nodelay(true);
        Self {
            hub,
            number,
            stream,
            input: BytesMut::new(),
            carried: Rc::default(),
            idle_timeout: DEFAULT_IDLE_TIMEOUT,
        }
    }

    async fn serve(mut self, first: Job) {
        let (sender, mut jobs) = mpsc::unbounded_channel();
        let mut job = first;
        loop {
            let exchange = job.exchange.id;
            match self.run(&mut job).await {
                Outcome::Stale => {
                    let hub = self.hub.clone();
                    drop(self);
                    hub.back_end().run(&hub, job);
                    return;
                }
                Outcome::Cancelled => return,
                Outcome::Ended {
                    result, reusable, ..
                } => {
                    if !reusable {
                        let hub = self.hub.clone();
                        drop(self);
                        hub.back_end().report_end(&hub, exchange, result);
                        return;
                    }
                    // The connection becomes idle before the end is reported, so that a request
                    // that is started because of this end can use it.
                    self.hub.back_end().add_idle(IdleConnection {
                        jobs: sender.clone(),
                        carried: self.carried.clone(),
                    });
                    self.hub.back_end().report_end(&self.hub, exchange, result);
                }
            }
            match self.wait_for_job(&mut jobs).await {
                Some(next) => job = next,
                None => return,
            }
        }
    }

    /// Waits for the next job; `None` if the connection has ended or has been idle for
    /// too long.
    async fn wait_for_job(&mut self, jobs: &mut UnboundedReceiver<Job>) -> Option<Job> {
        let until = self.hub.now() + self.idle_timeout;
        let idle_timer = tokio::time::sleep_until(self.hub.deadline(until));
        tokio::pin!(idle_timer);
        loop {
            tokio::select! {
                biased;
                job = jobs.recv() => {
                    // After a suspension of the machine the timer fires late, and the back end
                    // may have closed the connection.
                    if self.hub.now() < until {
                        return job;
                    }
                    if let Some(job) = job {
                        self.hub.back_end().run(&self.hub, job);
                    }
                    break;
                }
                // Unexpected bytes, the end of the connection, or a spurious wake-up.
                _ = self.stream.readable() => {
                    if !self.has_no_input() {
                        break;
                    }
                }
                () = &mut idle_timer => break,
            }
        }
        jobs.close();
        if let Ok(job) = jobs.try_recv() {
            self.hub.back_end().run(&self.hub, job);
        }
        self.hub.back_end().remove_closed();
        None
    }

    /// Sends a request and reads its answer.
    async fn run(&mut self, job: &mut Job) -> Outcome {
        if !self.has_no_input() {
            return Outcome::Stale;
        }
        let sent_at = self.hub.now();
        let outcome = self.exchange(job).await;
        if let Outcome::Ended { result, fault, .. } = &outcome {
            let elapsed = self.hub.now().saturating_since(sent_at);
            log_end(&self.hub, job, self.number, elapsed, result, *fault);
        }
        outcome
    }

    async fn exchange(&mut self, job: &mut Job) -> Outcome {
        let request = job.exchange.request.clone();
        self.carried.borrow_mut().record(&request.request_id);
        let dialect = self.hub.dialect().clone();
        let mut output = BytesMut::from(encode(&job.exchange, dialect.headers()).as_slice());
        let buffers = self.hub.buffers().clone();
        let is_head = request.method == "HEAD";
        let mut reader = ResponseReader::new(&request.request_id, is_head, buffers.clone());
        let mut pace = AnswerPace::new(Duration::from_micros(request.answer_grace_micros));
        let mut is_overdue = false;
        let mut wait = RoomWait::default();
        loop {
            if self.flush(&mut output).is_err() {
                return lost(AnswerFault::ConnectionLost);
            }
            let overdue_at = pace.overdue_at().filter(|_| !is_overdue);
            let (mut receiving, sending) = self.stream.split();
            let progress = tokio::select! {
                biased;
                _ = &mut job.cancelled => return Outcome::Cancelled,
                received = read_some(&mut receiving, &mut self.input), if wait.since.is_none() => {
                    pace.on_bytes(self.hub.now(), received.as_ref().map_or(0, |count| *count));
                    self.on_received(received, &mut reader, dialect.as_ref())
                }
                _ = sending.writable(), if !output.is_empty() => Progress::Partial,
                () = buffers.freed(), if wait.since.is_some() => {
                    reader.read(&mut self.input, dialect.as_ref())
                }
                () = self.hub.sleep_until(overdue_at), if overdue_at.is_some() => {
                    is_overdue = true;
                    reader.on_overdue();
                    self.hub.back_end().report_overdue(&self.hub, job.exchange.id);
                    continue;
                }
                () = self.hub.sleep_until(wait.ends_at()), if wait.since.is_some() => {
                    self.on_long_wait(&mut wait)
                }
            };
            release_if_empty(&mut self.input);
            let now = self.hub.now();
            if reader.take_skipped() {
                pace.restart();
                if !self.input.is_empty() {
                    pace.on_bytes(now, self.input.len());
                }
            }
            if matches!(progress, Progress::NoRoom) {
                wait.since.get_or_insert(now);
                pace.pause(now);
            } else {
                wait = RoomWait::default();
                pace.resume(now);
            }
            if let Some(notice) = reader.take_notice() {
                let client = self.hub.back_end();
                client.report_notice(&self.hub, job.exchange.id, notice);
            }
            self.log_foreign_answers(job, &mut reader);
            if let Some(outcome) = self.outcome_of(progress, output.is_empty()) {
                return outcome;
            }
        }
    }

    /// Handles a wait for room that has become long: first makes room at the cost of the caller that
    /// reads most slowly, then gives up.
    fn on_long_wait(&self, wait: &mut RoomWait) -> Progress {
        if std::mem::replace(&mut wait.has_asked_for_relief, true) {
            return Progress::Broken(AnswerFault::NoRoom);
        }
        self.hub.disconnect_slowest_reader();
        Progress::NoRoom
    }

    /// Returns whether the connection is open and nothing has arrived since the last answer.
    fn has_no_input(&self) -> bool {
        let mut byte = [0];
        let nothing = self.stream.try_read(&mut byte);
        self.input.is_empty()
            && matches!(nothing, Err(error) if error.kind() == io::ErrorKind::WouldBlock)
    }

    fn on_received(
        &mut self,
        received: io::Result<usize>,
        reader: &mut ResponseReader,
        dialect: &dyn Dialect,
    ) -> Progress {
        match received {
            Ok(0) => reader.on_close(),
            Ok(_) => reader.read(&mut self.input, dialect),
            Err(_) => Progress::Broken(AnswerFault::ConnectionLost),
        }
    }

    fn outcome_of(&mut self, progress: Progress, is_sent: bool) -> Option<Outcome> {
        match progress {
            Progress::Partial | Progress::NoRoom => None,
            Progress::Broken(fault) => Some(lost(fault)),
            Progress::Complete {
                result,
                keep_alive,
                idle_timeout,
            } => {
                if let Some(idle_timeout) = idle_timeout {
                    self.idle_timeout = idle_timeout.mul_f64(IDLE_TIMEOUT_FRACTION);
                }
                let is_full = self.carried.borrow().is_full();
                let reusable = keep_alive && is_sent && self.input.is_empty() && !is_full;
                Some(Outcome::Ended {
                    result,
                    reusable,
                    fault: None,
                })
            }
        }
    }

    fn log_foreign_answers(&self, job: &Job, reader: &mut ResponseReader) {
        for answered_id in reader.take_foreign_ids() {
            self.hub.log(&LogRecord::ForeignAnswer {
                request_id: job.exchange.request.request_id.clone(),
                answered_id,
                connection: self.number,
            });
        }
    }

    fn flush(&mut self, output: &mut BytesMut) -> io::Result<()> {
        while !output.is_empty() {
            match self.stream.try_write(output) {
                Ok(written) => output.advance(written),
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => return Ok(()),
                Err(error) => return Err(error),
            }
        }
        Ok(())
    }
}

fn lost(fault: AnswerFault) -> Outcome {
    Outcome::Ended {
        result: ExchangeResult::Lost,
        reusable: false,
        fault: Some(fault),
    }
}

/// Logs the end of an exchange that has no answer to pass on, or is a retry: the records of all
/// attempts of a request then show which of them may have run, and why.
fn log_end(
    hub: &Hub,
    job: &Job,
    connection: u64,
    elapsed: Duration,
    result: &ExchangeResult,
    fault: Option<AnswerFault>,
) {
    let (end, status) = match result {
        ExchangeResult::Answered(_) if !job.exchange.request.is_retry => return,
        ExchangeResult::Answered(answer) => ("answered", answer.status),
        ExchangeResult::NotExecuted => (NotRunProof::Refused.name(), 0),
        ExchangeResult::WrongInstance => (NotRunProof::Misdirected.name(), 0),
        ExchangeResult::NotSent => (NotRunProof::NotConnected.name(), 0),
        ExchangeResult::Lost => (fault.map_or("lost", AnswerFault::name), 0),
    };
    hub.log(&LogRecord::ExchangeEnded {
        request_id: job.exchange.request.request_id.clone(),
        exchange: job.exchange.id.0,
        connection,
        end,
        status,
        elapsed_micros: u64::try_from(elapsed.as_micros()).unwrap_or(u64::MAX),
    });
}

/// Encodes a request for the back end.
fn encode(exchange: &Exchange, names: &HeaderNames) -> Vec<u8> {
    let request = &exchange.request;
    let mut bytes = Vec::with_capacity(512 + request.fields.len() + request.body.len());
    bytes.extend_from_slice(request.method.as_bytes());
    bytes.push(b' ');
    bytes.extend_from_slice(request.target.as_bytes());
    bytes.extend_from_slice(b" HTTP/1.1\r\n");
    bytes.extend_from_slice(&request.fields);
    let millis = exchange.remaining.as_millis();
    push_field(&mut bytes, names.deadline_millis, &millis.to_string());
    push_field(
        &mut bytes,
        names.expected_instance,
        &exchange.incarnation.id,
    );
    push_field(&mut bytes, names.caller_service, &request.caller_service);
    if let Some(tenant) = &request.tenant {
        push_field(&mut bytes, names.tenant, tenant);
    }
    let has_body = !request.body.is_empty() || !matches!(request.method.as_str(), "GET" | "HEAD");
    if has_body {
        push_field(
            &mut bytes,
            "Content-Length",
            &request.body.len().to_string(),
        );
    }
    bytes.extend_from_slice(b"\r\n");
    bytes.extend_from_slice(&request.body);
    bytes
}

fn push_field(bytes: &mut Vec<u8>, name: &str, value: &str) {
    bytes.extend_from_slice(name.as_bytes());
    bytes.extend_from_slice(b": ");
    bytes.extend_from_slice(value.as_bytes());
    bytes.extend_from_slice(b"\r\n");
}
