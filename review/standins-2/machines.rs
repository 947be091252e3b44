//! The cloud and its machines, each with a worker, as PROTOCOL says.

use crate::http::{self, Request};
use crate::json::Json;
use crate::record::Record;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

pub struct MachineType {
    pub name: &'static str,
    pub cpus: f64,
    pub memory_gb: f64,
    pub zones: Vec<String>,
    pub boot: Duration,
    /// The most machines of this type at once.
    pub capacity: usize,
}

/// What users upload for workers to fetch: the run time of each job's tasks and their size.
#[derive(Clone, Copy)]
pub struct Description {
    pub run: Duration,
    pub cpus: f64,
}

pub struct Cloud {
    types: Vec<MachineType>,
    machines: Mutex<BTreeMap<String, Arc<Machine>>>,
    slips: Mutex<BTreeMap<String, Vec<String>>>,
    last_name: AtomicU64,
    pub descriptions: Mutex<BTreeMap<String, Description>>,
    /// For each task that is on a machine: the machines it is on.
    on_machines: Mutex<BTreeMap<String, Vec<String>>>,
    /// Tasks that started on a machine while they were on another.
    pub ran_twice: Mutex<Vec<String>>,
    /// Number of starts of each task.
    pub starts: Mutex<BTreeMap<String, u32>>,
    nodes: Vec<(String, SocketAddr)>,
    report: Duration,
    lease: Duration,
    record: Arc<Record>,
}

pub struct Timing {
    pub report: Duration,
    pub lease: Duration,
}

struct Task {
    run: Option<Instant>,
    state: &'static str,
    why: Option<&'static str>,
}

struct Worker {
    day: u64,
    count: u64,
    token: u64,
    lots: BTreeMap<(String, u64), Task>,
    answered: Instant,
    changed: bool,
}

pub struct Machine {
    pub name: String,
    type_ix: usize,
    zone: String,
    spot: bool,
    requested: Instant,
    address: Mutex<Option<SocketAddr>>,
    gone: AtomicBool,
    worker: Mutex<Worker>,
}

impl Cloud {
    pub fn start(types: Vec<MachineType>, nodes: Vec<(String, SocketAddr)>, timing: Timing, record: Arc<Record>) -> (Arc<Cloud>, SocketAddr) {
        let cloud = Arc::new(Cloud {
            types,
            machines: Mutex::default(),
            slips: Mutex::default(),
            last_name: AtomicU64::new(0),
            descriptions: Mutex::default(),
            on_machines: Mutex::default(),
            ran_twice: Mutex::default(),
            starts: Mutex::default(),
            nodes,
            report: timing.report,
            lease: timing.lease,
            record,
        });
        let serving = cloud.clone();
        let address = http::serve(Arc::new(move |request| Some(serving.clone().answer(request))));
        (cloud, address)
    }

    fn answer(self: Arc<Cloud>, request: &Request) -> (u16, String) {
        match (request.method.as_str(), request.path.as_str()) {
            ("GET", "/catalog") => (200, self.catalogue()),
            ("GET", "/machines") => (200, self.list(request)),
            ("POST", "/machines") => self.hire(request),
            ("POST", "/machines/delete") => self.delete(request),
            _ => (400, r#"{"error":"no such request"}"#.into()),
        }
    }

    fn catalogue(&self) -> String {
        let rigs: Vec<String> = self
            .types
            .iter()
            .map(|t| {
                let zones: Vec<String> = t.zones.iter().map(|zone| format!("\"{zone}\"")).collect();
                format!(
                    r#"{{"name":"{}","cores":{:?},"cards":0.0,"memGb":{:?},"cacheGb":70.0,"pullGbPerS":1.5,"hourly":0.64,"spotPrice":0.24,"bootS":{:?},"yards":[{}]}}"#,
                    t.name, t.cpus, t.memory_gb, t.boot.as_secs_f64(), zones.join(",")
                )
            })
            .collect();
        format!(r#"{{"rigs":[{}]}}"#, rigs.join(","))
    }

    fn list(&self, request: &Request) -> String {
        let since = request.param("since").unwrap_or("");
        let limit: usize = request.param("limit").and_then(|text| text.parse().ok()).unwrap_or(500).min(500);
        let machines = self.machines.lock().expect("machines");
        let mut after = machines.values().filter(|machine| machine.name.as_str() > since);
        let stalls: Vec<String> = after
            .by_ref()
            .take(limit)
            .map(|machine| {
                let address = *machine.address.lock().expect("address");
                let standing = if address.is_some() { "running" } else { "starting" };
                let address = address.map_or("null".into(), |address| format!("\"{address}\""));
                format!(
                    r#"{{"id":"{}","address":{address},"rig":"{}","yard":"{}","loaner":{},"standing":"{standing}","heldS":{:.1}}}"#,
                    machine.name, self.types[machine.type_ix].name, machine.zone, machine.spot, machine.requested.elapsed().as_secs_f64()
                )
            })
            .collect();
        let more = after.next().is_some();
        format!(r#"{{"stalls":[{}],"more":{more}}}"#, stalls.join(","))
    }

    fn hire(self: Arc<Cloud>, request: &Request) -> (u16, String) {
        let asked = Json::parse(&request.body).unwrap_or(Json::Null);
        let (Some(slip), Some(rig), Some(zone), Some(number)) =
            (asked.str("hireSlip"), asked.str("rig"), asked.str("yard"), asked.u64("number"))
        else {
            return (400, r#"{"error":"malformed"}"#.into());
        };
        let spot = asked.get("loaner") == Some(&Json::Bool(true));
        let mut slips = self.slips.lock().expect("slips");
        if let Some(names) = slips.get(slip) {
            return (200, stalls(names));
        }
        let Some(type_ix) = self.types.iter().position(|t| t.name == rig && t.zones.iter().any(|z| z == zone)) else {
            return (400, r#"{"error":"malformed"}"#.into());
        };
        let mut machines = self.machines.lock().expect("machines");
        let there = machines.values().filter(|machine| machine.type_ix == type_ix).count();
        let number = (number as usize).min(50).min(self.types[type_ix].capacity.saturating_sub(there));
        if number == 0 {
            return (503, r#"{"error":"no capacity"}"#.into());
        }
        let mut names = Vec::new();
        for _ in 0..number {
            let name = format!("host-{:06}", self.last_name.fetch_add(1, Ordering::SeqCst) + 1);
            let machine = Arc::new(Machine {
                name: name.clone(),
                type_ix,
                zone: zone.into(),
                spot,
                requested: Instant::now(),
                address: Mutex::new(None),
                gone: AtomicBool::new(false),
                worker: Mutex::new(Worker {
                    day: 1,
                    count: 0,
                    token: 0,
                    lots: BTreeMap::new(),
                    answered: Instant::now(),
                    changed: true,
                }),
            });
            self.record.line(&format!("cloud: {name} rented, {rig} in {zone}, spot {spot}"));
            machines.insert(name.clone(), machine.clone());
            names.push(name);
            let cloud = self.clone();
            thread::spawn(move || machine.run(&cloud));
        }
        slips.insert(slip.into(), names.clone());
        (200, stalls(&names))
    }

    fn delete(&self, request: &Request) -> (u16, String) {
        let asked = Json::parse(&request.body).unwrap_or(Json::Null);
        for name in asked.arr("stalls") {
            let Json::Str(name) = name else { continue };
            let machine = self.machines.lock().expect("machines").remove(name);
            if let Some(machine) = machine {
                machine.gone.store(true, Ordering::SeqCst);
                let mut worker = machine.worker.lock().expect("worker");
                machine.drop_all(self, &mut worker);
                self.record.line(&format!("cloud: {name} deleted"));
            }
        }
        (200, "{}".into())
    }

    pub fn machine_count(&self) -> usize {
        self.machines.lock().expect("machines").len()
    }

    /// Whether a machine of this type is up and runs nothing.
    pub fn has_idle(&self, type_name: &str) -> bool {
        let machines = self.machines.lock().expect("machines");
        machines.values().any(|machine| {
            let is_up = machine.address.lock().expect("address").is_some();
            let worker = machine.worker.lock().expect("worker");
            is_up && self.types[machine.type_ix].name == type_name && worker.lots.values().all(|task| task.state == "ended")
        })
    }

    /// Number of starts of this task.
    pub fn starts_of(&self, lot: &str) -> u32 {
        self.starts.lock().expect("starts").get(lot).copied().unwrap_or(0)
    }

    pub fn running_count(&self) -> usize {
        self.on_machines.lock().expect("tasks").len()
    }

    fn task_begins(&self, machine: &str, lot: &str) {
        let mut on = self.on_machines.lock().expect("tasks");
        let machines = on.entry(lot.to_owned()).or_default();
        if machines.iter().any(|other| other != machine) {
            let text = format!("{lot} starts on {machine} while it is on {}", machines.join(", "));
            self.record.say(&format!("ran_twice: {text}"));
            self.ran_twice.lock().expect("ran_twice").push(text);
        }
        machines.push(machine.to_owned());
        *self.starts.lock().expect("starts").entry(lot.to_owned()).or_default() += 1;
        self.record.line(&format!("{machine}: {lot} starts"));
    }

    fn task_ends(&self, machine: &str, lot: &str, how: &str) {
        let mut on = self.on_machines.lock().expect("tasks");
        if let Some(machines) = on.get_mut(lot) {
            machines.retain(|other| other != machine);
            if machines.is_empty() {
                on.remove(lot);
            }
        }
        self.record.line(&format!("{machine}: {lot} {how}"));
    }
}

fn stalls(names: &[String]) -> String {
    let names: Vec<String> = names.iter().map(|name| format!("\"{name}\"")).collect();
    format!(r#"{{"stalls":[{}]}}"#, names.join(","))
}

impl Machine {
    /// The worker: boots, takes direct commands, reports.
    fn run(self: Arc<Machine>, cloud: &Arc<Cloud>) {
        thread::sleep(cloud.types[self.type_ix].boot);
        let (machine, serving) = (self.clone(), cloud.clone());
        let address = http::serve(Arc::new(move |request| machine.clone().direct(&serving, request)));
        *self.address.lock().expect("address") = Some(address);
        self.worker.lock().expect("worker").answered = Instant::now();
        let mut node = self.name.bytes().map(usize::from).sum::<usize>() % cloud.nodes.len();
        let mut last_report = Instant::now() - cloud.report;
        // Give or take a quarter.
        let mut turn = self.name.bytes().map(u64::from).sum::<u64>();
        while !self.gone.load(Ordering::SeqCst) {
            thread::sleep(Duration::from_millis(50));
            turn += 1;
            let factor = 0.75 + (turn * 7 % 50) as f64 / 100.0;
            let due = {
                let mut worker = self.worker.lock().expect("worker");
                self.advance(cloud, &mut worker);
                let since = last_report.elapsed();
                since >= cloud.report.mul_f64(factor) || worker.changed && since >= Duration::from_millis(500)
            };
            if !due {
                continue;
            }
            last_report = Instant::now();
            let (report, day) = {
                let mut worker = self.worker.lock().expect("worker");
                worker.changed = false;
                (self.report(cloud, &mut worker), worker.day)
            };
            let sent = Instant::now();
            let answer = http::call(cloud.nodes[node].1, "POST", "/checkin", &report, Duration::from_secs(4));
            if self.gone.load(Ordering::SeqCst) {
                return;
            }
            match answer {
                Some((200, body)) => {
                    let body = Json::parse(&body).unwrap_or(Json::Null);
                    let mut worker = self.worker.lock().expect("worker");
                    let token = body.u64("gavel").unwrap_or(0);
                    if worker.day == day && token >= worker.token && token > 0 {
                        worker.token = token;
                        worker.answered = sent;
                        self.execute(cloud, &mut worker, body.arr("calls"));
                    }
                }
                Some((421, body)) => {
                    let body = Json::parse(&body).unwrap_or(Json::Null);
                    let named = body.str("auctioneer").and_then(|name| cloud.nodes.iter().position(|(n, _)| n == name));
                    match named {
                        Some(other) if other != node => {
                            node = other;
                            last_report = Instant::now() - cloud.report * 2;
                        }
                        _ => {
                            node = (node + 1) % cloud.nodes.len();
                            last_report = Instant::now() + Duration::from_secs(1) - cloud.report * 2;
                        }
                    }
                }
                _ => {
                    node = (node + 1) % cloud.nodes.len();
                    last_report = Instant::now() + Duration::from_secs(1) - cloud.report * 2;
                }
            }
        }
    }

    /// Lets tasks complete and the lease end.
    fn advance(&self, cloud: &Cloud, worker: &mut Worker) {
        let now = Instant::now();
        let mut ended = Vec::new();
        for ((lot, _), task) in worker.lots.iter_mut() {
            if task.state == "running" && task.run.is_some_and(|until| now >= until) {
                (task.state, task.why) = ("ended", Some("done"));
                ended.push(lot.clone());
            }
        }
        for lot in ended {
            worker.changed = true;
            cloud.task_ends(&self.name, &lot, "done");
        }
        if worker.answered.elapsed() > cloud.lease {
            cloud.record.line(&format!("{}: the lease ended", self.name));
            self.drop_all(cloud, worker);
            worker.day += 1;
            worker.answered = now;
            worker.changed = true;
        }
    }

    fn drop_all(&self, cloud: &Cloud, worker: &mut Worker) {
        for ((lot, _), task) in std::mem::take(&mut worker.lots) {
            if task.state == "running" {
                cloud.task_ends(&self.name, &lot, "dropped");
            }
        }
    }

    fn report(&self, cloud: &Cloud, worker: &mut Worker) -> String {
        worker.count += 1;
        let lots: Vec<String> = worker
            .lots
            .iter()
            .map(|((lot, relist), task)| {
                let why = task.why.map_or(String::new(), |why| format!(r#","passReason":"{why}""#));
                format!(r#"{{"lot":"{lot}","relist":{relist},"standing":"{}"{why}}}"#, task.state)
            })
            .collect();
        let address = self.address.lock().expect("address").map_or(String::new(), |address| address.to_string());
        format!(
            r#"{{"stall":"{}","address":"{address}","rig":"{}","yard":"{}","loaner":{},"saleDay":{},"paddleCount":{},"gavel":{},"recallS":null,"lots":[{}]}}"#,
            self.name, cloud.types[self.type_ix].name, self.zone, self.spot, worker.day, worker.count, worker.token, lots.join(",")
        )
    }

    fn direct(self: Arc<Machine>, cloud: &Cloud, request: &Request) -> Option<(u16, String)> {
        if self.gone.load(Ordering::SeqCst) {
            return None;
        }
        let mut worker = self.worker.lock().expect("worker");
        self.advance(cloud, &mut worker);
        if request.path == "/status" {
            return Some((200, self.report(cloud, &mut worker)));
        }
        let body = Json::parse(&request.body).unwrap_or(Json::Null);
        let (Some(token), Some(day)) = (body.u64("gavel"), body.u64("saleDay")) else {
            return Some((400, "{}".into()));
        };
        if token < worker.token || day != worker.day {
            return Some((409, self.report(cloud, &mut worker)));
        }
        if token > worker.token {
            worker.token = token;
            worker.changed = true;
        }
        self.execute(cloud, &mut worker, body.arr("calls"));
        Some((200, self.report(cloud, &mut worker)))
    }

    fn execute(&self, cloud: &Cloud, worker: &mut Worker, calls: &[Json]) {
        for call in calls {
            let (Some(lot), Some(relist)) = (call.str("lot"), call.u64("relist")) else { continue };
            let key = (lot.to_owned(), relist);
            match call.str("call") {
                Some("run") if !worker.lots.contains_key(&key) => {
                    let task = self.begin(cloud, worker, lot);
                    worker.lots.insert(key, task);
                    worker.changed = true;
                }
                Some("kill") => {
                    if let Some(task) = worker.lots.get_mut(&key).filter(|task| task.state != "ended") {
                        (task.state, task.why) = ("ended", Some("stopped"));
                        cloud.task_ends(&self.name, lot, "stopped by command");
                        worker.changed = true;
                    }
                }
                Some("reap") => {
                    if worker.lots.get(&key).is_some_and(|task| task.state == "ended") {
                        worker.lots.remove(&key);
                        worker.changed = true;
                    }
                }
                _ => {}
            }
        }
    }

    /// Starts a task at once: the machine has its image.
    fn begin(&self, cloud: &Cloud, worker: &Worker, lot: &str) -> Task {
        let refused = |why| Task { run: None, state: "ended", why: Some(why) };
        let job = lot.split('/').next().unwrap_or("");
        let descriptions = cloud.descriptions.lock().expect("descriptions");
        let Some(description) = descriptions.get(job).copied() else {
            return refused("no_such");
        };
        let running = || worker.lots.iter().filter(|(_, task)| task.state == "running");
        if running().any(|((other, _), _)| other == lot) {
            return refused("in_use");
        }
        let used: f64 = running()
            .filter_map(|((other, _), _)| descriptions.get(other.split('/').next()?))
            .map(|other| other.cpus)
            .sum();
        if used + description.cpus > cloud.types[self.type_ix].cpus + 1e-9 {
            return refused("no_room");
        }
        cloud.task_begins(&self.name, lot);
        Task { run: Some(Instant::now() + description.run), state: "running", why: None }
    }
}
