//! Worker reports: answered by the leader, relayed to it by the other controllers.

use super::{Controller, Output, SHARD};
use crate::peers::{Answer, Message, RelayedReport, RelayedReportReply, ReportReply, batches};
use crate::wire::{Redirect, Report};
use crate::workers::{MergeOutcome, ReportPath};

impl Controller {
    /// Handles a report that a worker sent to this controller: answers it as the leader, relays it
    /// to the leader, or sends the worker to another controller if there is no known leader or too
    /// many workers wait already.
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

    /// Answers a report that a worker sent directly to the leader.
    ///
    /// The leader's CPU is the scarcest resource, so it redirects workers to the other
    /// controllers, which relay their reports in batches.
    fn answer_local_report(&mut self, report: &Report) -> ReportReply {
        if self.leads()
            && let Some(node) = self.peers.next_reachable_peer(self.now)
            && self.redirects.should_redirect(self.now, &report.machine)
        {
            return match self.merge_worker_report(report, ReportPath::Heartbeat) {
                Some(MergeOutcome::Newest(_) | MergeOutcome::Stale) => ReportReply::Redirected(Some(node)),
                _ => ReportReply::Redirected(None),
            };
        }
        self.answer_report(report, None)
            .map_or(ReportReply::Redirected(None), ReportReply::Accepted)
    }

    /// Answers the worker's request with this number.
    fn answer_worker(&mut self, request: u64, reply: ReportReply) {
        let answer = report_answer(reply);
        self.outputs.push(Output::Answer { request, answer });
    }

    /// Answers the reports that a peer relayed to this leader.
    pub(super) fn on_relayed_reports(&mut self, node: String, reports: Vec<RelayedReport>) {
        let replies = reports
            .into_iter()
            .map(|RelayedReport { id, report }| {
                let answer = self.answer_report(&report, Some(&node));
                let reply = answer.map_or(ReportReply::Redirected(None), ReportReply::Accepted);
                RelayedReportReply { id, reply }
            })
            .collect();
        for replies in batches(replies) {
            let message = Message::ReportReplies { replies };
            let node = node.clone();
            self.outputs.push(Output::Peer { node, message });
        }
    }

    /// Passes the leader's replies on to the workers whose reports this controller relayed.
    pub(super) fn on_report_replies(&mut self, replies: Vec<RelayedReportReply>) {
        for RelayedReportReply { id, reply } in replies {
            if let Some(request) = self.report_relay.take_request(id) {
                self.answer_worker(request, reply);
            }
        }
    }

    /// Redirects workers whose relayed reports were not answered in time.
    pub(super) fn expire_relayed_reports(&mut self) {
        for request in self.report_relay.take_expired(self.now) {
            self.answer_worker(request, ReportReply::Redirected(None));
        }
    }

    /// Sends the collected reports and command replies if a flush is due. One large frame costs
    /// the leader far less than many small ones.
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

    /// Relays the collected reports to the leader, or redirects their workers if no leader is
    /// known.
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

    /// Redirects the workers of reports that cannot be relayed.
    fn refuse_reports(&mut self, reports: Vec<RelayedReport>) {
        for RelayedReport { id, .. } in reports {
            if let Some(request) = self.report_relay.take_request(id) {
                self.answer_worker(request, ReportReply::Redirected(None));
            }
        }
    }
}

/// Converts the leader's reply into the HTTP answer for the worker.
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
