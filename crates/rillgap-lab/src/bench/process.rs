//! Processor time and memory of another process, as the operating system tells them.

use std::fs;
use std::time::Duration;

/// Clock ticks per second in which the system counts processor time (`USER_HZ`).
const TICKS_PER_SECOND: u64 = 100;
/// Position of the user time among the fields after the command's name.
const USER_TIME_FIELD: usize = 11;
/// Bytes of a kibibyte, in which the system counts memory.
const KIBIBYTE: u64 = 1024;

/// Why the usage of a process cannot be read.
#[derive(Debug, thiserror::Error)]
pub enum ProcessError {
    /// There is no such process, or it belongs to somebody else.
    #[error("usage of process {process} cannot be read: {source}")]
    Unreadable {
        /// Identifier of the process.
        process: u32,
        /// What the system reported.
        source: std::io::Error,
    },
    /// The system's report has another form.
    #[error("usage of process {process} has an unknown form")]
    Malformed {
        /// Identifier of the process.
        process: u32,
    },
}

/// What a process has used.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ProcessUsage {
    /// Processor time since its start, in user mode and in the kernel.
    pub processor_time: Duration,
    /// Resident memory now.
    pub resident_bytes: u64,
}

impl ProcessUsage {
    /// Reads the usage of a process.
    ///
    /// # Errors
    ///
    /// Returns [`ProcessError`] if there is no such process.
    pub fn read(process: u32) -> Result<Self, ProcessError> {
        let malformed = ProcessError::Malformed { process };
        let stat = read_file(process, "stat")?;
        let status = read_file(process, "status")?;
        let (Some(processor_time), Some(resident_bytes)) =
            (parse_processor_time(&stat), parse_resident_bytes(&status))
        else {
            return Err(malformed);
        };
        Ok(Self {
            processor_time,
            resident_bytes,
        })
    }
}

fn read_file(process: u32, name: &str) -> Result<String, ProcessError> {
    fs::read_to_string(format!("/proc/{process}/{name}"))
        .map_err(|source| ProcessError::Unreadable { process, source })
}

fn parse_processor_time(stat: &str) -> Option<Duration> {
    // The command's name stands in parentheses and may hold spaces.
    let (_, fields) = stat.rsplit_once(')')?;
    let mut times = fields.split_whitespace().skip(USER_TIME_FIELD);
    let user: u64 = times.next()?.parse().ok()?;
    let system: u64 = times.next()?.parse().ok()?;
    Some(Duration::from_millis(
        (user + system) * 1_000 / TICKS_PER_SECOND,
    ))
}

fn parse_resident_bytes(status: &str) -> Option<u64> {
    let line = status.lines().find(|line| line.starts_with("VmRSS:"))?;
    let kibibytes: u64 = line.split_whitespace().nth(1)?.parse().ok()?;
    Some(kibibytes * KIBIBYTE)
}
