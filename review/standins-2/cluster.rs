//! The controllers: real processes, started with the command of the deploy file.

use crate::record::Record;
use std::fs;
use std::net::{SocketAddr, TcpListener};
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

pub struct Site {
    pub zones: Vec<&'static str>,
    /// `[params]` of the settings file, as the site file has them.
    pub params: String,
}

pub struct Cluster {
    root: PathBuf,
    folder: PathBuf,
    command: Vec<String>,
    processes: Vec<Mutex<Option<Child>>>,
    pub nodes: Vec<(String, SocketAddr)>,
    record: Arc<Record>,
}

/// Free loopback addresses, on ports that the system doesn't give to outgoing connections, so that a
/// controller finds its own free again when it is restarted.
pub fn free_addresses(count: usize) -> Vec<SocketAddr> {
    let first = 20_000 + (std::process::id() % 500 * 24) as u16;
    let ports = (first..32_000).chain(20_000..first);
    let listeners = ports.filter_map(|port| TcpListener::bind(("127.0.0.1", port)).ok()).take(count);
    let listeners: Vec<TcpListener> = listeners.collect();
    listeners.iter().map(|listener| listener.local_addr().expect("an address")).collect()
}

unsafe extern "C" {
    fn prctl(option: i32, argument: u64) -> i32;
}

/// Makes the system kill the process when this one ends, also when it is killed.
fn end_with_this_process(command: &mut Command) {
    const PR_SET_PDEATHSIG: i32 = 1;
    const SIGKILL: u64 = 9;
    // Nothing but a system call between fork and exec.
    unsafe {
        command.pre_exec(|| {
            prctl(PR_SET_PDEATHSIG, SIGKILL);
            Ok(())
        });
    }
}

impl Cluster {
    /// Prepares `listen.len()` controllers. `peer_route[i][j]` is the address by which controller
    /// `i` reaches `j`.
    pub fn new(
        root: &Path,
        site: &Site,
        listen: &[SocketAddr],
        peer_listen: &[SocketAddr],
        peer_route: &[Vec<SocketAddr>],
        states: &[SocketAddr],
        cloud: SocketAddr,
        record: Arc<Record>,
    ) -> Cluster {
        let folder = std::env::temp_dir().join(format!("sumacbend-review-{}", std::process::id()));
        fs::create_dir_all(&folder).expect("a temporary folder");
        let deploy = fs::read_to_string(root.join("deploy/service.toml")).expect("the deploy file");
        let run = deploy.lines().find_map(|line| line.strip_prefix("run = \"")).expect("a command to run");
        let command = run.trim_end_matches('"').split_whitespace().map(str::to_owned).collect();
        let count = listen.len();
        for i in 0..count {
            let zone = |node: usize| site.zones[node % site.zones.len()];
            let mut text = format!(
                "node = \"stall-{i}\"\nlocation = \"{}\"\nserve_on = \"{}\"\npeer_listen = \"{}\"\n",
                zone(i),
                listen[i],
                peer_listen[i]
            );
            for j in (0..count).filter(|&j| j != i) {
                text += &format!(
                    "\n[[seeds]]\nnode = \"stall-{j}\"\nlocation = \"{}\"\naddress = \"{}\"\n",
                    zone(j),
                    peer_route[i][j]
                );
            }
            text += &format!("\n[external]\ncloud = \"{cloud}\"\nstate = \"{}\"\n\n{}", states[i], site.params);
            fs::write(folder.join(format!("{i}.toml")), text).expect("a settings file");
        }
        Cluster {
            root: root.to_owned(),
            folder,
            command,
            processes: (0..count).map(|_| Mutex::new(None)).collect(),
            nodes: listen.iter().enumerate().map(|(i, &address)| (format!("stall-{i}"), address)).collect(),
            record,
        }
    }

    /// Starts a controller. Its log goes to the temporary folder.
    pub fn start(&self, node: usize) {
        let log = fs::OpenOptions::new().create(true).append(true).open(self.log(node)).expect("a log");
        let mut command = Command::new(self.root.join(&self.command[0]));
        end_with_this_process(&mut command);
        let child = command
            .args(&self.command[1..])
            .arg(self.folder.join(format!("{node}.toml")))
            .env("LOG_LEVEL", std::env::var("LOG_LEVEL").unwrap_or("info".into()))
            .current_dir(&self.root)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .spawn()
            .expect("the controller starts");
        self.record.say(&format!("stall-{node} is started"));
        *self.processes[node].lock().expect("process") = Some(child);
    }

    fn log(&self, node: usize) -> PathBuf {
        self.folder.join(format!("{node}.log"))
    }

    /// Kills a controller.
    pub fn kill(&self, node: usize) {
        if let Some(mut child) = self.processes[node].lock().expect("process").take() {
            let _ = child.kill();
            let _ = child.wait();
            self.record.say(&format!("stall-{node} is killed"));
        }
    }

    /// The controller that last logged that it took over, among those that run.
    pub fn leader(&self) -> Option<usize> {
        let taken = |node: usize| {
            let text = fs::read_to_string(self.log(node)).ok()?;
            let line = text.lines().rev().find(|line| line.contains("took over the shard"))?;
            let term = line.split("term=").nth(1)?.split_whitespace().next()?;
            term.parse::<u64>().ok()
        };
        (0..self.nodes.len()).filter_map(|node| Some((taken(node)?, node))).max().map(|(_, node)| node)
    }

    /// Waits until all controllers are healthy and one leads.
    pub fn await_health(&self, limit: Duration) -> bool {
        let until = Instant::now() + limit;
        while Instant::now() < until {
            let healthy = |address: &SocketAddr| {
                let answer = crate::http::call(*address, "GET", "/healthz", "", Duration::from_secs(1));
                answer.is_some_and(|(status, _)| status == 200)
            };
            if self.nodes.iter().all(|(_, address)| healthy(address)) && self.leader().is_some() {
                return true;
            }
            thread::sleep(Duration::from_millis(100));
        }
        false
    }

    /// Copies the logs' lines into the record.
    pub fn keep_logs(&self) {
        for node in 0..self.nodes.len() {
            if let Ok(text) = fs::read_to_string(self.log(node)) {
                for line in text.lines().filter(|line| !line.contains(" DEBUG ")).take(400) {
                    self.record.line(&format!("log of stall-{node}: {line}"));
                }
            }
        }
    }
}

impl Drop for Cluster {
    fn drop(&mut self) {
        for node in 0..self.nodes.len() {
            self.kill(node);
        }
        if std::env::var_os("KEEP").is_none() {
            let _ = fs::remove_dir_all(&self.folder);
        }
    }
}
