//! 800 accepted jobs are unfinished; the leader crashes and is back at once while users go on
//! polling. An accepted job must not be answered 404.

use crate::Outcome;
use crate::cluster::{Cluster, Site, free_addresses};
use crate::http::call;
use crate::machines::{Cloud, Description, MachineType, Timing};
use crate::record::Record;
use crate::state::{Limits, State};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::path::Path;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// `label-proofs`: 25 a second for 32 s.
const JOBS: usize = 800;
const SUBMIT_INTERVAL: Duration = Duration::from_millis(40);
/// `label-proofs` runs 150 s.
const RUN: Duration = Duration::from_secs(150);
const POLL_INTERVAL: Duration = Duration::from_secs(5);
const POLLERS: usize = 14;
/// Changes that the state service has made in its life before.
const EARLIER_CHANGES: u64 = 20_000;
/// "Leaders change ten times in two minutes."
const RESTARTS: usize = 10;
const RESTART_INTERVAL: Duration = Duration::from_millis(6_500);
/// For this long after a restart the requests to the state service are recorded.
const TRACED: Duration = Duration::from_millis(300);

fn site() -> Site {
    Site {
        zones: vec!["leuven-hall", "gent-dock", "liege-annex"],
        params: r#"[params]
nodes = 3
zones = ["leuven-hall", "gent-dock", "liege-annex"]
time_bound_ms = 25.0

[[params.teams]]
name = "kitchen-ops"
cpus = 0.0
cpus_max = 0.0
gpus = 0.0
gpus_max = 0.0

[[params.teams]]
name = "nutrition-lab"
cpus = 0.0
cpus_max = 0.0
gpus = 0.0
gpus_max = 0.0

[params.workers]
report_s = 5.0
lease_s = 31.0
gang_wait_s = 30.0
gang_peer_s = 4.0
cancel_s = 61.0

[params.state]
rps = 250.0
write_rps = 100.0
value_kb = 16.0
txn_ops = 48

[params.cloud]
rps = 10.0
list_lag_s = 6.0

[params.quota]
cores = 0.16
memory_mb = 136.0
max_connections = 2500
"#
        .into(),
    }
}

fn job_body(id: &str) -> String {
    format!(
        r#"{{"id":"{id}","lotType":"label-proofs","consignor":"nutrition-lab","saleFormat":"array","bidRank":"low","lots":1,"cores":0.25,"cards":0.0,"memGb":0.45,"catalog":"img-01","pullGb":0.5,"rigs":null,"yard":null,"oneZone":false,"scatter":false,"loaner":true,"appraisedS":150.0,"tallyS":0.0,"ledgerS":0.0,"hammerS":null}}"#
    )
}

struct Users {
    nodes: Vec<(String, SocketAddr)>,
    accepted: Mutex<BTreeSet<String>>,
    /// Accepted jobs that were answered 404, with the controller.
    forgotten: Mutex<BTreeMap<String, String>>,
    turn: AtomicUsize,
    ended: AtomicBool,
    record: Arc<Record>,
}

impl Users {
    fn submit(&self, id: &str) {
        for _ in 0..20 {
            let (name, address) = &self.nodes[self.turn.fetch_add(1, Ordering::SeqCst) % self.nodes.len()];
            let answer = call(*address, "POST", "/v1/jobs", &job_body(id), Duration::from_secs(5));
            self.record.line(&format!("user: submits {id} to {name}: {answer:?}"));
            if answer.is_some_and(|(status, _)| status == 200 || status == 201) {
                self.accepted.lock().expect("accepted").insert(id.into());
                return;
            }
            thread::sleep(Duration::from_secs(1));
        }
    }

    /// Polls a job at one controller. A poll without an answer is made again later.
    fn poll(&self, id: &str, node: usize) -> Option<u16> {
        let (name, address) = &self.nodes[node];
        let answer = call(*address, "GET", &format!("/v1/jobs/{id}"), "", Duration::from_secs(2));
        let status = answer.as_ref().map(|(status, _)| *status);
        self.record.line(&format!("user: polls {id} at {name}: {answer:?}"));
        if status == Some(404) {
            let mut forgotten = self.forgotten.lock().expect("forgotten");
            if forgotten.is_empty() {
                self.record.say(&format!("forgotten: the accepted {id} is answered 404 by {name}"));
            }
            forgotten.insert(id.into(), name.clone());
        }
        status
    }

    /// Polls every accepted job of one share every 5 s, at any controller.
    fn poll_share(&self, share: usize) {
        thread::sleep(Duration::from_millis(7 * share as u64));
        while !self.ended.load(Ordering::SeqCst) {
            let began = Instant::now();
            let ids: Vec<String> = self.accepted.lock().expect("accepted").iter().cloned().collect();
            let mine: Vec<&String> = ids.iter().skip(share).step_by(POLLERS).collect();
            let pause = POLL_INTERVAL / (mine.len().max(1) as u32);
            for id in mine {
                let next = Instant::now() + pause;
                let node = self.turn.fetch_add(1, Ordering::SeqCst) % self.nodes.len();
                self.poll(id, node);
                if self.ended.load(Ordering::SeqCst) {
                    return;
                }
                thread::sleep(next.saturating_duration_since(Instant::now()));
            }
            if began.elapsed() < Duration::from_millis(100) {
                thread::sleep(Duration::from_millis(100));
            }
        }
    }
}

pub fn run(root: &Path, folder: &Path, trouble: bool) -> Outcome {
    let record = Arc::new(Record::new(folder));
    let limits = Limits { rps: 250.0, write_rps: 100.0, value_kb: 16.0, txn_ops: 48, latency_ms: 5 };
    let (state, states) = State::start(limits, EARLIER_CHANGES, 3);
    let addresses = free_addresses(6);
    let (listen, peer_listen) = addresses.split_at(3);
    let nodes: Vec<(String, SocketAddr)> =
        listen.iter().enumerate().map(|(i, &address)| (format!("stall-{i}"), address)).collect();
    let rack = MachineType {
        name: "pantry-rack",
        cpus: 16.0,
        memory_gb: 32.0,
        zones: site().zones.iter().map(|zone| zone.to_string()).collect(),
        boot: Duration::from_secs(2),
        capacity: 14,
    };
    let timing = Timing { report: Duration::from_secs(5), lease: Duration::from_secs(31) };
    let (cloud, cloud_address) = Cloud::start(vec![rack], nodes.clone(), timing, record.clone());
    let routes = vec![peer_listen.to_vec(); 3];
    let cluster = Cluster::new(root, &site(), listen, peer_listen, &routes, &states, cloud_address, record.clone());
    (0..3).for_each(|node| cluster.start(node));
    if !cluster.await_health(Duration::from_secs(15)) {
        record.say("the controllers are not healthy");
        return Outcome::CouldNotRun;
    }
    thread::sleep(Duration::from_secs(2));
    let users = Arc::new(Users {
        nodes,
        accepted: Mutex::default(),
        forgotten: Mutex::default(),
        turn: AtomicUsize::new(0),
        ended: AtomicBool::new(false),
        record: record.clone(),
    });
    let pollers: Vec<_> = (0..POLLERS)
        .map(|share| {
            let users = users.clone();
            thread::spawn(move || users.poll_share(share))
        })
        .collect();
    let mut submitters = Vec::new();
    for number in 0..JOBS {
        let id = format!("j-{:06}", 1 + number);
        let description = Description { run: RUN, cpus: 0.25 };
        cloud.descriptions.lock().expect("descriptions").insert(id.clone(), description);
        let users = users.clone();
        submitters.push(thread::spawn(move || users.submit(&id)));
        thread::sleep(SUBMIT_INTERVAL);
    }
    submitters.into_iter().for_each(|submitter| submitter.join().expect("a user"));
    thread::sleep(Duration::from_secs(2));
    let accepted = users.accepted.lock().expect("accepted").len();
    let (machines, running) = (cloud.machine_count(), cloud.running_count());
    record.say(&format!("{accepted} jobs accepted, {machines} machines, {running} tasks run, leader {:?}", cluster.leader()));
    // The leader, as on the site's day with `label-proofs`, and again until the rule is broken.
    for _ in 0..RESTARTS {
        if !users.forgotten.lock().expect("forgotten").is_empty() {
            break;
        }
        *state.trace.lock().expect("trace") = Some(record.clone());
        let leader = cluster.leader().unwrap_or(0);
        if trouble {
            cluster.kill(leader);
            cluster.start(leader);
        }
        thread::sleep(TRACED);
        *state.trace.lock().expect("trace") = None;
        thread::sleep(RESTART_INTERVAL - TRACED);
        let (running, leader) = (cloud.running_count(), cluster.leader());
        record.say(&format!("{:.1} s later: {running} tasks run, leader {leader:?}", RESTART_INTERVAL.as_secs_f64()));
    }
    thread::sleep(Duration::from_secs(3));
    users.ended.store(true, Ordering::SeqCst);
    pollers.into_iter().for_each(|poller| poller.join().expect("a user"));
    let ids: Vec<String> = users.accepted.lock().expect("accepted").iter().cloned().collect();
    for node in 0..3 {
        let mut statuses: BTreeMap<Option<u16>, usize> = BTreeMap::new();
        for id in ids.iter().step_by(20) {
            *statuses.entry(users.poll(id, node)).or_default() += 1;
        }
        record.say(&format!("every twentieth accepted job, polled at stall-{node}: {statuses:?}"));
    }
    let forgotten = users.forgotten.lock().expect("forgotten").len();
    cluster.keep_logs();
    drop(cluster);
    record.say(&format!("{forgotten} of {accepted} accepted jobs were answered 404"));
    match (accepted, forgotten) {
        (JOBS, 0) => Outcome::Held,
        (JOBS, _) => Outcome::Broken,
        _ => Outcome::CouldNotRun,
    }
}
