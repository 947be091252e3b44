//! What every controller does beside owning: answering peers, and guiding or
//! relaying the reports of workers.

use super::{Controller, Output, SHARE};
use crate::Millis;
use crate::intake::{Asker, busy};
use crate::peers::{Answer, Message, ReportReply};
use crate::wire::{Redirect, Report};

const RELAY_PATIENCE_MS: Millis = 3_000;
/// A worker back so soon after being sent to the owner can't reach it.
const BACK_SOON_MS: Millis = 25_000;
const GUEST_MS: Millis = 90_000;
const MAX_GUESTS: usize = 5_000;

/// A worker that reported here while another controller owned the share.
#[derive(Clone, Copy, Debug)]
pub struct Guest {
    at: Millis,
    sent_on: bool,
    /// It came back: its reports are relayed from now on.
    stays: bool,
}

impl Controller {
    pub(super) fn report(&mut self, request: u64, report: Report) {
        if self.ownership.holds_claim() {
            let reply = match self.answer_report(&report) {
                Some(answer) => ReportReply::Taken(answer),
                None => ReportReply::Elsewhere(None),
            };
            self.outputs.push(Output::Answer {
                request,
                answer: report_answer(reply),
            });
            return;
        }
        let Some(owner) = self.peers.owner(self.now).map(str::to_owned) else {
            let answer = report_answer(ReportReply::Elsewhere(None));
            self.outputs.push(Output::Answer { request, answer });
            return;
        };
        if self.sends_on(&report.machine) {
            let answer = report_answer(ReportReply::Elsewhere(Some(owner)));
            self.outputs.push(Output::Answer { request, answer });
            return;
        }
        self.next_forward += 1;
        let id = self.next_forward;
        self.relays.insert(id, (request, self.now + RELAY_PATIENCE_MS));
        self.outputs.push(Output::Peer {
            node: owner,
            message: Message::Relay {
                share: SHARE.into(),
                id,
                report: Box::new(report),
            },
        });
    }

    /// The first report of a worker is relayed, so that no time is lost; the
    /// second sends it to the owner; if it comes back, it can't reach the owner
    /// and is relayed for good.
    fn sends_on(&mut self, machine: &str) -> bool {
        let now = self.now;
        if self.guests.len() >= MAX_GUESTS {
            self.guests.clear();
        }
        let guest = self.guests.entry(machine.into()).or_insert(Guest {
            at: 0,
            sent_on: false,
            stays: false,
        });
        if guest.at == 0 || now > guest.at + GUEST_MS {
            *guest = Guest {
                at: now,
                sent_on: false,
                stays: false,
            };
            return false;
        }
        let since = now - guest.at;
        guest.at = now;
        if guest.stays {
            return false;
        }
        if guest.sent_on && since < BACK_SOON_MS {
            guest.stays = true;
            return false;
        }
        guest.sent_on = true;
        true
    }

    pub(super) fn peer(&mut self, node: String, message: Message) {
        match message {
            Message::Beat {
                share,
                owns_term,
                store_ok,
                ..
            } => {
                let owns_term = owns_term.filter(|_| share == SHARE);
                self.peers.beat(self.now, &node, owns_term, store_ok);
            }
            Message::Forward { share, id, ask } => {
                let asker = Asker::Peer { node: node.clone(), id };
                if share != SHARE {
                    self.outputs.push(Output::Peer {
                        node,
                        message: Message::Forwarded {
                            id,
                            answer: busy("another share"),
                        },
                    });
                    return;
                }
                // Never forwarded twice.
                let wants = self.with_intake(|intake, around, _| intake.ask(around, asker, ask, None));
                self.carry_out(wants);
            }
            Message::Forwarded { id, answer } => {
                if let Some(op) = self.forwards.remove(&id) {
                    let wants = self.intake.forwarded(op, answer);
                    self.carry_out(wants);
                }
            }
            Message::Relay { id, report, .. } => {
                let reply = match self.answer_report(&report) {
                    Some(answer) => ReportReply::Taken(answer),
                    None => ReportReply::Elsewhere(None),
                };
                self.outputs.push(Output::Peer {
                    node,
                    message: Message::Relayed { id, reply },
                });
            }
            Message::Relayed { id, reply } => {
                if let Some((request, _)) = self.relays.remove(&id) {
                    let answer = report_answer(reply);
                    self.outputs.push(Output::Answer { request, answer });
                }
            }
            Message::Counts { share, counts } => {
                if share == SHARE {
                    let counts = counts.into_iter().map(|(id, done, running)| (id, (done, running)));
                    self.peers.counts = counts.collect();
                }
            }
        }
    }

    pub(super) fn standby_tick(&mut self) {
        let now = self.now;
        let late: Vec<u64> = self
            .relays
            .iter()
            .filter(|(_, (_, until))| now >= *until)
            .map(|(&id, _)| id)
            .collect();
        for id in late {
            if let Some((request, _)) = self.relays.remove(&id) {
                let answer = report_answer(ReportReply::Elsewhere(None));
                self.outputs.push(Output::Answer { request, answer });
            }
        }
        // Forwards are given up by intake; what is left here is forgotten with it.
        if self.forwards.len() > 2_000 {
            let oldest = self.next_forward.saturating_sub(1_000);
            self.forwards.retain(|&id, _| id > oldest);
        }
    }
}

fn report_answer(reply: ReportReply) -> Answer {
    let (status, body) = match reply {
        ReportReply::Taken(answer) => (200, serde_json::to_string(&answer)),
        ReportReply::Elsewhere(Some(node)) => (421, serde_json::to_string(&Redirect { report_to: Some(node) })),
        ReportReply::Elsewhere(None) => (503, Ok("{}".into())),
    };
    Answer {
        status,
        body: body.unwrap_or_default(),
        retry_after_s: None,
    }
}
