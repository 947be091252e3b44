//! A repeated submission at the leader, whose answers of the state service are held back for 1.96 s,
//! while the job is cancelled through another controller, which waits 1.8 s for the leader. No case:
//! the hold has to end between the end of that wait and the 2 s after which reads are given up.

use crate::Outcome;
use crate::cluster::{Cluster, Site, free_addresses};
use crate::http::call;
use crate::json::Json;
use crate::machines::{Cloud, Description, MachineType, Timing};
use crate::record::Record;
use crate::state::{Limits, State};
use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

const ROUNDS: usize = 14;
const RUN: Duration = Duration::from_secs(150);
const HOLD: Duration = Duration::from_millis(1_960);

fn site() -> Site {
    Site {
        zones: vec!["leuven-hall", "gent-dock", "liege-annex"],
        params: r#"[params]
nodes = 3
zones = ["leuven-hall", "gent-dock", "liege-annex"]
time_bound_ms = 25.0

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

fn standing(body: &str) -> String {
    Json::parse(body).and_then(|body| body.str("standing").map(str::to_owned)).unwrap_or_default()
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
        capacity: 8,
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
    let other = (leader + 1) % 3;
    let mut went_back = 0;
    for round in 1..=ROUNDS {
        let id = format!("j-{round:06}");
        cloud.descriptions.lock().expect("descriptions").insert(id.clone(), Description { run: RUN, cpus: 0.25 });
        let answer = call(nodes[leader].1, "POST", "/v1/jobs", &job_body(&id), Duration::from_secs(5));
        record.line(&format!("user: submits {id} to stall-{leader}: {answer:?}"));
        thread::sleep(Duration::from_millis(1_500));
        if trouble {
            *state.hold_until[leader].lock().expect("hold") = Some(Instant::now() + HOLD);
        }
        let (address, body, repeating) = (nodes[leader].1, job_body(&id), record.clone());
        let repeat = thread::spawn(move || {
            let answer = call(address, "POST", "/v1/jobs", &body, Duration::from_secs(5));
            (repeating.seconds(), answer)
        });
        thread::sleep(Duration::from_millis(3));
        let answer = call(nodes[other].1, "POST", &format!("/v1/jobs/{id}/abort"), "", Duration::from_secs(5));
        let told = record.seconds();
        let is_told = answer.as_ref().is_some_and(|(status, body)| *status == 200 && standing(body) == "aborted");
        let (at, repeated) = repeat.join().expect("a user");
        record.say(&format!("{id}: cancelled at stall-{other}, told at {told:.3}: {answer:?}; repeated at stall-{leader}, answered at {at:.3}: {repeated:?}"));
        if is_told && at > told && repeated.is_some_and(|(status, body)| status == 200 && standing(&body) != "aborted") {
            went_back += 1;
            record.say(&format!("went_back: {id}"));
        }
        thread::sleep(Duration::from_millis(2_500));
    }
    cluster.keep_logs();
    drop(cluster);
    record.say(&format!("{went_back} of {ROUNDS} cancellations were followed by an older answer"));
    if went_back > 0 { Outcome::Broken } else { Outcome::Held }
}
