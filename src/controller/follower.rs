//! What every controller does beside leading: answering peers, relaying the
//! reports of workers to the leader, and handing its commands to them.

use super::{Controller, Output, SHARD};
use crate::Millis;
use crate::admission::{Requester, busy};
use crate::peers::{
    AddressedCommands, Answer, CancelledJob, CommandReply, HeartbeatState, Message, RelayedReport, RelayedReportReply,
    ReportReply, WorkerReply,
};
use crate::wire::{JobState, Redirect, Report};
use crate::workers::{Merged, ReportPath};

const RELAY_PATIENCE_MS: Millis = 3_000;
/// A worker back so soon after being sent on can't use that controller.
const REDIRECT_FAILED_WITHIN_MS: Millis = 25_000;
const STAY_AFTER_FAILED_REDIRECT_MS: Millis = 60_000;
/// How often workers sent on long ago are forgotten.
const FORGET_REDIRECTED_MS: Millis = 10_000;
/// How often reports are relayed to the leader and replies returned to it. A frame
/// costs the leader more than most of what it holds.
const RELAY_EVERY_MS: Millis = 100;
/// Cancellations told with a promise; one that would take more is not given.
const MAX_CANCELLED: usize = 200;
/// Reports or replies in one message, so that frames stay small.
const BATCH: usize = 64;

/// A worker that the leader sent on to another controller.
#[derive(Clone, Copy, Debug)]
pub struct RedirectedWorker {
    sent_on_at: Millis,
    stays_until: Millis,
}

impl RedirectedWorker {
    /// Whether it still matters that the worker was sent on.
    fn counts(&self, now: Millis) -> bool {
        now < self.stays_until.max(self.sent_on_at + REDIRECT_FAILED_WITHIN_MS)
    }
}

impl Controller {
    pub(super) fn report(&mut self, request: u64, report: Report) {
        if self.election.holds_claim() {
            let reply = self.answer_local_report(&report);
            self.answer_worker(request, reply);
            return;
        }
        if self.peers.leader(self.now).is_none() || self.relays.len() >= self.connections.served as usize {
            self.answer_worker(request, ReportReply::Redirected(None));
            return;
        }
        self.next_forward += 1;
        let id = self.next_forward;
        self.relays.insert(id, (request, self.now + RELAY_PATIENCE_MS));
        self.reports_to_relay.push(RelayedReport { id, report });
    }

    /// A report that came to the leader itself. Its processor is the scarcest, so
    /// it sends workers on to the others, which relay their reports.
    fn answer_local_report(&mut self, report: &Report) -> ReportReply {
        if self.leads()
            && let Some(node) = self.next_peer()
            && self.should_redirect(&report.machine)
        {
            return match self.merge_worker_report(report, ReportPath::Heartbeat) {
                Some(Merged::Newest(_) | Merged::Stale) => ReportReply::Redirected(Some(node)),
                _ => ReportReply::Redirected(None),
            };
        }
        self.answer_report(report, None)
            .map_or(ReportReply::Redirected(None), ReportReply::Accepted)
    }

    fn answer_worker(&mut self, request: u64, reply: ReportReply) {
        let answer = report_answer(reply);
        self.outputs.push(Output::Answer { request, answer });
    }

    /// The controllers in reach, one after the other.
    pub(super) fn next_peer(&mut self) -> Option<String> {
        let peers = self.peers.all_in_reach(self.now);
        self.next_path = self.next_path.wrapping_add(1);
        let node = *peers.get(self.next_path % peers.len().max(1))?;
        Some(node.to_owned())
    }

    /// A worker that comes back soon after it was sent on can't use the
    /// controller it was sent to, and stays for a while.
    fn should_redirect(&mut self, machine: &str) -> bool {
        let now = self.now;
        match self.redirected.get_mut(machine) {
            Some(redirected) if now < redirected.stays_until => false,
            Some(redirected) if now < redirected.sent_on_at + REDIRECT_FAILED_WITHIN_MS => {
                redirected.stays_until = now + STAY_AFTER_FAILED_REDIRECT_MS;
                false
            }
            _ => {
                let redirected = RedirectedWorker {
                    sent_on_at: now,
                    stays_until: 0,
                };
                self.redirected.insert(machine.into(), redirected);
                true
            }
        }
    }

    /// A worker's answer to direct commands, our own or those held for a leader.
    pub(super) fn on_worker_reply(&mut self, call: u64, reply: WorkerReply) {
        match self.delegated_deliveries.remove(&call) {
            Some((node, id)) => self
                .delivery_replies
                .entry(node)
                .or_default()
                .push(CommandReply { id, reply }),
            None => self.worker_reply(call, reply),
        }
    }

    fn deliver_for_leader(&mut self, node: String, commands: Vec<AddressedCommands>) {
        for AddressedCommands { id, address, commands } in commands {
            if self.delegated_deliveries.len() >= self.connections.in_flight {
                let refused = CommandReply {
                    id,
                    reply: WorkerReply::NotDelivered,
                };
                self.delivery_replies.entry(node.clone()).or_default().push(refused);
                continue;
            }
            let call = self.call();
            self.delegated_deliveries.insert(call, (node.clone(), id));
            self.outputs.push(Output::Worker {
                call,
                address,
                commands,
            });
        }
    }

    /// Sends on what has come together since the last tick: one frame costs the
    /// leader far less than many.
    fn flush_relays(&mut self) {
        let mut reports = std::mem::take(&mut self.reports_to_relay);
        if !reports.is_empty() {
            match self.peers.leader(self.now).map(str::to_owned) {
                Some(leader) => {
                    while !reports.is_empty() {
                        let rest = reports.split_off(reports.len().min(BATCH));
                        self.outputs.push(Output::Peer {
                            node: leader.clone(),
                            message: Message::RelayReports {
                                shard: SHARD.into(),
                                reports: std::mem::replace(&mut reports, rest),
                            },
                        });
                    }
                }
                None => {
                    for RelayedReport { id, .. } in reports {
                        if let Some((request, _)) = self.relays.remove(&id) {
                            self.answer_worker(request, ReportReply::Redirected(None));
                        }
                    }
                }
            }
        }
        for (node, mut replies) in std::mem::take(&mut self.delivery_replies) {
            while !replies.is_empty() {
                let rest = replies.split_off(replies.len().min(BATCH));
                self.outputs.push(Output::Peer {
                    node: node.clone(),
                    message: Message::CommandReplies {
                        replies: std::mem::replace(&mut replies, rest),
                    },
                });
            }
        }
    }

    pub(super) fn peer(&mut self, node: String, message: Message) {
        match message {
            Message::Heartbeat {
                shard,
                leading_term,
                store_reachable,
                ..
            } => {
                let leading_term = leading_term.filter(|_| shard == SHARD);
                self.peers.on_heartbeat(
                    self.now,
                    &node,
                    HeartbeatState {
                        leading_term,
                        store_reachable,
                    },
                );
            }
            Message::ForwardRequest {
                shard,
                id,
                user_request,
            } => {
                let requester = Requester::Peer { node: node.clone(), id };
                if shard != SHARD {
                    self.outputs.push(Output::Peer {
                        node,
                        message: Message::ForwardReply {
                            id,
                            answer: busy("another shard"),
                        },
                    });
                    return;
                }
                // Never forwarded twice.
                let wants = self
                    .with_admission(|admission, context, _| admission.handle(context, requester, user_request, None));
                self.apply_effects(wants);
            }
            Message::ForwardReply { id, answer } => {
                if let Some(op) = self.forwards.remove(&id) {
                    let wants = self.admission.forwarded(op, answer);
                    self.apply_effects(wants);
                }
            }
            Message::RelayReports { reports, .. } => {
                let answers = reports
                    .into_iter()
                    .map(|RelayedReport { id, report }| {
                        let answer = self.answer_report(&report, Some(&node));
                        let reply = answer.map_or(ReportReply::Redirected(None), ReportReply::Accepted);
                        RelayedReportReply { id, reply }
                    })
                    .collect();
                let message = Message::ReportReplies { answers };
                self.outputs.push(Output::Peer { node, message });
            }
            Message::ReportReplies { answers } => {
                for RelayedReportReply { id, reply } in answers {
                    if let Some((request, _)) = self.relays.remove(&id) {
                        self.answer_worker(request, reply);
                    }
                }
            }
            Message::RequestLeaseExtension {
                term,
                requested_at,
                watch_revision,
                ..
            } => self.on_extension_request(node, term, requested_at, watch_revision),
            Message::GrantLeaseExtension {
                term,
                requested_at,
                cancelled_jobs,
            } => {
                if term == self.election.term() {
                    self.on_extension_grant(&node, requested_at, cancelled_jobs);
                }
            }
            Message::DeliverCommands { commands, .. } => self.deliver_for_leader(node, commands),
            Message::CommandReplies { replies } => {
                for CommandReply { id, reply } in replies {
                    self.worker_reply(id, reply);
                }
            }
            Message::TaskCounts { shard, counts } => {
                if shard == SHARD {
                    self.peers.set_task_counts(counts);
                }
            }
        }
    }

    /// The leader can't reach the state service. If nor can we, and we know what
    /// was cancelled, we promise not to claim, and tell it of what it may not know.
    fn on_extension_request(&mut self, node: String, term: u64, requested_at: u64, watch_revision: u64) {
        let out = self.store_failed_at > self.store_ok_at;
        if !out || !self.watch_cache.complete {
            return;
        }
        let newer = self.watch_cache.jobs().values();
        let newer = newer.filter(|(key, version)| *version > watch_revision && key.ended == Some(JobState::Cancelled));
        let cancelled_jobs: Vec<_> = newer
            .take(MAX_CANCELLED + 1)
            .map(|(key, version)| CancelledJob {
                key: key.clone(),
                version: *version,
            })
            .collect();
        if cancelled_jobs.len() <= MAX_CANCELLED && self.election.grant_extension(self.now) {
            let message = Message::GrantLeaseExtension {
                term,
                requested_at,
                cancelled_jobs,
            };
            self.outputs.push(Output::Peer { node, message });
        }
    }

    /// What was cancelled through others is stopped before their promise counts.
    fn on_extension_grant(&mut self, node: &str, requested_at: Millis, cancelled_jobs: Vec<CancelledJob>) {
        if !self.election.is_acting_leader(self.now) {
            return;
        }
        for CancelledJob { key, version } in cancelled_jobs {
            let id = key.spec.id.clone();
            let known = self.watch_cache.jobs().get(&id);
            if version > self.watch_cache.revision && known.is_none_or(|&(_, known)| known < version) {
                self.watch_cache.record_job(&id, key, version);
                self.job_changed(&id);
            }
        }
        self.peers.extension_granted(node, requested_at);
        if let Some(requested_at) = self.peers.extension_granted_by_all() {
            self.election.lease_extended(self.now, requested_at);
        }
    }

    pub(super) fn follower_tick(&mut self) {
        let now = self.now;
        let late: Vec<u64> = self
            .relays
            .iter()
            .filter(|(_, (_, until))| now >= *until)
            .map(|(&id, _)| id)
            .collect();
        for id in late {
            if let Some((request, _)) = self.relays.remove(&id) {
                self.answer_worker(request, ReportReply::Redirected(None));
            }
        }
        if now >= self.relayed_at + RELAY_EVERY_MS {
            self.relayed_at = now;
            self.flush_relays();
        }
        if now >= self.redirected_at + FORGET_REDIRECTED_MS {
            self.redirected_at = now;
            self.redirected.retain(|_, redirected| redirected.counts(now));
        }
        // Forwards are given up by admission; what is left here is forgotten with it.
        if self.forwards.len() > 2_000 {
            let oldest = self.next_forward.saturating_sub(1_000);
            self.forwards.retain(|&id, _| id > oldest);
        }
    }
}

fn report_answer(reply: ReportReply) -> Answer {
    let (status, body) = match reply {
        ReportReply::Accepted(answer) => (200, serde_json::to_string(&answer)),
        ReportReply::Redirected(Some(node)) => (421, serde_json::to_string(&Redirect { report_to: Some(node) })),
        ReportReply::Redirected(None) => (503, Ok("{}".into())),
    };
    Answer {
        status,
        body: body.unwrap_or_default(),
        retry_after_s: None,
    }
}
