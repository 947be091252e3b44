//! The dispatch of due events to controllers, services, workers and users.

use super::*;

impl World {
    /// Executes a due event, or postpones it if it is an input to a frozen controller.
    pub(super) fn dispatch(&mut self, event: ScheduledEvent) {
        if let ScheduledEvent::Tick(node)
        | ScheduledEvent::Input { node, .. }
        | ScheduledEvent::RepeatedMessage { node, .. }
        | ScheduledEvent::ReportArrives { node, .. } = &event
            && self.defers_input(*node)
        {
            // The tick and the other inputs were due during the freeze. Which of them the process
            // takes first when it resumes is open.
            let is_tick = matches!(event, ScheduledEvent::Tick(_));
            let is_later = is_tick == self.nodes[*node].takes_inputs_first;
            let resume_at = self.nodes[*node].frozen_until;
            self.schedule(resume_at + u64::from(is_later), event);
            return;
        }
        match event {
            ScheduledEvent::Tick(_)
            | ScheduledEvent::Input { .. }
            | ScheduledEvent::DelayedOutput { .. }
            | ScheduledEvent::RepeatedMessage { .. }
            | ScheduledEvent::ReportArrives { .. }
            | ScheduledEvent::Restart(_) => self.dispatch_to_controller(event),
            ScheduledEvent::Store { caller, request, reply } => {
                if reply {
                    self.maybe_repeat_store_request(caller, &request);
                }
                self.handle_store_request(caller, request, reply);
            }
            ScheduledEvent::Cloud { .. } | ScheduledEvent::Direct { .. } => self.dispatch_to_service(event),
            ScheduledEvent::ReportAnswered { machine, id, answer } => self.handle_report_answer(&machine, id, &answer),
            ScheduledEvent::ClusterStep => {
                self.step_cluster();
                self.schedule(self.now + 100, ScheduledEvent::ClusterStep);
            }
            ScheduledEvent::UserTurn(_)
            | ScheduledEvent::ExtraUserRequest(_)
            | ScheduledEvent::PollAt { .. }
            | ScheduledEvent::UserAnswered { .. } => self.dispatch_to_user(event),
            ScheduledEvent::Fault(fault) => self.inject_fault(fault),
        }
    }

    /// Executes an event of a controller. Inputs and outputs of an earlier run of it are dropped.
    fn dispatch_to_controller(&mut self, event: ScheduledEvent) {
        match event {
            ScheduledEvent::DelayedOutput {
                node,
                incarnation,
                output,
            } if self.nodes[node].incarnation == incarnation => {
                self.send_output(node, incarnation, output);
            }
            ScheduledEvent::Tick(node) if self.nodes[node].controller.is_some() => {
                self.step_controller(node, Input::Tick);
                self.schedule(self.now + 50, ScheduledEvent::Tick(node));
            }
            ScheduledEvent::Input {
                node,
                incarnation,
                input,
            } if self.nodes[node].incarnation == incarnation => self.step_controller(node, input),
            ScheduledEvent::RepeatedMessage { node, input } if self.nodes[node].controller.is_some() => {
                self.step_controller(node, input);
            }
            ScheduledEvent::ReportArrives {
                node,
                machine,
                report,
                id,
            } if self.nodes[node].controller.is_some() => {
                let request = self.register_request(node, PendingRequest::Report { machine, id });
                self.step_controller(node, Input::Report { request, report });
            }
            ScheduledEvent::Restart(node) => self.restart(node),
            // The controller is down, or the event was meant for an earlier run of it.
            _ => {}
        }
    }

    /// Delivers a call to the cloud or a worker, and its reply unless that is lost.
    fn dispatch_to_service(&mut self, event: ScheduledEvent) {
        match event {
            ScheduledEvent::Cloud { caller, request, reply } => {
                let answer = self.handle_cloud_request(&request);
                if reply {
                    self.maybe_repeat_cloud_request(caller, request);
                    self.schedule_cloud_reply(caller, 20, answer);
                }
            }
            ScheduledEvent::Direct {
                caller,
                machine,
                commands,
                reply,
            } => {
                let answer = self.deliver_direct_commands(&machine, &commands);
                if reply {
                    self.maybe_repeat_commands(caller, &machine, &commands);
                    let delay = self.draw_network_delay_ms();
                    self.schedule_worker_reply(caller, delay, answer);
                }
            }
            _ => {}
        }
    }

    /// Executes an event of a user; a turn schedules the next one 2.5 s later.
    fn dispatch_to_user(&mut self, event: ScheduledEvent) {
        match event {
            ScheduledEvent::UserTurn(job) => {
                self.schedule(self.now + 2_500, ScheduledEvent::UserTurn(job));
                self.send_user_request(job);
            }
            ScheduledEvent::ExtraUserRequest(job) => self.send_user_request(job),
            ScheduledEvent::PollAt { node, job } => self.poll_at(node, job),
            ScheduledEvent::UserAnswered {
                job,
                kind,
                sent_at,
                answer,
            } => self.handle_user_answer(job, kind, sent_at, &answer),
            _ => {}
        }
    }
}
