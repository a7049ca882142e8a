//! Writes log records as JSON lines through a bounded queue, so that no task waits for the reader
//! of standard output.

use std::io::{self, Write};
use std::sync::mpsc::{Receiver, SyncSender, TrySendError, sync_channel};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use env_logger::fmt::Formatter;
use env_logger::{Env, Target};
use log::Record;
use log::kv::{Error, Key, Value, VisitSource};
use prometheus_client::metrics::counter::Counter;
use serde_json::{Map, Value as Json};

/// Lowest level that is logged if `RUST_LOG` is not set.
const DEFAULT_LEVEL: &str = "info";
/// Capacity of the queue, in lines.
const QUEUE_LINES: usize = 2_048;
/// Pause after each write, so that a burst of lines is written at once.
const WRITE_INTERVAL: Duration = Duration::from_millis(100);

/// Starts logging to standard output. Lines that do not fit into the queue are dropped and counted.
///
/// # Errors
///
/// Fails if the operating system refuses the writer's thread.
pub fn start(dropped: Counter) -> io::Result<()> {
    let (sender, receiver) = sync_channel(QUEUE_LINES);
    std::thread::Builder::new()
        .name("log".to_owned())
        .spawn(move || write_lines(&receiver))?;
    let queue = LineQueue { sender, dropped };
    let started = env_logger::Builder::from_env(Env::default().default_filter_or(DEFAULT_LEVEL))
        .target(Target::Pipe(Box::new(queue)))
        .format(write_record)
        .try_init();
    started.map_err(io::Error::other)
}

/// Queues lines without blocking; drops and counts them if the queue is full.
struct LineQueue {
    sender: SyncSender<Vec<u8>>,
    dropped: Counter,
}

impl Write for LineQueue {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        if let Err(TrySendError::Full(_)) = self.sender.try_send(line.to_vec()) {
            self.dropped.inc();
        }
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Writes the queued lines until a write fails. A reader that does not read blocks only this
/// thread.
fn write_lines(receiver: &Receiver<Vec<u8>>) {
    while let Ok(mut batch) = receiver.recv() {
        while let Ok(line) = receiver.try_recv() {
            batch.extend_from_slice(&line);
        }
        let mut output = io::stdout().lock();
        if output
            .write_all(&batch)
            .and_then(|()| output.flush())
            .is_err()
        {
            return;
        }
        drop(output);
        std::thread::sleep(WRITE_INTERVAL);
    }
}

fn write_record(formatter: &mut Formatter, record: &Record<'_>) -> io::Result<()> {
    let mut fields = Map::new();
    fields.insert("time".to_owned(), wall_seconds().into());
    fields.insert("level".to_owned(), record.level().as_str().into());
    fields.insert("message".to_owned(), record.args().to_string().into());
    record
        .key_values()
        .visit(&mut FieldCollector {
            fields: &mut fields,
        })
        .map_err(io::Error::other)?;
    serde_json::to_writer(&mut *formatter, &fields)?;
    writeln!(formatter)
}

/// Returns the wall-clock time in seconds since the Unix epoch. It may jump, and is for people
/// only.
#[expect(
    clippy::disallowed_methods,
    reason = "timestamp of a log line; no decision depends on it"
)]
fn wall_seconds() -> f64 {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    since_epoch.unwrap_or_default().as_secs_f64()
}

struct FieldCollector<'a> {
    fields: &'a mut Map<String, Json>,
}

impl<'kvs> VisitSource<'kvs> for FieldCollector<'_> {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), Error> {
        let json = if let Some(number) = value.to_u64() {
            number.into()
        } else if let Some(number) = value.to_f64() {
            number.into()
        } else if let Some(truth) = value.to_bool() {
            truth.into()
        } else {
            value.to_string().into()
        };
        self.fields.insert(key.as_str().to_owned(), json);
        Ok(())
    }
}
