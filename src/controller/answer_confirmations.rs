//! Messages with which controllers confirm to one another that an answer to a user is not contradicted.
//! See [`crate::admission`].

use super::{Controller, Output, SHARD};
use crate::peers::Message;
use crate::store::EndValue;

impl Controller {
    /// Handles such a message of the controller `node`. Those about another shard are ignored.
    pub(super) fn on_answer_confirmation(&mut self, node: String, message: Message) {
        match message {
            Message::ConfirmEnd {
                shard,
                job,
                end,
                revision,
            } if shard == SHARD => {
                let effects = self
                    .with_admission(|admission, context| admission.on_end_announced(context, node, job, end, revision));
                self.apply_effects(effects);
            }
            Message::EndConfirmed { job } => {
                let effects =
                    self.with_admission(|admission, context| admission.on_end_confirmed(context, &node, &job));
                self.apply_effects(effects);
            }
            Message::ConfirmUnknown { shard, id, job } if shard == SHARD => {
                let is_unknown = self.with_admission(|admission, context| admission.confirm_unknown(context, &job));
                let message = Message::UnknownConfirmed { id, is_unknown };
                self.outputs.push(Output::Peer { node, message });
            }
            Message::UnknownConfirmed { id, is_unknown } => self.on_unknown_confirmed(&node, id, is_unknown),
            _ => {}
        }
    }

    /// Handles another controller's reply to the question whether a job is unknown.
    fn on_unknown_confirmed(&mut self, node: &str, id: u64, is_unknown: bool) {
        if let Some(admission_request_id) = self.forwarded_requests.take(id) {
            let effects = self.with_admission(|admission, context| {
                admission.on_unknown_confirmed(context, admission_request_id, node, is_unknown)
            });
            self.apply_effects(effects);
        }
    }

    /// Announces the end of a job to the controller `node`.
    pub(super) fn announce_end(&mut self, node: String, job: String, end: EndValue, revision: u64) {
        let message = Message::ConfirmEnd {
            shard: SHARD.into(),
            job,
            end,
            revision,
        };
        self.outputs.push(Output::Peer { node, message });
    }

    /// Confirms the end of a job to the controller `node`.
    pub(super) fn confirm_end(&mut self, node: String, job: String) {
        let message = Message::EndConfirmed { job };
        self.outputs.push(Output::Peer { node, message });
    }

    /// Asks the controller `node` whether a job is unknown.
    pub(super) fn ask_whether_unknown(&mut self, admission_request_id: u64, node: String, job: String) {
        let id = self.peer_request_ids.next();
        self.forwarded_requests.add(id, admission_request_id);
        let shard = SHARD.into();
        let message = Message::ConfirmUnknown { shard, id, job };
        self.outputs.push(Output::Peer { node, message });
    }
}
