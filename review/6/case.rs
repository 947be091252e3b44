//! Users ask about their jobs at all controllers, again and again, when the jobs' only tasks end,
//! while the answers of the state service to one controller take a few hundred milliseconds. Once
//! any controller has said that a job is done, none may say that it is queued or running.

use crate::Outcome;
use crate::cluster::{Cluster, Site, free_addresses};
use crate::http::call;
use crate::json::Json;
use crate::machines::{Cloud, Description, MachineType, Timing};
use crate::record::Record;
use crate::state::{Limits, State};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

const JOBS: usize = 10;
const RUN: Duration = Duration::from_secs(4);
/// "Responses normally take under 10 ms, and now and then a few hundred."
const SLOW_MS: u64 = 300;
const ASK_INTERVAL: Duration = Duration::from_millis(100);
/// An older answer counts only if it comes this long after the newer one.
const MARGIN_S: f64 = 0.05;

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
        r#"{{"id":"{id}","lotType":"allergen-labels","consignor":"kitchen-ops","saleFormat":"array","bidRank":"high","lots":1,"cores":4.0,"cards":0.0,"memGb":4.2,"catalog":"img-01","pullGb":0.5,"rigs":null,"yard":null,"oneZone":false,"scatter":false,"loaner":true,"appraisedS":4.0,"tallyS":0.0,"ledgerS":0.0,"hammerS":null}}"#
    )
}

struct Users {
    record: Arc<Record>,
    /// For each job: when and by which controller its user was first told that it is done.
    done: Mutex<BTreeMap<String, (f64, String)>>,
    went_back: Mutex<u32>,
    ended: AtomicBool,
}

impl Users {
    fn ask(&self, id: &str, (name, address): &(String, SocketAddr)) {
        let sent = self.record.seconds();
        let Some((status, body)) = call(*address, "GET", &format!("/v1/jobs/{id}"), "", Duration::from_secs(2)) else {
            return;
        };
        let now = self.record.seconds();
        let standing = Json::parse(&body).and_then(|body| body.str("standing").map(str::to_owned));
        let standing = standing.unwrap_or_default();
        self.record.line(&format!("user: {id} at {name}, asked at {sent:.3}: {status} {standing}"));
        let mut done = self.done.lock().expect("done");
        if status == 200 && standing == "done" {
            done.entry(id.to_owned()).or_insert((now, name.clone()));
        } else if status == 200
            && let Some((at, by)) = done.get(id)
            && now > at + MARGIN_S
        {
            let text = format!("went_back: {by} said done at {at:.3}, {name} says {standing} at {now:.3} of {id}");
            self.record.say(&text);
            *self.went_back.lock().expect("count") += 1;
        }
    }
}

pub fn run(root: &Path, folder: &Path, trouble: bool) -> Outcome {
    let record = Arc::new(Record::new(folder));
    let limits = Limits { rps: 250.0, write_rps: 100.0, value_kb: 16.0, txn_ops: 48, latency_ms: 5 };
    let (state, states) = State::start(limits, 0, 3);
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
        capacity: 6,
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
    let leader = cluster.leader().unwrap_or(0);
    let slow = (leader + 1) % 3;
    let users = Arc::new(Users {
        record: record.clone(),
        done: Mutex::default(),
        went_back: Mutex::new(0),
        ended: AtomicBool::new(false),
    });
    if trouble {
        state.extra_ms[slow].store(SLOW_MS, Ordering::SeqCst);
        record.say(&format!("the state service answers stall-{slow} in {SLOW_MS} ms more"));
    }
    let mut askers = Vec::new();
    for number in 0..JOBS {
        let id = format!("j-{:06}", 1 + number);
        let description = Description { run: RUN, cpus: 4.0 };
        cloud.descriptions.lock().expect("descriptions").insert(id.clone(), description);
        let answer = call(nodes[leader].1, "POST", "/v1/jobs", &job_body(&id), Duration::from_secs(5));
        record.line(&format!("user: submits {id} to stall-{leader}: {answer:?}"));
        if !answer.is_some_and(|(status, _)| status == 201) {
            record.say("a job is not accepted");
            return Outcome::CouldNotRun;
        }
        for node in nodes.clone() {
            let (users, id) = (users.clone(), id.clone());
            askers.push(thread::spawn(move || {
                thread::sleep(Duration::from_millis(37 * number as u64));
                while !users.ended.load(Ordering::SeqCst) {
                    let (asking, id, node) = (users.clone(), id.clone(), node.clone());
                    thread::spawn(move || asking.ask(&id, &node));
                    thread::sleep(ASK_INTERVAL);
                }
            }));
        }
        thread::sleep(Duration::from_millis(270));
    }
    for _ in 0..200 {
        thread::sleep(Duration::from_millis(200));
        if users.done.lock().expect("done").len() == JOBS {
            break;
        }
    }
    thread::sleep(Duration::from_secs(2));
    users.ended.store(true, Ordering::SeqCst);
    askers.into_iter().for_each(|asker| asker.join().expect("a user"));
    thread::sleep(Duration::from_secs(2));
    cluster.keep_logs();
    drop(cluster);
    let done = users.done.lock().expect("done").len();
    let went_back = *users.went_back.lock().expect("count");
    record.say(&format!("{done} of {JOBS} jobs are done; {went_back} older answers after that"));
    match (done, went_back) {
        (JOBS, 0) => Outcome::Held,
        (JOBS, _) => Outcome::Broken,
        _ => Outcome::CouldNotRun,
    }
}
