//! Supervises the node processes: starts, stops, pauses and kills them, and probes readiness and
//! memory.

use std::fs::File;
use std::io;
use std::path::PathBuf;
use std::process::Stdio;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;
use tokio::process::{Child, Command};
use tokio::sync::mpsc;
use tokio::time::{interval, sleep, timeout};

use crate::deployment::{GRACE_PERIOD, Layout, MAX_MEMORY_KB};
use crate::soak::Soak;
use crate::wire::{Connection, encode_request};

/// Time beyond the grace period after which a stopping process is killed.
const GRACE_PERIOD_MARGIN: Duration = Duration::from_millis(500);
/// Time between the end of a process and its restart.
const RESTART_DELAY: Duration = Duration::from_millis(600);
/// Time between two signals during a stop.
const SIGNAL_INTERVAL: Duration = Duration::from_millis(300);
/// Time between two probes of readiness and memory.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);

/// Action of the schedule on a node's process.
#[derive(Clone, Copy, Debug)]
pub enum Action {
    /// Sends SIGTERM and restarts the process after its end.
    Stop,
    /// As `Stop`, with SIGHUP and a second SIGTERM while the process stops.
    StopWithSignals,
    /// Sends SIGKILL and restarts the process after this time.
    Kill(Duration),
    /// Sends SIGSTOP, and SIGCONT after this time.
    Pause(Duration),
    /// Sends SIGHUP, which makes the node read its settings again.
    Reload,
}

/// Paths of the program and of the files that a soak writes.
#[derive(Clone, Debug)]
pub struct Files {
    /// Path of the program.
    pub program: PathBuf,
    /// Folder for settings files and logs of the nodes.
    pub folder: PathBuf,
}

/// Keeps a node running until the channel of actions closes.
///
/// # Errors
///
/// Fails if the process cannot be started.
pub async fn supervise(
    soak: Arc<Soak>,
    node: usize,
    files: Files,
    mut actions: mpsc::UnboundedReceiver<Action>,
) -> io::Result<()> {
    loop {
        let mut child = start(&soak, node, &files)?;
        let pause = match run_until_exit(&soak, node, &mut child, &mut actions).await {
            Some(pause) => pause,
            None => return Ok(()),
        };
        soak.machines[node].is_ready.store(false, Ordering::Relaxed);
        sleep(pause).await;
        while actions.try_recv().is_ok() {}
    }
}

fn start(soak: &Arc<Soak>, node: usize, files: &Files) -> io::Result<Child> {
    let name = Layout::name(node);
    let settings = files.folder.join(format!("{name}.toml"));
    let earlier_starts = soak.machines[node]
        .incarnation
        .fetch_add(1, Ordering::Relaxed);
    std::fs::write(&settings, soak.layout.settings(node, earlier_starts == 0))?;
    let log = File::options()
        .create(true)
        .append(true)
        .open(files.folder.join(format!("{name}.log")))?;
    soak.checker().notices().on_node_frozen(node);
    Command::new(&files.program)
        .arg("--settings")
        .arg(&settings)
        .stdin(Stdio::null())
        .stdout(log.try_clone()?)
        .stderr(log)
        .kill_on_drop(true)
        .spawn()
}

/// Applies actions to a process until it ends; returns the time to wait before the restart, or
/// `None` if the soak is over.
async fn run_until_exit(
    soak: &Arc<Soak>,
    node: usize,
    child: &mut Child,
    actions: &mut mpsc::UnboundedReceiver<Action>,
) -> Option<Duration> {
    let mut probes = interval(PROBE_INTERVAL);
    loop {
        tokio::select! {
            biased;
            action = actions.recv() => match action {
                None => {
                    let _ = child.kill().await;
                    return None;
                }
                Some(Action::Reload) => signal(child, Signal::SIGHUP),
                Some(Action::Pause(length)) => {
                    signal(child, Signal::SIGSTOP);
                    sleep(length).await;
                    signal(child, Signal::SIGCONT);
                    soak.checker().notices().on_node_frozen(node);
                }
                Some(Action::Kill(down)) => {
                    let _ = child.kill().await;
                    return Some(down);
                }
                Some(Action::Stop) => {
                    stop(soak, node, child, &[]).await;
                    return Some(RESTART_DELAY);
                }
                Some(Action::StopWithSignals) => {
                    stop(soak, node, child, &[Signal::SIGHUP, Signal::SIGTERM]).await;
                    return Some(RESTART_DELAY);
                }
            },
            status = child.wait() => {
                let text = format!("ENDED node {node} exited unexpectedly: {status:?}");
                soak.checker().report_violation(soak.now(), &text);
                return Some(RESTART_DELAY);
            }
            _ = probes.tick() => probe(soak, node, child).await,
        }
    }
}

/// Stops a process with SIGTERM and reports a violation if it exceeds the grace period. The signals
/// in `more` are sent while it stops.
async fn stop(soak: &Arc<Soak>, node: usize, child: &mut Child, more: &[Signal]) {
    let begin = soak.now();
    soak.checker()
        .add_planned_stop(node, begin, begin + GRACE_PERIOD + Duration::from_secs(1));
    signal(child, Signal::SIGTERM);
    for later in more {
        sleep(SIGNAL_INTERVAL).await;
        signal(child, *later);
    }
    // No probe runs during the stop. The node is marked as not ready after one probe interval, so
    // that callers see this at most two intervals after the last probe.
    let machine = &soak.machines[node];
    let mark_unready = async {
        sleep(PROBE_INTERVAL).await;
        machine.is_ready.store(false, Ordering::Relaxed);
        std::future::pending::<()>().await;
    };
    let ended = tokio::select! {
        ended = timeout(GRACE_PERIOD + GRACE_PERIOD_MARGIN, child.wait()) => ended.is_ok(),
        () = mark_unready => false,
    };
    if !ended {
        let text = format!("GRACE node {node} was still running at the end of its grace period");
        soak.checker().report_violation(soak.now(), &text);
        let _ = child.kill().await;
    }
}

/// Sends a signal to a process that this soak started.
fn signal(child: &Child, signal: Signal) {
    let id = child.id().and_then(|id| i32::try_from(id).ok());
    if let Some(id) = id {
        // The process may have ended already; `run_until_exit` reports that.
        let _ = kill(Pid::from_raw(id), signal);
    }
}

/// Updates the readiness of a node and reports a violation if the node uses too much memory.
async fn probe(soak: &Arc<Soak>, node: usize, child: &Child) {
    let is_ready = timeout(Duration::from_millis(500), fetch_readiness(soak, node)).await;
    let is_ready = matches!(is_ready, Ok(Ok(200)));
    soak.machines[node]
        .is_ready
        .store(is_ready, Ordering::Relaxed);
    let used = child.id().and_then(memory_kb).unwrap_or(0);
    if used > MAX_MEMORY_KB {
        let text = format!("MEMORY node {node} uses {used} kB");
        soak.checker().report_violation(soak.now(), &text);
    }
}

async fn fetch_readiness(soak: &Arc<Soak>, node: usize) -> io::Result<u16> {
    let address = soak.layout.readiness(node);
    let stream = tokio::net::TcpStream::connect(address).await?;
    let mut connection = Connection::new(stream);
    let fields = [("Host", address.to_string())];
    let bytes = encode_request("GET", "/-/ready", &fields, b"");
    connection.write(&bytes).await?;
    Ok(connection.read_response().await?.status)
}

/// Returns the peak resident memory of a process, in kilobytes.
fn memory_kb(process: u32) -> Option<u64> {
    let status = std::fs::read_to_string(format!("/proc/{process}/status")).ok()?;
    let line = status.lines().find(|line| line.starts_with("VmHWM:"))?;
    line.split_whitespace().nth(1)?.parse().ok()
}
