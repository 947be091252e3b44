//! The state service, as PROTOCOL says: keys with versions, transactions, leases, changes, limits.

use crate::http::{Handler, Request, serve};
use crate::json::Json;
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// The service keeps the last 10,000 changes.
const KEPT_CHANGES: u64 = 10_000;

struct Entry {
    value: Json,
    version: u64,
    lease: Option<u64>,
}

struct Change {
    revision: u64,
    key: String,
    value: Option<Json>,
}

struct Bucket {
    rate: f64,
    level: f64,
    at: Instant,
}

impl Bucket {
    fn new(rate: f64) -> Bucket {
        Bucket { rate, level: rate, at: Instant::now() }
    }

    fn take(&mut self, amount: f64) -> bool {
        let now = Instant::now();
        self.level = (self.level + (now - self.at).as_secs_f64() * self.rate).min(self.rate);
        self.at = now;
        let enough = self.level >= amount;
        if enough {
            self.level -= amount;
        }
        enough
    }
}

struct Inner {
    keys: BTreeMap<String, Entry>,
    revision: u64,
    log: VecDeque<Change>,
    oldest_since: u64,
    leases: BTreeMap<u64, (Duration, Instant)>,
    last_lease: u64,
    requests: Bucket,
    writes: Bucket,
}

pub struct State {
    inner: Mutex<Inner>,
    changed: Condvar,
    value_bytes: usize,
    txn_ops: usize,
    /// Milliseconds that each answer takes.
    latency_ms: u64,
    /// Milliseconds that answers take in addition on the way to each controller.
    pub extra_ms: Vec<AtomicU64>,
    /// Until when answers to each controller are held back.
    pub hold_until: Vec<Mutex<Option<Instant>>>,
    /// Where requests are recorded, if they are.
    pub trace: Mutex<Option<Arc<crate::record::Record>>>,
}

pub struct Limits {
    pub rps: f64,
    pub write_rps: f64,
    pub value_kb: f64,
    pub txn_ops: usize,
    pub latency_ms: u64,
}

impl State {
    /// Starts a service that has made `revision` changes before, of which no key is left. Returns
    /// it with the address for each of `nodes` controllers.
    pub fn start(limits: Limits, revision: u64, nodes: usize) -> (Arc<State>, Vec<SocketAddr>) {
        let state = Arc::new(State {
            inner: Mutex::new(Inner {
                keys: BTreeMap::new(),
                revision,
                log: VecDeque::new(),
                oldest_since: revision.saturating_sub(KEPT_CHANGES),
                leases: BTreeMap::new(),
                last_lease: 0,
                requests: Bucket::new(limits.rps),
                writes: Bucket::new(limits.write_rps),
            }),
            changed: Condvar::new(),
            value_bytes: (limits.value_kb * 1024.0) as usize,
            txn_ops: limits.txn_ops,
            latency_ms: limits.latency_ms,
            extra_ms: (0..nodes).map(|_| AtomicU64::new(0)).collect(),
            hold_until: (0..nodes).map(|_| Mutex::new(None)).collect(),
            trace: Mutex::new(None),
        });
        let addresses = (0..nodes).map(|node| serve(state.clone().handler(node))).collect();
        let expiring = state.clone();
        thread::spawn(move || {
            loop {
                thread::sleep(Duration::from_millis(20));
                expiring.expire();
            }
        });
        (state, addresses)
    }

    /// Puts a key that the service has held since before the start.
    pub fn preload(&self, key: &str, value: &str) {
        let mut inner = self.inner.lock().expect("state");
        inner.revision += 1;
        let revision = inner.revision;
        inner.change(revision, key.into(), Json::parse(value), None);
    }

    fn handler(self: Arc<State>, node: usize) -> Handler {
        Arc::new(move |request| {
            let answer = self.answer(request);
            if let Some(trace) = &*self.trace.lock().expect("trace") {
                let body = if request.method == "POST" { request.body.chars().take(200).collect() } else { String::new() };
                let query: Vec<String> = request.query.iter().map(|(key, value)| format!("{key}={value}")).collect();
                trace.line(&format!("state: stall-{node} {} {}?{} {body}: {}", request.method, request.path, query.join("&"), answer.0));
            }
            loop {
                let until = *self.hold_until[node].lock().expect("hold");
                let Some(left) = until.and_then(|until| until.checked_duration_since(Instant::now())) else { break };
                thread::sleep(left);
            }
            let extra = self.extra_ms[node].load(Ordering::SeqCst);
            thread::sleep(Duration::from_millis(self.latency_ms + extra));
            Some(answer)
        })
    }

    fn expire(&self) {
        let mut inner = self.inner.lock().expect("state");
        let now = Instant::now();
        let ended: Vec<u64> =
            inner.leases.iter().filter(|(_, (_, until))| now >= *until).map(|(&lease, _)| lease).collect();
        for lease in ended {
            inner.leases.remove(&lease);
            let keys: Vec<String> =
                inner.keys.iter().filter(|(_, e)| e.lease == Some(lease)).map(|(key, _)| key.clone()).collect();
            for key in keys {
                inner.revision += 1;
                let revision = inner.revision;
                inner.change(revision, key, None, None);
            }
            self.changed.notify_all();
        }
    }

    fn answer(&self, request: &Request) -> (u16, String) {
        if !self.inner.lock().expect("state").requests.take(1.0) {
            return (429, r#"{"error":"too many requests"}"#.into());
        }
        let path = request.path.as_str();
        match (request.method.as_str(), path) {
            ("GET", "/store") => self.list(request),
            ("GET", "/changes") => self.changes(request),
            ("POST", "/multi") => self.multi(request),
            ("POST", "/leases") => self.grant(request),
            ("GET", _) if path.starts_with("/store/") => self.get(&path["/store/".len()..]),
            ("POST", _) if path.starts_with("/leases/") => {
                let lease = path["/leases/".len()..].trim_end_matches("/extend").parse().unwrap_or(0);
                self.extend(lease)
            }
            _ => (400, r#"{"error":"no such request"}"#.into()),
        }
    }

    fn get(&self, key: &str) -> (u16, String) {
        let inner = self.inner.lock().expect("state");
        match inner.keys.get(key) {
            Some(entry) => {
                let lease = entry.lease.map_or("null".into(), |lease| lease.to_string());
                let name = Json::Str(key.into()).text();
                let value = entry.value.text();
                let version = entry.version;
                (200, format!(r#"{{"k":{name},"v":{value},"entryRev":{version},"consignment":{lease}}}"#))
            }
            None => (404, format!(r#"{{"bookRev":{}}}"#, inner.revision)),
        }
    }

    fn list(&self, request: &Request) -> (u16, String) {
        let inner = self.inner.lock().expect("state");
        let prefix = request.param("starts").unwrap_or("");
        let since = request.param("since").unwrap_or("");
        let limit: usize = request.param("limit").and_then(|text| text.parse().ok()).unwrap_or(1_000).min(1_000);
        let (mut items, mut bytes, mut more) = (Vec::new(), 0, false);
        for (key, entry) in inner.keys.range(prefix.to_owned()..) {
            if !key.starts_with(prefix) {
                break;
            }
            if !since.is_empty() && key.as_str() <= since {
                continue;
            }
            let name = Json::Str(key.clone()).text();
            let item = format!(r#"{{"k":{name},"v":{},"entryRev":{}}}"#, entry.value.text(), entry.version);
            bytes += item.len();
            if items.len() == limit || bytes > 512 * 1024 {
                more = true;
                break;
            }
            items.push(item);
        }
        (200, format!(r#"{{"items":[{}],"more":{more},"bookRev":{}}}"#, items.join(","), inner.revision))
    }

    fn changes(&self, request: &Request) -> (u16, String) {
        let prefix = request.param("starts").unwrap_or("").to_owned();
        let since: u64 = request.param("since").and_then(|text| text.parse().ok()).unwrap_or(0);
        let hold: u64 = request.param("holdMs").and_then(|text| text.parse().ok()).unwrap_or(0);
        let until = Instant::now() + Duration::from_millis(hold.min(60_000));
        let mut inner = self.inner.lock().expect("state");
        loop {
            if since < inner.oldest_since {
                return (410, r#"{"error":"too old"}"#.into());
            }
            let first = inner.log.partition_point(|change| change.revision <= since);
            let events: Vec<String> = inner
                .log
                .range(first..)
                .filter(|change| change.key.starts_with(&prefix))
                .map(|change| {
                    let key = Json::Str(change.key.clone()).text();
                    match &change.value {
                        Some(value) => format!(r#"{{"put":{key},"v":{},"entryRev":{}}}"#, value.text(), change.revision),
                        None => format!(r#"{{"drop":{key},"entryRev":{}}}"#, change.revision),
                    }
                })
                .collect();
            let now = Instant::now();
            if !events.is_empty() || now >= until {
                return (200, format!(r#"{{"bookRev":{},"log":[{}]}}"#, inner.revision, events.join(",")));
            }
            inner = self.changed.wait_timeout(inner, until - now).expect("state").0;
        }
    }

    fn multi(&self, request: &Request) -> (u16, String) {
        let Some(body) = Json::parse(&request.body) else {
            return (400, r#"{"error":"not JSON"}"#.into());
        };
        let (when, apply) = (body.arr("when"), body.arr("apply"));
        if request.body.len() > 64 * 1024 || apply.len() > self.txn_ops || when.len() > 4 * self.txn_ops {
            return (400, r#"{"error":"too large"}"#.into());
        }
        let mut inner = self.inner.lock().expect("state");
        if !inner.writes.take(apply.len() as f64) {
            return (429, r#"{"error":"too many changes"}"#.into());
        }
        for change in apply {
            if change.get("v").is_some_and(|value| value.text().len() > self.value_bytes) {
                return (400, r#"{"error":"value too large"}"#.into());
            }
            let lease = change.u64("consignment");
            if lease.is_some_and(|lease| !inner.leases.contains_key(&lease)) {
                return (400, r#"{"error":"no such lease"}"#.into());
            }
        }
        let failed: Vec<String> = when
            .iter()
            .filter_map(|condition| {
                let key = condition.str("k")?;
                let version = inner.keys.get(key).map_or(0, |entry| entry.version);
                (condition.u64("entryRev") != Some(version)).then(|| Json::Str(key.into()).text())
            })
            .collect();
        if !failed.is_empty() {
            return (409, format!(r#"{{"failed":[{}],"bookRev":{}}}"#, failed.join(","), inner.revision));
        }
        if !apply.is_empty() {
            inner.revision += 1;
            let revision = inner.revision;
            for change in apply {
                match (change.str("put"), change.str("drop")) {
                    (Some(key), _) => {
                        let value = change.get("v").cloned().unwrap_or(Json::Null);
                        inner.change(revision, key.into(), Some(value), change.u64("consignment"));
                    }
                    (None, Some(key)) => inner.change(revision, key.into(), None, None),
                    (None, None) => {}
                }
            }
            self.changed.notify_all();
        }
        (200, format!(r#"{{"bookRev":{}}}"#, inner.revision))
    }

    fn grant(&self, request: &Request) -> (u16, String) {
        let Some(life) = Json::parse(&request.body).and_then(|body| body.u64("lifeMs")) else {
            return (400, r#"{"error":"no lifeMs"}"#.into());
        };
        let mut inner = self.inner.lock().expect("state");
        inner.last_lease += 1;
        let (lease, life) = (inner.last_lease, Duration::from_millis(life));
        inner.leases.insert(lease, (life, Instant::now() + life));
        (200, format!(r#"{{"consignment":{lease}}}"#))
    }

    fn extend(&self, lease: u64) -> (u16, String) {
        let mut inner = self.inner.lock().expect("state");
        match inner.leases.get_mut(&lease) {
            Some((life, until)) => {
                *until = Instant::now() + *life;
                (200, "{}".into())
            }
            None => (404, r#"{"error":"no such lease"}"#.into()),
        }
    }
}

impl Inner {
    fn change(&mut self, revision: u64, key: String, value: Option<Json>, lease: Option<u64>) {
        match &value {
            Some(value) => {
                self.keys.insert(key.clone(), Entry { value: value.clone(), version: revision, lease });
            }
            None => {
                if self.keys.remove(&key).is_none() {
                    return;
                }
            }
        }
        self.log.push_back(Change { revision, key, value });
        while self.log.len() as u64 > KEPT_CHANGES {
            if let Some(oldest) = self.log.pop_front() {
                self.oldest_since = oldest.revision;
            }
        }
    }
}
