//! Proxies in front of the nodes' link addresses, which can cut one node off from the others.

use std::collections::BTreeMap;
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

/// Interval at which a held connection is checked.
const HOLD_INTERVAL: Duration = Duration::from_millis(10);

/// State that all proxies share.
#[derive(Clone, Default)]
pub struct Network {
    state: Arc<Mutex<State>>,
}

#[derive(Default)]
struct State {
    /// Process of each node.
    processes: BTreeMap<String, u32>,
    /// Node that is cut off.
    cut_off: Option<String>,
}

impl Network {
    /// Records the process of a node, by which the node's connections are recognised.
    pub fn add_process(&self, node: &str, process: u32) {
        self.lock().processes.insert(node.to_owned(), process);
    }

    /// Cuts a node off: bytes between it and the others are held, in both directions.
    pub fn cut_off(&self, node: &str) {
        self.lock().cut_off = Some(node.to_owned());
    }

    /// Starts a proxy in front of a node's link address; returns the address of the proxy.
    pub fn start_proxy(&self, node: &str, target: SocketAddr) -> io::Result<SocketAddr> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let (network, node) = (self.clone(), node.to_owned());
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (network, node) = (network.clone(), node.clone());
                thread::spawn(move || network.relay(&node, stream, target));
            }
        });
        Ok(address)
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(|error| error.into_inner())
    }

    fn relay(&self, node: &str, client: TcpStream, target: SocketAddr) -> Option<()> {
        let opener = self.opener(client.peer_addr().ok()?.port());
        self.wait_while_cut(&opener, node);
        let server = TcpStream::connect(target).ok()?;
        let _ = (client.set_nodelay(true), server.set_nodelay(true));
        let (client_copy, server_copy) = (client.try_clone().ok()?, server.try_clone().ok()?);
        let (network, ends) = (self.clone(), (opener.clone(), node.to_owned()));
        thread::spawn(move || network.pass(&ends, client_copy, server_copy));
        self.pass(&(opener, node.to_owned()), server, client);
        Some(())
    }

    fn pass(&self, ends: &(String, String), mut from: TcpStream, mut to: TcpStream) {
        let mut chunk = [0; 16 * 1024];
        while let Ok(length) = from.read(&mut chunk) {
            self.wait_while_cut(&ends.0, &ends.1);
            if length == 0 || to.write_all(&chunk[..length]).is_err() {
                break;
            }
        }
        let _ = to.shutdown(std::net::Shutdown::Both);
        let _ = from.shutdown(std::net::Shutdown::Both);
    }

    fn wait_while_cut(&self, opener: &str, node: &str) {
        loop {
            let is_cut = self
                .lock()
                .cut_off
                .as_ref()
                .is_some_and(|cut| cut == opener || cut == node);
            if !is_cut {
                return;
            }
            thread::sleep(HOLD_INTERVAL);
        }
    }

    /// Returns the node whose process has opened the connection from a local port.
    fn opener(&self, port: u16) -> String {
        let processes = self.lock().processes.clone();
        let Some(inode) = inode_of(port) else {
            return String::new();
        };
        let link = format!("socket:[{inode}]");
        let opener = processes
            .into_iter()
            .find(|(_, process)| has_descriptor(*process, &link));
        opener.map_or_else(String::new, |(node, _)| node)
    }
}

/// Returns the inode of the socket with a local port on the loopback address.
fn inode_of(port: u16) -> Option<String> {
    let table = std::fs::read_to_string("/proc/net/tcp").ok()?;
    let local = format!("0100007F:{port:04X}");
    let line = table
        .lines()
        .find(|line| line.split_whitespace().nth(1) == Some(&local))?;
    line.split_whitespace().nth(9).map(str::to_owned)
}

fn has_descriptor(process: u32, link: &str) -> bool {
    let Ok(descriptors) = std::fs::read_dir(format!("/proc/{process}/fd")) else {
        return false;
    };
    descriptors
        .flatten()
        .filter_map(|descriptor| std::fs::read_link(descriptor.path()).ok())
        .any(|target| target.to_string_lossy() == link)
}
