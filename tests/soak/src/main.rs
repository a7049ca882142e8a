//! Command line of the soak.

use std::io;
use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::Arc;
use std::time::Duration;

use argh::FromArgs;
use tokio::sync::mpsc;
use tokio::time::sleep;

use rillgap_soak::deployment::{DEFAULT_NODES, Layout, MAX_NODES, RETRY_SLACK, TIGHT_RETRY_SLACK};
use rillgap_soak::faults::{ExtraFaults, Proxies, Schedule, Targets};
use rillgap_soak::node::Files;
use rillgap_soak::proxy::Proxy;
use rillgap_soak::retry_pressure::MIDDLE_CALLS;
use rillgap_soak::soak::Soak;
use rillgap_soak::{back_end, caller, false_claims, node, operator, slow_readers};

/// Time for the nodes to start before callers and the schedule begin.
const START_TIME: Duration = Duration::from_secs(4);

/// Soaks rillgap-fleet: runs real processes and injects faults by proxies and signals.
#[derive(Debug, FromArgs)]
struct Arguments {
    /// seed of the schedule
    #[argh(option, default = "1")]
    seed: u64,
    /// duration in seconds; the last cycle is completed
    #[argh(option, default = "60")]
    seconds: u64,
    /// path of the rillgap-fleet program
    #[argh(option, default = "PathBuf::from(\"target/release/rillgap-fleet\")")]
    program: PathBuf,
    /// folder for settings files and logs
    #[argh(option, default = "PathBuf::from(\"target/soak\")")]
    folder: PathBuf,
    /// second byte of the loopback addresses, so that several soaks can run side by side
    #[argh(option, default = "77")]
    network: u8,
    /// number of machines, each with a node process, a back end and callers
    #[argh(option, default = "DEFAULT_NODES")]
    nodes: usize,
    /// restore the store from backups, and restart back ends under the identifier that they had
    #[argh(switch)]
    renewals: bool,
    /// let back ends fail at several levels under a small retry budget, and kill nodes in series
    #[argh(switch)]
    retry_pressure: bool,
    /// let back ends reject requests and send some of the rejections a second time, late
    #[argh(switch)]
    late_rejections: bool,
    /// let callers read long answers slowly while nodes are stopped in series
    #[argh(switch)]
    slow_readers: bool,
    /// let back ends deliver answers in pieces, before a reset or close, or several times
    #[argh(switch)]
    rough_answers: bool,
    /// let back ends send bytes without end in place of answers
    #[argh(switch)]
    endless_answers: bool,
    /// set nodes to more retries than the budget allows: the soak must report it
    #[argh(switch)]
    excess_retries: bool,
    /// report some requests as not run on the links to half of the nodes: the soak must report it
    #[argh(switch)]
    false_claims: bool,
    /// number of callers on each machine
    #[argh(option, default = "3")]
    callers: usize,
}

#[tokio::main]
async fn main() -> ExitCode {
    let arguments: Arguments = argh::from_env();
    match run(&arguments).await {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(error) => {
            eprintln!("soak: {error}");
            ExitCode::from(2)
        }
    }
}

/// Runs a soak; returns whether no violation was found.
async fn run(arguments: &Arguments) -> io::Result<bool> {
    if arguments.nodes == 0 || arguments.nodes > MAX_NODES {
        let text = format!("--nodes must be from 1 to {MAX_NODES}");
        return Err(io::Error::new(io::ErrorKind::InvalidInput, text));
    }
    let layout = Layout {
        network: arguments.network,
        nodes: arguments.nodes,
        retry_slack: if arguments.retry_pressure {
            TIGHT_RETRY_SLACK
        } else {
            RETRY_SLACK
        },
        has_excess_retries: arguments.excess_retries,
    };
    let folder = arguments.folder.join(format!("seed-{}", arguments.seed));
    if folder.exists() {
        std::fs::remove_dir_all(&folder)?;
    }
    std::fs::create_dir_all(&folder)?;
    let files = Files {
        program: arguments.program.clone(),
        folder,
    };
    let middle_calls = if arguments.retry_pressure {
        MIDDLE_CALLS
    } else {
        1
    };
    let soak = Soak::new(layout, arguments.seed, arguments.renewals, middle_calls);
    if arguments.renewals {
        soak.store.start_backups();
    }
    operator::configure(&soak);
    let (targets, supervisors) = start(&soak, &files, arguments.false_claims).await?;
    sleep(START_TIME).await;
    for node in 0..layout.nodes {
        for _ in 0..arguments.callers {
            tokio::spawn(caller::run(soak.clone(), node));
        }
        if arguments.slow_readers {
            tokio::spawn(slow_readers::run(soak.clone(), node));
        }
    }
    let extra = ExtraFaults {
        retry_pressure: arguments.retry_pressure,
        late_rejections: arguments.late_rejections,
        slow_readers: arguments.slow_readers,
        rough_answers: arguments.rough_answers,
        endless_answers: arguments.endless_answers,
    };
    let mut schedule = Schedule::new(soak.clone(), targets, arguments.seed, extra);
    let end = Duration::from_secs(arguments.seconds);
    while soak.now() < end {
        schedule.cycle().await;
    }
    // Dropping the schedule closes the channels of actions; the supervisors then kill their
    // processes.
    drop(schedule);
    for supervisor in supervisors {
        let _ = supervisor.await;
    }
    Ok(conclude(&soak, arguments.seed))
}

async fn start(
    soak: &Arc<Soak>,
    files: &Files,
    has_false_claims: bool,
) -> io::Result<(Targets, Vec<tokio::task::JoinHandle<()>>)> {
    let mut targets = Targets {
        proxies: Vec::new(),
        nodes: Vec::new(),
        back_ends: Vec::new(),
    };
    let mut supervisors = Vec::new();
    for node in 0..soak.layout.nodes {
        let claims_falsely = has_false_claims && node % 2 == 0;
        targets
            .proxies
            .push(start_proxies(soak, node, claims_falsely).await?);
        let (actions, received) = mpsc::unbounded_channel();
        targets.back_ends.push(actions);
        tokio::spawn(back_end::supervise(soak.clone(), node, received));
        let (actions, received) = mpsc::unbounded_channel();
        targets.nodes.push(actions);
        let process = supervise_node(soak.clone(), node, files.clone(), received);
        supervisors.push(tokio::spawn(process));
    }
    Ok((targets, supervisors))
}

/// Keeps a node running; a process that cannot be started is a violation.
async fn supervise_node(
    soak: Arc<Soak>,
    node: usize,
    files: Files,
    actions: mpsc::UnboundedReceiver<node::Action>,
) {
    if let Err(error) = node::supervise(soak.clone(), node, files, actions).await {
        let text = format!("START node {node}: {error}");
        soak.checker().report_violation(soak.now(), &text);
    }
}

async fn start_proxies(soak: &Arc<Soak>, node: usize, claims_falsely: bool) -> io::Result<Proxies> {
    let (mesh, mesh_proxy) = soak.layout.mesh(node);
    let (back_end, back_end_proxy) = soak.layout.back_end(node);
    let (store, store_proxy) = soak.layout.store(node);
    soak.store.listen(node, store).await?;
    Ok(Proxies {
        mesh: if claims_falsely {
            let tampering = soak.layout.tampering(node);
            false_claims::start(tampering, mesh).await?;
            Proxy::start(mesh_proxy, tampering).await?
        } else {
            Proxy::start(mesh_proxy, mesh).await?
        },
        back_end: Proxy::start(back_end_proxy, back_end).await?,
        store: Proxy::start(store_proxy, store).await?,
    })
}

fn conclude(soak: &Arc<Soak>, seed: u64) -> bool {
    let now = soak.now();
    let mut checker = soak.checker();
    checker.conclude(now);
    let totals = checker.totals();
    println!(
        "seed {seed}: {} asked, {} served, {} refused, {} failed, {} left, {} denied; {} broken promises",
        totals.requests,
        totals.served,
        totals.refused,
        totals.failed,
        totals.cancelled,
        totals.denied,
        checker.violation_count()
    );
    for (service, share) in checker.retries().peak_shares() {
        let percent = share * 100.0;
        println!("retries of {service}: at most {percent:.0}% of the budget in a window");
    }
    for violation in checker.violations() {
        println!("BROKEN {violation}");
    }
    checker.violation_count() == 0
}
