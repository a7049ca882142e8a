//! Serves one connection of a caller: requests run concurrently, answers are sent in the order of
//! the requests.

use std::collections::{BTreeMap, VecDeque};
use std::io;
use std::rc::Rc;
use std::time::Duration;

use bytes::{Buf, BytesMut};
use rillgap_core::code::ResultCode;
use rillgap_core::time::Instant;
use rillgap_forward::action::CallerAnswer;
use rillgap_forward::buffer_account::HolderKind;
use rillgap_forward::event::Event;
use rillgap_forward::id::{ConnectionId, PipelineIndex};
use rillgap_http::h1::{Connection, encode_status_line};
use tokio::net::TcpStream;
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::time::timeout_at;

use super::reader::{Progress, ReadRequest, RequestReader};
use crate::buffers::Held;
use crate::ending::Ending;
use crate::hub::{Hub, PipelinedAnswer};
use crate::read::{discard_some, read_some, release_if_empty};

/// Maximum number of requests of one connection that are in flight.
const MAX_PIPELINED_REQUESTS: usize = 32;
/// Maximum number of bytes of further requests that are read ahead.
const MAX_READ_AHEAD_BYTES: usize = 256 * 1024;
/// Timeout for a caller that does not read its answers.
const UNREAD_ANSWER_TIMEOUT: Duration = Duration::from_secs(10);
/// Maximum time for the body of a request to arrive.
const MAX_BODY_TIME: Duration = Duration::from_secs(30);
/// Minimum time between two checks for a timeout.
const MIN_TIMER_INTERVAL: Duration = Duration::from_millis(20);
/// Timeout for the peer's close after the last answer or its last bytes, if it has not read slowly
/// before.
const LINGER_TIMEOUT: Duration = Duration::from_millis(500);
/// Maximum time to wait for the close of a peer that goes on sending.
const MAX_LINGER_TIME: Duration = Duration::from_secs(2);
/// The same if the peer has read its answers slowly.
const MAX_SLOW_LINGER_TIME: Duration = Duration::from_secs(10);
/// Maximum number of bytes that are dropped meanwhile. A peer that sends more does not wait for its
/// last answer.
const MAX_LINGER_BYTES: usize = 1024 * 1024;

/// Interim answer to a caller that waits for it before it sends a body.
const CONTINUE: &[u8] = b"HTTP/1.1 100 Continue\r\n\r\n";

/// A request that waits for its answer.
#[derive(Debug)]
struct PendingRequest {
    pipeline_index: PipelineIndex,
    is_head: bool,
    connection: Connection,
    /// Length of its body, which the node keeps until the request is answered.
    body_bytes: usize,
}

/// Why a connection ends.
#[derive(Debug)]
enum ConnectionEnd {
    /// The peer has closed the connection, or has timed out.
    Aborted,
    /// All answers are written, and no further request is accepted.
    Finished,
}

impl From<io::Error> for ConnectionEnd {
    fn from(_: io::Error) -> Self {
        Self::Aborted
    }
}

/// One connection of a caller.
pub(super) struct CallerConnection {
    hub: Rc<Hub>,
    id: ConnectionId,
    stream: TcpStream,
    reader: RequestReader,
    input: BytesMut,
    output: BytesMut,
    pending: VecDeque<PendingRequest>,
    answers: BTreeMap<PipelineIndex, CallerAnswer>,
    next_pipeline_index: u64,
    accepts_requests: bool,
    /// Counts answers that the caller has not read.
    unread: Rc<Held>,
    /// Counts the bytes of requests.
    requests: Held,
    /// Sum of the bodies of the requests that wait for their answers.
    pending_body_bytes: usize,
    /// Until when the rest of a body may arrive.
    body_until: Option<Instant>,
    active_at: Instant,
    /// Until when the caller waits for the answers that it has been sent.
    wanted_until: Instant,
    /// Whether answers had to wait for the caller to read earlier ones.
    reads_slowly: bool,
    /// Whether the node ends the connection because it stops.
    is_ending: bool,
}

impl Drop for CallerConnection {
    fn drop(&mut self) {
        self.hub.remove_unsent_answer_bytes(self.output.len());
    }
}

impl CallerConnection {
    /// Creates the state of a connection whose unread answers `unread` counts.
    pub fn new(hub: Rc<Hub>, id: ConnectionId, stream: TcpStream, unread: Rc<Held>) -> Self {
        // Without `TCP_NODELAY` answers may wait for acknowledgements. The connection also works
        // without it, so an error is ignored.
        let _ = stream.set_nodelay(true);
        let active_at = hub.now();
        let requests = hub.buffers().open(HolderKind::Requests);
        Self {
            hub,
            id,
            stream,
            reader: RequestReader::default(),
            input: BytesMut::new(),
            output: BytesMut::new(),
            pending: VecDeque::new(),
            answers: BTreeMap::new(),
            next_pipeline_index: 0,
            accepts_requests: true,
            unread,
            requests,
            pending_body_bytes: 0,
            body_until: None,
            active_at,
            wanted_until: active_at,
            reads_slowly: false,
            is_ending: false,
        }
    }

    /// Serves the connection until it ends.
    pub async fn run(mut self, mut answers: UnboundedReceiver<PipelinedAnswer>) {
        if let Err(ConnectionEnd::Finished) = self.serve(&mut answers).await {
            self.linger().await;
        }
    }

    async fn serve(
        &mut self,
        answers: &mut UnboundedReceiver<PipelinedAnswer>,
    ) -> Result<(), ConnectionEnd> {
        let mut ending = self.hub.ending();
        let timer = tokio::time::sleep_until(self.hub.deadline(self.times_out_at()));
        tokio::pin!(timer);
        loop {
            if !self.accepts_requests && self.pending.is_empty() && self.output.is_empty() {
                return Err(ConnectionEnd::Finished);
            }
            let is_slowed = self.is_slowed();
            let may_read = self.input.len() < MAX_READ_AHEAD_BYTES && !is_slowed;
            let buffers = self.hub.buffers();
            let (mut receiving, sending) = self.stream.split();
            tokio::select! {
                biased;
                answer = answers.recv() => {
                    let Some(answer) = answer else {
                        return Err(ConnectionEnd::Aborted);
                    };
                    self.on_answers(answer, answers)?;
                }
                received = read_some(&mut receiving, &mut self.input), if may_read => {
                    self.on_received(received?)?;
                    let times_out_at = self.hub.deadline(self.times_out_at());
                    if times_out_at < timer.deadline() {
                        timer.as_mut().reset(times_out_at);
                    }
                }
                () = buffers.freed(), if is_slowed => self.read_requests()?,
                ready = sending.writable(), if !self.output.is_empty() => {
                    ready?;
                    self.flush()?;
                }
                () = &mut timer => {
                    let times_out_at = self.times_out_at();
                    let now = self.hub.now();
                    if times_out_at <= now {
                        self.on_timeout()?;
                    }
                    let again = self.times_out_at().max(now + MIN_TIMER_INTERVAL);
                    timer.as_mut().reset(self.hub.deadline(again));
                }
                () = ending.reached(Ending::Callers), if !self.is_ending => {
                    self.begin_end();
                    timer.as_mut().reset(self.hub.deadline(self.times_out_at()));
                }
            }
        }
    }

    /// Returns whether nothing is read from the caller because the node holds many bytes: a caller
    /// that reads its answers more slowly than it asks for them is slowed down first, as are long
    /// bodies.
    fn is_slowed(&self) -> bool {
        let has_unread = !self.output.is_empty() || !self.answers.is_empty();
        (has_unread || self.reader.is_within_body()) && self.hub.buffers().slows_callers()
    }

    /// Accepts no further requests; the connection ends once its answers are sent.
    fn begin_end(&mut self) {
        self.is_ending = true;
        self.accepts_requests = false;
        self.input.clear();
        self.reader = RequestReader::default();
    }

    /// Returns the time at which the connection times out if it makes no progress until then. A
    /// caller may pause in reading its answers as long as it waits for them; a node that stops
    /// does not wait longer.
    fn times_out_at(&self) -> Instant {
        if self.is_ending && self.pending.is_empty() {
            return self.wanted_until.max(self.active_at + LINGER_TIMEOUT);
        }
        let limits = self.hub.with_node(|node| node.limits());
        let idle = Duration::from_millis(u64::from(limits.idle_timeout_millis));
        let head = Duration::from_millis(u64::from(limits.head_timeout_millis));
        let timeout = if !self.output.is_empty() {
            UNREAD_ANSWER_TIMEOUT
        } else if !self.pending.is_empty() {
            // The node itself ends every request in time.
            Duration::from_secs(3_600)
        } else if let Some(body_until) = self.body_until {
            return body_until;
        } else if self.reader.is_within_request(&self.input) && !self.reader.is_within_body() {
            head
        } else {
            idle
        };
        let times_out_at = self.active_at + timeout;
        if self.output.is_empty() {
            times_out_at
        } else {
            times_out_at.max(self.wanted_until)
        }
    }

    fn on_timeout(&mut self) -> Result<(), ConnectionEnd> {
        if self.pending.is_empty() && self.reader.is_within_request(&self.input) {
            self.refuse(ResultCode::RequestTimeout)?;
            return Ok(());
        }
        Err(ConnectionEnd::Aborted)
    }

    fn on_received(&mut self, received: usize) -> Result<(), ConnectionEnd> {
        if received == 0 {
            return Err(ConnectionEnd::Aborted);
        }
        if !self.reader.is_within_request(&self.input) || self.pending.is_empty() {
            self.active_at = self.hub.now();
        }
        self.read_requests()
    }

    fn read_requests(&mut self) -> Result<(), ConnectionEnd> {
        while self.accepts_requests
            && self.pending.len() < MAX_PIPELINED_REQUESTS
            && !self.input.is_empty()
            && !self.is_slowed()
        {
            let (mut limits, withholds_credentials) = self
                .hub
                .with_node(|node| (node.limits(), node.withholds_credentials()));
            // A longer body could never be held.
            let longest = self.hub.buffers().limits().answer as u64;
            limits.body_bytes = limits.body_bytes.min(longest);
            let dialect = self.hub.dialect().clone();
            let progress =
                self.reader
                    .read(&mut self.input, &*dialect, &limits, withholds_credentials);
            match progress {
                Progress::Request(read) => self.dispatch_request(*read),
                Progress::Partial => {
                    self.set_body_timeout();
                    self.count_requests();
                    return Ok(());
                }
                Progress::SendContinue => {
                    self.set_body_timeout();
                    self.output.extend_from_slice(CONTINUE);
                    self.count_unsent(CONTINUE.len());
                    return self.flush();
                }
                Progress::Refused(code) => return self.refuse(code),
            }
        }
        if !self.accepts_requests {
            self.input.clear();
        }
        release_if_empty(&mut self.input);
        self.count_requests();
        Ok(())
    }

    /// Sets until when the body of a request may arrive: as long as its caller waits for the answer.
    fn set_body_timeout(&mut self) {
        if !self.reader.is_within_body() {
            self.body_until = None;
        } else if self.body_until.is_none() {
            let timeout = self.reader.deadline().unwrap_or(MAX_BODY_TIME);
            self.body_until = Some(self.hub.now() + timeout.min(MAX_BODY_TIME));
        }
    }

    /// Counts the bytes of requests that have not been answered.
    fn count_requests(&self) {
        let unread = self.input.len() + self.reader.body_bytes();
        self.requests.set(unread + self.pending_body_bytes);
    }

    /// Counts bytes that are added to the output.
    fn count_unsent(&self, length: usize) {
        self.hub.add_unsent_answer_bytes(length);
        self.unread.add(length);
    }

    fn dispatch_request(&mut self, read: ReadRequest) {
        let pipeline_index = PipelineIndex(self.next_pipeline_index);
        self.next_pipeline_index += 1;
        self.accepts_requests = read.connection == Connection::KeepAlive;
        self.body_until = None;
        let body_bytes = read.request.body.len();
        self.pending_body_bytes += body_bytes;
        self.pending.push_back(PendingRequest {
            pipeline_index,
            is_head: read.is_head,
            connection: read.connection,
            body_bytes,
        });
        self.hub.dispatch(Event::Request {
            connection: self.id,
            pipeline_index,
            request: read.request,
        });
    }

    /// Refuses bytes that are not a request; no further requests are read from the connection.
    fn refuse(&mut self, code: ResultCode) -> Result<(), ConnectionEnd> {
        self.accepts_requests = false;
        self.input.clear();
        self.reader = RequestReader::default();
        log::warn!(code = code.number(), connection = self.id.0; "caller: bytes refused");
        let pipeline_index = PipelineIndex(self.next_pipeline_index);
        self.next_pipeline_index += 1;
        self.pending.push_back(PendingRequest {
            pipeline_index,
            is_head: false,
            connection: Connection::Close,
            body_bytes: 0,
        });
        let answer = CallerAnswer {
            status: code.http_status(),
            fields: Vec::new(),
            body: code.title().as_bytes().to_vec(),
            close: true,
        };
        self.unread.add(answer.body.len());
        self.answers.insert(pipeline_index, answer);
        self.write_answers()
    }

    /// Handles an answer and all others that are queued.
    fn on_answers(
        &mut self,
        first: PipelinedAnswer,
        answers: &mut UnboundedReceiver<PipelinedAnswer>,
    ) -> Result<(), ConnectionEnd> {
        self.add_answer(first);
        while let Ok(answer) = answers.try_recv() {
            self.add_answer(answer);
        }
        self.write_answers()?;
        // Requests may have waited because `MAX_PIPELINED_REQUESTS` were in flight.
        self.read_requests()
    }

    fn add_answer(&mut self, answer: PipelinedAnswer) {
        if let Some(wanted_until) = answer.wanted_until {
            self.wanted_until = self.wanted_until.max(wanted_until);
        }
        self.answers.insert(answer.pipeline_index, answer.answer);
    }

    /// Writes the answers that are next in order.
    fn write_answers(&mut self) -> Result<(), ConnectionEnd> {
        while let Some(answer) = self
            .pending
            .front()
            .and_then(|pending| self.answers.remove(&pending.pipeline_index))
        {
            let Some(pending) = self.pending.pop_front() else {
                break;
            };
            self.pending_body_bytes -= pending.body_bytes;
            self.unread.remove(answer.body.len());
            self.encode(&pending, &answer);
        }
        self.flush()
    }

    fn encode(&mut self, pending: &PendingRequest, answer: &CallerAnswer) {
        // The connection stays open for the answers to requests that have already been received,
        // even in part.
        let is_last = self.pending.is_empty() && !self.reader.is_within_request(&self.input);
        let closes = pending.connection == Connection::Close || answer.close && is_last;
        let mut head = Vec::with_capacity(256 + answer.fields.len());
        encode_status_line(answer.status, &mut head);
        head.extend_from_slice(&answer.fields);
        let has_body = !matches!(answer.status, 204 | 304);
        if has_body && !pending.is_head {
            head.extend_from_slice(format!("Content-Length: {}\r\n", answer.body.len()).as_bytes());
        }
        if closes {
            head.extend_from_slice(b"Connection: close\r\n");
            self.accepts_requests = false;
        }
        head.extend_from_slice(b"\r\n");
        let before = self.output.len();
        self.output.extend_from_slice(&head);
        if has_body && !pending.is_head {
            self.output.extend_from_slice(&answer.body);
        }
        self.count_unsent(self.output.len() - before);
        self.active_at = self.hub.now();
    }

    fn flush(&mut self) -> Result<(), ConnectionEnd> {
        while !self.output.is_empty() {
            match self.stream.try_write(&self.output) {
                Ok(written) => {
                    self.output.advance(written);
                    self.hub.remove_unsent_answer_bytes(written);
                    self.active_at = self.hub.now();
                    self.unread.remove_read(self.active_at, written);
                }
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {
                    self.reads_slowly = true;
                    return Ok(());
                }
                Err(error) => return Err(error.into()),
            }
        }
        release_if_empty(&mut self.output);
        Ok(())
    }

    /// Closes the sending side and reads until the peer closes, so that the peer can read the last
    /// answers: closing a connection with unread bytes would reset it.
    async fn linger(&mut self) {
        use tokio::io::AsyncWriteExt;
        if self.stream.shutdown().await.is_err() {
            return;
        }
        let begin = self.hub.now();
        let mut latest = begin + MAX_LINGER_TIME;
        let mut until = begin + LINGER_TIMEOUT;
        if self.reads_slowly {
            until = until.max(self.wanted_until);
            latest = begin + MAX_SLOW_LINGER_TIME;
        }
        let mut dropped = 0;
        while dropped <= MAX_LINGER_BYTES {
            let closes_at = self.hub.deadline(until.min(latest));
            let received = discard_some(&mut self.stream, &mut self.input);
            // After the timeout the connection is closed even if the peer has not closed it.
            let Ok(Ok(count @ 1..)) = timeout_at(closes_at, received).await else {
                return;
            };
            dropped += count;
            // The peer still uses the connection: it has not read the last answer yet.
            until = until.max(self.hub.now() + LINGER_TIMEOUT);
        }
    }
}
