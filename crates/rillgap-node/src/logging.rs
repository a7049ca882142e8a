//! Writes log records, one per line, with time, level, message and key-value fields.
//!
//! Each message begins with the name of its component, such as `caller: ` or `mesh: `.
//! `RUST_LOG` sets the level; the default is `info`.

use std::io::{self, Write};

use env_logger::Env;
use env_logger::fmt::Formatter;
use log::Record;
use log::kv::{Error, Key, Value, VisitSource};

/// Log level if `RUST_LOG` is not set.
const DEFAULT_LEVEL: &str = "info";

/// Installs the logger, which writes to standard error.
pub fn start() {
    env_logger::Builder::from_env(Env::default().default_filter_or(DEFAULT_LEVEL))
        .format(write_record)
        .init();
}

fn write_record(formatter: &mut Formatter, record: &Record<'_>) -> io::Result<()> {
    let timestamp = formatter.timestamp_millis();
    write!(
        formatter,
        "{timestamp} {:<5} {}",
        record.level(),
        record.args()
    )?;
    record
        .key_values()
        .visit(&mut FieldWriter { formatter })
        .map_err(io::Error::other)?;
    writeln!(formatter)
}

struct FieldWriter<'a> {
    formatter: &'a mut Formatter,
}

impl<'kvs> VisitSource<'kvs> for FieldWriter<'_> {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), Error> {
        write!(self.formatter, " {key}={value}").map_err(Error::from)
    }
}
