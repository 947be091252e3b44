//! A job that has waited for minutes needs machines of a type that are all busy. The leader is
//! restarted. A short job that fits on an idle machine of another type must not be left waiting.

use crate::Outcome;
use crate::cluster::{Cluster, Site, free_addresses};
use crate::http::call;
use crate::machines::{Cloud, Description, MachineType, Timing};
use crate::record::Record;
use crate::state::{Limits, State};
use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// "no job is left waiting for 90 s while a machine that fits has room"
const MAX_WAIT: Duration = Duration::from_secs(90);
/// How long ago the waiting job was accepted when the controllers start.
const AGE_MS: u128 = 200_000;
/// `catalog-photos` runs 250 s at most.
const LONG: Duration = Duration::from_secs(250);
const SHORT: Duration = Duration::from_secs(3);

fn site() -> Site {
    let teams: String = (0..10)
        .map(|n| {
            format!("[[params.teams]]\nname = \"auction-floor-{n:02}\"\ncpus = 32.0\ncpus_max = 96.0\ngpus = 0.0\ngpus_max = 0.0\n\n")
        })
        .collect();
    Site {
        zones: vec!["madison-yard", "watkinsville-office"],
        params: format!(
            r#"[params]
nodes = 3
zones = ["madison-yard", "watkinsville-office"]
time_bound_ms = 25.0

{teams}[[params.objectives]]
kind = "wait"
class = "lot-settlement"
within_s = 20.0
share = 0.96

[params.workers]
report_s = 3.0
lease_s = 45.0
gang_wait_s = 50.0
gang_peer_s = 4.0
cancel_s = 65.0

[params.state]
rps = 200.0
write_rps = 80.0
value_kb = 16.0
txn_ops = 48

[params.cloud]
rps = 4.0
list_lag_s = 6.0

[params.quota]
cores = 0.064
memory_mb = 136.0
max_connections = 3000
"#
        ),
    }
}

fn photos(id: &str) -> String {
    format!(
        r#"{{"appraisedS":250.0,"bidRank":"standard","cards":0.0,"catalog":"img-1","consignor":"auction-floor-00","cores":8.0,"hammerS":640.0,"id":"{id}","ledgerS":0.0,"loaner":true,"lotType":"catalog-photos","lots":6,"memGb":19.0,"oneZone":false,"pullGb":1.5,"rigs":null,"saleFormat":"array","scatter":false,"tallyS":0.0,"yard":null}}"#
    )
}

fn settlement(id: &str) -> String {
    format!(
        r#"{{"id":"{id}","lotType":"lot-settlement","consignor":"auction-floor-01","saleFormat":"array","bidRank":"high","lots":1,"cores":4.0,"cards":0.0,"memGb":7.5,"catalog":"img-2","pullGb":1.5,"rigs":null,"yard":null,"oneZone":false,"scatter":false,"loaner":true,"appraisedS":9.0,"tallyS":0.0,"ledgerS":0.0,"hammerS":null}}"#
    )
}

pub fn run(root: &Path, folder: &Path, trouble: bool) -> Outcome {
    let record = Arc::new(Record::new(folder));
    let limits = Limits { rps: 200.0, write_rps: 80.0, value_kb: 16.0, txn_ops: 48, latency_ms: 6 };
    let (state, states) = State::start(limits, 0, 3);
    let now = SystemTime::now().duration_since(UNIX_EPOCH).expect("the time of day").as_millis();
    state.preload("live/pool/term", r#"{"term":3}"#);
    let value = format!(r#"{{"accepted_ms":{},"spec":{}}}"#, now - AGE_MS, photos("j-000001"));
    state.preload("live/pool/job/j-000001", &value);
    record.line(&format!("state: holds {value}"));
    let addresses = free_addresses(6);
    let (listen, peer_listen) = addresses.split_at(3);
    let nodes: Vec<(String, SocketAddr)> =
        listen.iter().enumerate().map(|(i, &address)| (format!("stall-{i}"), address)).collect();
    let zones: Vec<String> = site().zones.iter().map(|zone| zone.to_string()).collect();
    let machine_type = |name, cpus, memory_gb, capacity| MachineType {
        name,
        cpus,
        memory_gb,
        zones: zones.clone(),
        boot: Duration::from_secs(2),
        capacity,
    };
    let types = vec![machine_type("ring-clerk", 4.0, 16.0, 1), machine_type("yard-hauler", 16.0, 64.0, 2)];
    let timing = Timing { report: Duration::from_secs(3), lease: Duration::from_secs(45) };
    let (cloud, cloud_address) = Cloud::start(types, nodes.clone(), timing, record.clone());
    for (id, run, cpus) in [("j-000001", LONG, 8.0), ("j-000002", SHORT, 4.0), ("j-000003", SHORT, 4.0)] {
        cloud.descriptions.lock().expect("descriptions").insert(id.into(), Description { run, cpus });
    }
    let routes = vec![peer_listen.to_vec(); 3];
    let cluster = Cluster::new(root, &site(), listen, peer_listen, &routes, &states, cloud_address, record.clone());
    (0..3).for_each(|node| cluster.start(node));
    if !cluster.await_health(Duration::from_secs(15)) {
        record.say("the controllers are not healthy");
        return Outcome::CouldNotRun;
    }
    let submit = |id: &str, node: usize| {
        let answer = call(nodes[node].1, "POST", "/v1/jobs", &settlement(id), Duration::from_secs(5));
        record.say(&format!("user: submits {id} to stall-{node}: {answer:?}"));
        answer.is_some_and(|(status, _)| status == 200 || status == 201)
    };
    let await_that = |limit: u64, what: &str, condition: &dyn Fn() -> bool| {
        let until = Instant::now() + Duration::from_secs(limit);
        while Instant::now() < until && !condition() {
            thread::sleep(Duration::from_millis(100));
        }
        record.say(&format!("{what}: {}", condition()));
        condition()
    };
    if !await_that(12, "four tasks of j-000001 run", &|| cloud.running_count() == 4) {
        return Outcome::CouldNotRun;
    }
    if !submit("j-000002", 0) || !await_that(12, "j-000002 has run on a ring-clerk", &|| {
        cloud.starts_of("j-000002/0") == 1 && cloud.running_count() == 4 && cloud.has_idle("ring-clerk")
    }) {
        return Outcome::CouldNotRun;
    }
    thread::sleep(Duration::from_secs(1));
    let leader = cluster.leader().unwrap_or(0);
    if trouble {
        cluster.kill(leader);
        cluster.start(leader);
    }
    thread::sleep(Duration::from_secs(1));
    if !cluster.await_health(Duration::from_secs(8)) || !submit("j-000003", (leader + 1) % 3) {
        return Outcome::CouldNotRun;
    }
    if record.seconds() > 28.0 {
        record.say("too late for a wait of 90 s");
        return Outcome::CouldNotRun;
    }
    let began = Instant::now();
    let mut idle = true;
    while began.elapsed() < MAX_WAIT && cloud.starts_of("j-000003/0") == 0 {
        thread::sleep(Duration::from_millis(500));
        let has_idle = cloud.has_idle("ring-clerk");
        if began.elapsed().as_millis() % 10_000 < 500 {
            let answer = call(nodes[(leader + 1) % 3].1, "GET", "/v1/jobs/j-000003", "", Duration::from_secs(2));
            let (count, running) = (cloud.machine_count(), cloud.running_count());
            record.say(&format!("user: polls j-000003: {answer:?}; {count} machines, {running} tasks run, a ring-clerk is idle: {has_idle}"));
        }
        idle &= has_idle || cloud.starts_of("j-000003/0") > 0;
    }
    let waited = began.elapsed();
    let started = cloud.starts_of("j-000003/0") > 0;
    cluster.keep_logs();
    drop(cluster);
    record.say(&format!("j-000003 waited {:.1} s, started: {started}, a ring-clerk was idle all the time: {idle}", waited.as_secs_f64()));
    match (started, idle) {
        (true, _) => Outcome::Held,
        (false, true) => Outcome::Broken,
        (false, false) => Outcome::CouldNotRun,
    }
}
