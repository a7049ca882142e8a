//! Starts the threads of the daemon; each runs one or more duties on its own runtime.

use std::io;
use std::pin::Pin;
use std::process;
use std::thread;

use rillgap_core::code::ResultCode;
use tokio::runtime::Builder;
use tokio::task::JoinSet;

use crate::settings::ThreadLayout;

/// Future that runs a duty.
pub type DutyFuture = Pin<Box<dyn Future<Output = ()> + Send>>;

/// A duty with the data needed to assign it to a thread.
pub struct Duty {
    /// Name of the duty, and of its thread if it runs alone there.
    pub name: &'static str,
    /// Whether requests of callers pass through the duty.
    pub is_on_data_path: bool,
    /// Runs the duty; completes only when the process ends or the duty has nothing to do.
    pub future: DutyFuture,
}

/// Ends the process with [`ResultCode::Internal`] when any thread panics.
///
/// A node must not continue without one of its duties. When the process ends, its connections
/// close, so its peers detect the failure at once.
pub fn exit_on_panic() {
    let default = std::panic::take_hook();
    std::panic::set_hook(Box::new(move |panic| {
        default(panic);
        log::error!(code = ResultCode::Internal.number(); "node: a duty panicked, ending the process");
        process::exit(i32::from(ResultCode::Internal.number()));
    }));
}

/// Starts the threads that run the duties.
///
/// # Errors
///
/// Fails if a thread cannot be started.
pub fn start(duties: Vec<Duty>, layout: ThreadLayout) -> io::Result<()> {
    for (name, group) in group(duties, layout) {
        start_thread(name, group)?;
    }
    Ok(())
}

/// Groups duties by the thread that runs them.
fn group(duties: Vec<Duty>, layout: ThreadLayout) -> Vec<(&'static str, Vec<Duty>)> {
    match layout {
        ThreadLayout::Each => duties
            .into_iter()
            .map(|duty| (duty.name, vec![duty]))
            .collect(),
        ThreadLayout::Paired => {
            let (data_path, control): (Vec<_>, Vec<_>) =
                duties.into_iter().partition(|duty| duty.is_on_data_path);
            vec![("data-path", data_path), ("control", control)]
        }
        ThreadLayout::Single => vec![("duties", duties)],
    }
}

fn start_thread(name: &str, duties: Vec<Duty>) -> io::Result<()> {
    let runtime = Builder::new_current_thread().enable_all().build()?;
    thread::Builder::new()
        .name(name.to_owned())
        .spawn(move || runtime.block_on(run(duties)))?;
    Ok(())
}

async fn run(duties: Vec<Duty>) {
    let mut tasks = JoinSet::new();
    for duty in duties {
        tasks.spawn(duty.future);
    }
    while tasks.join_next().await.is_some() {}
}
