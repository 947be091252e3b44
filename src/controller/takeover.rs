//! Loading the shard's state as a new leader: machines, machine requests, jobs and their attempts.
//!
//! Pages are read one at a time, so that heartbeats and lease renewals are handled in between.

use super::store_calls::RETRY_MS;
use super::watching::WatchOutcome;
use super::{Controller, LoadStage, Purpose};
use crate::Millis;
use crate::election::Phase;
use crate::store::{StoreReply, StoreRequest, WatchPosition, strip_key_prefix};
use crate::wire::{Entry, Page};

/// Delay before the next claim after loading was aborted.
const CLAIM_DELAY_MS: Millis = 500;

impl Controller {
    /// Requests the page of `stage` that follows the key `after`.
    pub(super) fn load_page(&mut self, stage: LoadStage, after: String) {
        let prefix = match stage {
            LoadStage::Machines => self.keys.machine_groups(),
            LoadStage::MachineRequests => self.keys.machine_requests(),
            LoadStage::TaskChunks => self.keys.task_chunks(),
        };
        self.enqueue(Purpose::Load(stage), StoreRequest::List { prefix, after });
    }

    /// Handles the reply to a page request of `stage`.
    pub(super) fn on_load_reply(&mut self, stage: LoadStage, request: &StoreRequest, reply: StoreReply) {
        if self.election.phase() != Phase::Loading {
            return;
        }
        match reply {
            StoreReply::Page(page) => {
                self.load_progress.reply_received(self.now);
                self.on_loaded_page(stage, &page);
            }
            _ => self.enqueue_after(RETRY_MS, Purpose::Load(stage), request.clone()),
        }
    }

    /// Loads the entries of a page, then requests the next page or the next stage.
    fn on_loaded_page(&mut self, stage: LoadStage, page: &Page) {
        if self.shard.is_none() {
            return;
        }
        for entry in &page.items {
            self.load_entry(stage, entry);
        }
        match page.items.last() {
            Some(last) if page.more => self.load_page(stage, last.key.clone()),
            _ => self.load_next_stage(stage),
        }
    }

    fn load_entry(&mut self, stage: LoadStage, entry: &Entry) {
        let Some(shard) = &mut self.shard else {
            return;
        };
        match stage {
            LoadStage::Machines => {
                shard.load_group(self.now, strip_key_prefix(entry, &self.keys.machine_groups()), entry)
            }
            LoadStage::MachineRequests if entry.key == self.keys.newest_machine_request() => {
                shard.pending_writes.newest_request_loaded(entry.version);
            }
            LoadStage::MachineRequests => shard.load_machine_request(entry),
            LoadStage::TaskChunks => self.load_task_chunk(entry),
        }
    }

    fn load_task_chunk(&mut self, entry: &Entry) {
        let Some(shard) = &mut self.shard else {
            return;
        };
        let Some((job, number)) = strip_key_prefix(entry, &self.keys.task_chunks()).split_once('/') else {
            return;
        };
        // The watch cache was brought up to date before this stage. A job that is missing from it
        // was deleted while these pages were read.
        if shard.jobs.table.find(job).is_some()
            && let Ok(number) = number.parse()
        {
            shard.load_chunk(self.now, job, number, entry);
        }
    }

    fn load_next_stage(&mut self, stage: LoadStage) {
        match stage {
            LoadStage::Machines => self.load_page(LoadStage::MachineRequests, String::new()),
            LoadStage::MachineRequests => self.load_progress.schedule_jobs(self.now),
            LoadStage::TaskChunks => self.on_loaded(),
        }
    }

    /// Requests the changes that bring the watch cache past the claim, if the jobs are to be loaded
    /// from it and it is complete.
    pub(super) fn advance_loading(&mut self) {
        if self.election.phase() == Phase::Loading
            && let Some(position) = self.watch_cache.position()
            && self.load_progress.take_jobs_due(self.now)
        {
            self.enqueue(Purpose::LoadJobs(position), self.watch_request(position, 0));
        }
    }

    /// Loads the jobs from the watch cache, which this reply brings past the claim, and then requests
    /// their task chunks. Without the reply, the changes are requested again.
    pub(super) fn on_load_jobs_reply(&mut self, position: WatchPosition, reply: StoreReply) {
        if self.election.phase() != Phase::Loading {
            return;
        }
        if self.apply_watch_log(position, reply) != WatchOutcome::UpToDate {
            self.load_progress.schedule_jobs(self.now + RETRY_MS);
            return;
        }
        self.load_progress.reply_received(self.now);
        // Applying the changes may have shown the claim of another controller.
        let Some(shard) = &mut self.shard else {
            return;
        };
        for (id, (key, version)) in self.watch_cache.jobs() {
            shard.job_changed(self.now, id, key, *version);
        }
        self.load_page(LoadStage::TaskChunks, String::new());
    }

    /// Completes loading: this controller starts to act as the leader.
    fn on_loaded(&mut self) {
        let Some(shard) = &mut self.shard else {
            return;
        };
        shard.finish_loading();
        // Contacting each worker directly saves waiting one report interval.
        shard.workers.delivery_due.extend(shard.workers.machines.indices());
        tracing::info!(
            term = self.election.term(),
            jobs = shard.jobs.table.len(),
            machines = shard.workers.machines.len(),
            attempts = shard.workers.attempts.iter().count(),
            revision = self.watch_cache.revision(),
            took_ms = self.load_progress.elapsed_ms(self.now),
            "took over the shard"
        );
        self.election.activate();
        self.placement_rounds.request();
    }

    /// Steps down if loading has stalled. Loading continues as long as replies arrive.
    pub(super) fn abort_stalled_loading(&mut self) {
        if self.election.phase() == Phase::Loading && self.load_progress.is_stalled(self.now) {
            self.step_down(CLAIM_DELAY_MS);
        }
    }
}
