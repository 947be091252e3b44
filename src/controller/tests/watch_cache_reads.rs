//! Tests of full reads of the watched keys, which take several requests, while replies to other
//! requests arrive.
//!
//! In an independent review, a leader that restarted with 800 accepted jobs lost 400 of them: a poll
//! arrived between two pages and sent a read of the changes since revision 0, whose reply that this
//! is too old dropped the pages read so far. The next page was taken for the first of a new read.

use super::user_fixture::*;
use super::*;

const LAST_JOB: &str = "j-000009";

/// A state service that has the keys of two jobs, on a page each, and keeps no changes before its
/// revision.
struct TrimmedStore {
    revision: u64,
    due: Vec<DueReply>,
    /// How long the request for a page takes.
    page_delay_ms: Millis,
    /// The number of watches that wait for a change, which is never made.
    open_watches: usize,
}

impl TrimmedStore {
    fn receive(&mut self, monotonic: Millis, call: u64, request: &StoreRequest) {
        let (after, reply) = match request {
            StoreRequest::Grant { .. } => (10, StoreReply::Granted { lease: 1 }),
            StoreRequest::Renew(_) => (10, StoreReply::Renewed),
            StoreRequest::Transact(_) => (10, self.committed()),
            StoreRequest::Get(_) => (10, StoreReply::Missing),
            StoreRequest::List { prefix, after } if prefix.starts_with("live/") => {
                (self.page_delay_ms, self.watched_job_page(after.is_empty()))
            }
            StoreRequest::List { .. } => (10, page(String::new(), false)),
            StoreRequest::Watch { wait_ms: 0, since, .. } if *since < self.revision => (10, StoreReply::TooOld),
            StoreRequest::Watch { wait_ms: 0, .. } => (10, self.unchanged()),
            StoreRequest::Watch { .. } => {
                self.open_watches += 1;
                return;
            }
        };
        let at = monotonic + after;
        self.due.push(DueReply { at, call, reply });
    }

    /// Takes out the replies that are due.
    fn take_due(&mut self, monotonic: Millis) -> Vec<DueReply> {
        let all = std::mem::take(&mut self.due);
        let (ready, later) = all.into_iter().partition(|due| due.at <= monotonic);
        self.due = later;
        ready
    }
}

impl TrimmedStore {
    fn committed(&self) -> StoreReply {
        StoreReply::Committed {
            revision: self.revision + 1,
        }
    }

    fn unchanged(&self) -> StoreReply {
        StoreReply::WatchLog(crate::wire::WatchLog {
            revision: self.revision,
            events: Vec::new(),
        })
    }

    /// The first or the last of the two pages of the watched keys.
    fn watched_job_page(&self, is_first: bool) -> StoreReply {
        let mut job = unfinished_job();
        job.spec.id = if is_first { JOB } else { LAST_JOB }.into();
        let key = format!("live/pool/job/{}", job.spec.id);
        let value = serde_json::json!(job);
        StoreReply::Page(Page {
            items: vec![Entry { key, value, version: 9 }],
            more: is_first,
            revision: self.revision,
        })
    }
}

/// A controller and its state service, on one clock.
struct Cluster {
    controller: Controller,
    peer: String,
    store: TrimmedStore,
    monotonic: Millis,
    answers: Vec<Output>,
}

impl Cluster {
    fn new(page_delay_ms: Millis) -> Cluster {
        let settings = Settings::parse(SAMPLE).expect("valid settings");
        Cluster {
            peer: settings.peers[0].node.clone(),
            controller: Controller::new(settings, Policy::default(), 7),
            store: TrimmedStore {
                revision: 20_000,
                due: Vec::new(),
                page_delay_ms,
                open_watches: 0,
            },
            monotonic: 1_000_000,
            answers: Vec::new(),
        }
    }

    fn step(&mut self, input: Input) {
        for output in self.controller.step(at(self.monotonic), input) {
            match &output {
                Output::Store { call, request } => self.store.receive(self.monotonic, *call, request),
                Output::Answer { .. } => self.answers.push(output),
                _ => {}
            }
        }
    }

    /// Lets this time pass, with heartbeats of the peer.
    fn run(&mut self, ms: Millis) {
        let until = self.monotonic + ms;
        while self.monotonic < until {
            self.monotonic += 10;
            for DueReply { call, reply, .. } in self.store.take_due(self.monotonic) {
                self.step(Input::Store { call, reply });
            }
            let message = Box::new(heartbeat(&self.peer, None));
            let node = self.peer.clone();
            self.step(Input::Peer { node, message });
            self.step(Input::Tick);
        }
    }

    fn poll(&mut self, request: u64, job: &str) {
        let user_request = UserRequest::Show(job.into());
        self.step(Input::User { request, user_request });
    }

    fn status_of(&self, request: u64) -> Option<u16> {
        answer_to(&self.answers, request).map(|answer| answer.status)
    }
}

/// Guards against jobs that a restarted controller forgets because users ask it while it reads its
/// watch cache.
#[test]
fn polls_between_two_pages_do_not_lose_the_jobs_of_the_first_page() {
    let mut cluster = Cluster::new(100);
    cluster.run(50);
    for request in 1..=10 {
        cluster.poll(request, JOB);
        cluster.run(15);
    }
    cluster.run(1_000);
    cluster.poll(20, JOB);
    cluster.poll(21, LAST_JOB);
    cluster.run(100);
    assert_eq!((cluster.status_of(20), cluster.status_of(21)), (Some(200), Some(200)));
    let early: Vec<_> = (1..=10).filter_map(|request| cluster.status_of(request)).collect();
    assert_eq!(early, [200; 10], "they wait until the watch cache is complete");
}

/// Guards against the same with questions that another controller forwards.
#[test]
fn forwarded_requests_between_two_pages_do_not_lose_the_jobs_of_the_first_page() {
    let mut cluster = Cluster::new(100);
    cluster.run(50);
    for id in 1..=10 {
        let (shard, user_request) = (SHARD.into(), UserRequest::Show(JOB.into()));
        let message = Box::new(Message::ForwardRequest {
            shard,
            id,
            user_request,
        });
        let node = cluster.peer.clone();
        cluster.step(Input::Peer { node, message });
        cluster.run(15);
    }
    cluster.run(1_000);
    cluster.poll(20, JOB);
    cluster.run(100);
    assert_eq!(cluster.status_of(20), Some(200));
}

/// Guards against the same without a restart: a controller that was cut off from the state service
/// for long asks twice for changes that are no longer kept, and the second reply arrives between two
/// pages of the read that the first one made necessary.
#[test]
fn a_second_reply_of_too_old_does_not_lose_the_jobs_of_the_first_page() {
    let mut cluster = Cluster::new(100);
    cluster.run(1_500);
    for delay_ms in [0, 20, 130, 250] {
        let calls: Vec<u64> = (0..2).map(|_| cluster.send_refresh()).collect();
        cluster.store.due.clear();
        for call in calls {
            let reply = StoreReply::TooOld;
            cluster.step(Input::Store { call, reply });
            cluster.run(delay_ms);
        }
        cluster.run(1_500);
        let request = 100 + delay_ms;
        cluster.poll(request, JOB);
        cluster.run(100);
        assert_eq!(cluster.status_of(request), Some(200), "{delay_ms} ms apart");
    }
}

impl Cluster {
    /// Makes the controller send a refresh of its watch cache, and returns its call id.
    fn send_refresh(&mut self) -> u64 {
        self.controller.refresh_watch_cache();
        let outputs = self.controller.step(at(self.monotonic), Input::Tick);
        last_store_call(&outputs)
    }
}

/// Guards against a controller that learns of changes late after a full read: a watch that was sent before
/// the read stays open, and its reply is ignored, so another one has to be sent at once.
#[test]
fn a_new_watch_is_sent_after_a_full_read() {
    let mut cluster = Cluster::new(10);
    cluster.run(1_500);
    let watches = cluster.store.open_watches;
    cluster.controller.watch_cache.invalidate();
    cluster.run(100);
    assert!(cluster.controller.watch_cache.is_complete());
    assert_eq!(cluster.store.open_watches, watches + 1);
}

/// Guards against a new leader that loads the shard without some jobs: while it waits for the watch
/// cache, it must not disturb the full read that fills it.
#[test]
fn a_leader_whose_watch_cache_is_outdated_loads_all_jobs() {
    let mut cluster = Cluster::new(350);
    while cluster.controller.election.phase() != Phase::Loading {
        cluster.run(10);
    }
    cluster.store.revision = 40_000;
    cluster.run(4_000);
    assert_eq!(cluster.controller.election.phase(), Phase::Active);
    let shard = cluster.controller.shard.as_ref().expect("a loaded shard");
    assert!(shard.jobs.find(JOB).is_some() && shard.jobs.find(LAST_JOB).is_some());
}
