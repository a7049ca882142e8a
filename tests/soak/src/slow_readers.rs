//! Callers that read long answers slowly while nodes are stopped in series.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use nix::sys::socket::setsockopt;
use nix::sys::socket::sockopt::TcpMaxSeg;
use tokio::net::{TcpSocket, TcpStream};
use tokio::time::sleep;

use crate::caller::{self, Outgoing};
use crate::checker::LONG_BODY_PREFIX;
use crate::faults::Targets;
use crate::node;
use crate::soak::Soak;
use crate::wire::Connection;

/// Receive buffer of a slow reader, in bytes, so that answers wait at the node.
const RECEIVE_BUFFER_BYTES: u32 = 16 * 1024;
/// Segments of a slow reader's connection, in bytes, as on a network: the larger ones of the loopback
/// interface let the node's socket take a whole answer.
const SEGMENT_BYTES: u32 = 1_400;
/// Time between two reads: some 1 MB/s, so that an answer takes about 3 s.
const READ_INTERVAL: Duration = Duration::from_millis(16);
/// Time between two requests of a slow reader, in milliseconds: minimum and exclusive maximum.
const PAUSE_RANGE_MILLIS: (u64, u64) = (50, 250);
/// Deadline of a slow reader.
const DEADLINE: Duration = Duration::from_secs(6);
/// Number of nodes that are stopped in a cycle.
const STOPS_PER_CYCLE: usize = 4;
/// Time from the begin of a cycle to its first stop, and between two stops.
const STOP_INTERVAL: Duration = Duration::from_millis(1_700);

/// Sends requests for long answers to one node and reads them slowly, until the soak ends.
pub async fn run(soak: Arc<Soak>, node: usize) {
    loop {
        let (min, max) = PAUSE_RANGE_MILLIS;
        sleep(Duration::from_millis(min + soak.draw(max - min))).await;
        if !soak.machines[node].is_ready.load(Ordering::Relaxed) {
            continue;
        }
        let Ok(stream) = connect(&soak, node).await else {
            continue;
        };
        let mut connection = Some(Connection::new(stream).read_slowly(READ_INTERVAL));
        let outgoing = Outgoing {
            id: format!("{LONG_BODY_PREFIX}{}", soak.next_id()),
            method: "GET",
            target: "/deep/plain".to_owned(),
            body: Vec::new(),
            is_idempotent: true,
            is_call: false,
            is_of_retry: false,
            deadline: DEADLINE,
        };
        caller::exchange(&soak, node, &mut connection, &outgoing).await;
    }
}

async fn connect(soak: &Soak, node: usize) -> std::io::Result<TcpStream> {
    let socket = TcpSocket::new_v4()?;
    socket.set_recv_buffer_size(RECEIVE_BUFFER_BYTES)?;
    setsockopt(&socket, TcpMaxSeg, &SEGMENT_BYTES)?;
    socket.connect(soak.layout.callers(node)).await
}

/// Schedules the stops of one cycle, which overlap; `first` is the node that is stopped first.
pub fn begin_cycle(targets: &Arc<Targets>, first: usize) {
    let targets = targets.clone();
    tokio::spawn(async move {
        for number in 0..STOPS_PER_CYCLE {
            sleep(STOP_INTERVAL).await;
            let node = (first + number) % targets.nodes.len();
            // The channel is closed at the end of the soak.
            let _ = targets.nodes[node].send(node::Action::Stop);
        }
    });
}
