//! The controllers: real processes, started with the command of the deploy file.

use crate::record::Record;
use std::fs;
use std::net::{SocketAddr, TcpListener};
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

/// Free loopback addresses.
pub fn free_addresses(count: usize) -> Vec<SocketAddr> {
    let listeners: Vec<TcpListener> =
        (0..count).map(|_| TcpListener::bind("127.0.0.1:0").expect("a free port")).collect();
    listeners.iter().map(|listener| listener.local_addr().expect("an address")).collect()
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
        let child = Command::new(self.root.join(&self.command[0]))
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

    /// Sends a signal, such as `STOP` or `CONT`.
    pub fn signal(&self, node: usize, signal: &str) {
        if let Some(child) = &*self.processes[node].lock().expect("process") {
            let status = Command::new("kill").arg(format!("-{signal}")).arg(child.id().to_string()).status();
            self.record.say(&format!("stall-{node}: SIG{signal}, sent {}", status.is_ok_and(|status| status.success())));
        }
    }

    /// Whether the process has ended by itself.
    pub fn has_ended(&self, node: usize) -> bool {
        let mut process = self.processes[node].lock().expect("process");
        process.as_mut().is_some_and(|child| !matches!(child.try_wait(), Ok(None)))
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
