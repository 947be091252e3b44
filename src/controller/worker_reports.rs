//! Reports of workers: answered as the leader, or relayed to it.

use super::{Controller, Output, SHARD};
use crate::peers::{Answer, Message, RelayedReport, RelayedReportReply, ReportReply};
use crate::wire::{Redirect, Report};
use crate::workers::{Merged, ReportPath};

/// Reports or replies in one message, so that frames stay small.
const BATCH_SIZE: usize = 64;

impl Controller {
    pub(super) fn on_report(&mut self, request: u64, report: Report) {
        if self.election.holds_claim() {
            let reply = self.answer_local_report(&report);
            self.answer_worker(request, reply);
            return;
        }
        if self.peers.leader(self.now).is_none() || self.report_relay.len() >= self.connections.served as usize {
            self.answer_worker(request, ReportReply::Redirected(None));
            return;
        }
        let id = self.peer_request_ids.next();
        self.report_relay.add(self.now, id, request, report);
    }

    /// A report that came to the leader itself. Its processor is the scarcest, so
    /// it sends workers on to the others, which relay their reports.
    fn answer_local_report(&mut self, report: &Report) -> ReportReply {
        if self.leads()
            && let Some(node) = self.peers.next_in_reach(self.now)
            && self.redirects.should_redirect(self.now, &report.machine)
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

    /// As the leader: answers reports that a peer relays.
    pub(super) fn on_relayed_reports(&mut self, node: String, reports: Vec<RelayedReport>) {
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

    /// The leader's replies to reports relayed by us.
    pub(super) fn on_report_replies(&mut self, answers: Vec<RelayedReportReply>) {
        for RelayedReportReply { id, reply } in answers {
            if let Some(request) = self.report_relay.take_request(id) {
                self.answer_worker(request, reply);
            }
        }
    }

    /// Sends workers elsewhere whose reports got no reply.
    pub(super) fn expire_relayed_reports(&mut self) {
        for request in self.report_relay.take_expired(self.now) {
            self.answer_worker(request, ReportReply::Redirected(None));
        }
    }

    /// Sends on what has come together, if it is time: one frame costs the leader far
    /// less than many.
    pub(super) fn flush_relays(&mut self) {
        if !self.report_relay.take_flush_due(self.now) {
            return;
        }
        self.flush_reports();
        for (node, replies) in self.delegated_commands.take_replies() {
            for replies in batches(replies) {
                let message = Message::CommandReplies { replies };
                self.outputs.push(Output::Peer {
                    node: node.clone(),
                    message,
                });
            }
        }
    }

    fn flush_reports(&mut self) {
        let reports = self.report_relay.take_unsent();
        if reports.is_empty() {
            return;
        }
        let Some(leader) = self.peers.leader(self.now).map(str::to_owned) else {
            self.refuse_reports(reports);
            return;
        };
        for reports in batches(reports) {
            let shard = SHARD.into();
            let message = Message::RelayReports { shard, reports };
            let node = leader.clone();
            self.outputs.push(Output::Peer { node, message });
        }
    }

    fn refuse_reports(&mut self, reports: Vec<RelayedReport>) {
        for RelayedReport { id, .. } in reports {
            if let Some(request) = self.report_relay.take_request(id) {
                self.answer_worker(request, ReportReply::Redirected(None));
            }
        }
    }
}

/// Parts of at most [`BATCH`], in order.
fn batches<T>(mut items: Vec<T>) -> impl Iterator<Item = Vec<T>> {
    std::iter::from_fn(move || {
        if items.is_empty() {
            return None;
        }
        let rest = items.split_off(items.len().min(BATCH_SIZE));
        Some(std::mem::replace(&mut items, rest))
    })
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
