//! What a new leader reads before it acts: machines, machine requests, jobs and firings, one
//! page after the other, so that heartbeats and renewals come in between.

use super::store_calls::RETRY_MS;
use super::{Controller, Loading, Purpose};
use crate::Millis;
use crate::election::Phase;
use crate::store::{StoreReply, StoreRequest, tail};

/// Loading is given up when nothing was read for this long: a full store that
/// answers slowly takes its time, and beginning anew would take as long again.
const LOAD_PATIENCE_MS: Millis = 5_000;

impl Controller {
    pub(super) fn load(&mut self, part: Loading, after: String) {
        let prefix = match part {
            Loading::Machines => self.keys.inventories(),
            Loading::MachineRequests => self.keys.machine_requests(),
            Loading::WatchCache => self.keys.watched(),
            Loading::Firings => self.keys.firings(),
        };
        self.enqueue(Purpose::Load(part), StoreRequest::List { prefix, after });
    }

    pub(super) fn load_answered(&mut self, part: Loading, request: &StoreRequest, reply: StoreReply) {
        if self.election.phase() != Phase::Loading {
            return;
        }
        if matches!(reply, StoreReply::Page(_) | StoreReply::Log(_)) {
            self.load_heard_at = self.now;
        }
        if part == Loading::WatchCache && self.load_synced(&reply) {
            self.load(Loading::Firings, String::new());
            return;
        }
        let StoreReply::Page(page) = reply else {
            let request = match part {
                Loading::WatchCache => self.watch(0),
                _ => request.clone(),
            };
            self.enqueue_after(RETRY_MS, Purpose::Load(part), request);
            return;
        };
        let Some(shard) = &mut self.shard else {
            return;
        };
        let next = page.items.last().map(|entry| entry.key.clone());
        for entry in &page.items {
            match part {
                Loading::Machines => shard.load_group(self.now, tail(entry, &self.keys.inventories()), entry),
                Loading::MachineRequests => shard.load_machine_request(entry),
                Loading::WatchCache => {}
                Loading::Firings => {
                    let name = tail(entry, &self.keys.firings()).to_owned();
                    let Some((job, number)) = name.split_once('/') else {
                        continue;
                    };
                    // The job may be newer than the watch cache, which is brought up
                    // to date before firings are read; if it is still missing,
                    // it was cleaned up while these pages were read.
                    if shard.jobs.table.find(job).is_some()
                        && let Ok(number) = number.parse()
                    {
                        shard.load_chunk(self.now, job, number, entry);
                    }
                }
            }
        }
        match (page.more, next, part) {
            (true, Some(after), _) => self.load(part, after),
            (_, _, Loading::Machines) => self.load(Loading::MachineRequests, String::new()),
            // The watch cache must be newer than the claim before firings are read.
            (_, _, Loading::MachineRequests) => {
                let request = self.watch(0);
                self.enqueue(Purpose::Load(Loading::WatchCache), request);
            }
            (_, _, Loading::WatchCache) => {}
            (_, _, Loading::Firings) => self.loaded(),
        }
    }

    /// The read that brings the watch cache up to date while loading came back.
    pub(super) fn load_synced(&mut self, reply: &StoreReply) -> bool {
        if !self.take_log(reply.clone()) {
            return false;
        }
        let Some(shard) = &mut self.shard else {
            return false;
        };
        for (id, (key, version)) in self.watch_cache.jobs() {
            shard.job_changed(self.now, id, key, *version);
        }
        true
    }

    pub(super) fn loaded(&mut self) {
        let Some(shard) = &mut self.shard else {
            return;
        };
        shard.loaded();
        // Asking each machine straight away spares a report interval.
        shard.workers.delivery_due.extend(shard.workers.machines.indices());
        tracing::info!(
            term = self.election.term(),
            jobs = shard.jobs.table.len(),
            machines = shard.workers.machines.len(),
            took_ms = self.now - self.loading_since,
            "took over the shard"
        );
        self.election.activate();
        self.place_wanted = true;
    }

    /// Loading goes on as long as answers come.
    pub(super) fn give_up_loading(&mut self) {
        if self.election.phase() == Phase::Loading && self.now > self.load_heard_at + LOAD_PATIENCE_MS {
            self.step_down(500);
        }
    }
}
