//! What is due happens: ticks, arrivals, requests of users, faults and restarts.

use super::*;

impl World {
    pub(super) fn dispatch(&mut self, event: ScheduledEvent) {
        if let ScheduledEvent::Tick(node)
        | ScheduledEvent::Input { node, .. }
        | ScheduledEvent::ReportArrives { node, .. } = &event
            && self.stands_still(*node)
        {
            // The tick first: it was due all the time.
            let late = u64::from(!matches!(event, ScheduledEvent::Tick(_)));
            let thaw = self.nodes[*node].frozen_until;
            self.at(thaw + late, event);
            return;
        }
        match event {
            ScheduledEvent::Tick(_)
            | ScheduledEvent::Input { .. }
            | ScheduledEvent::Thawed { .. }
            | ScheduledEvent::ReportArrives { .. }
            | ScheduledEvent::Restart(_) => self.dispatch_to_controller(event),
            ScheduledEvent::Store { caller, request, reply } => self.store_call(caller, request, reply),
            ScheduledEvent::Cloud { .. } | ScheduledEvent::Direct { .. } => self.dispatch_to_service(event),
            ScheduledEvent::ReportAnswered { machine, id, answer } => self.report_answered(&machine, id, &answer),
            ScheduledEvent::ClusterStep => {
                self.step_cluster();
                self.at(self.now + 100, ScheduledEvent::ClusterStep);
            }
            ScheduledEvent::User(_) | ScheduledEvent::UserNow(_) | ScheduledEvent::UserAnswered { .. } => {
                self.dispatch_to_user(event);
            }
            ScheduledEvent::Fault(fault) => self.inject_fault(fault),
        }
    }

    fn dispatch_to_controller(&mut self, event: ScheduledEvent) {
        match event {
            ScheduledEvent::Thawed {
                node,
                incarnation,
                output,
            } if self.nodes[node].incarnation == incarnation => {
                self.output(node, incarnation, output);
            }
            ScheduledEvent::Tick(node) if self.nodes[node].controller.is_some() => {
                self.step(node, Input::Tick);
                self.at(self.now + 50, ScheduledEvent::Tick(node));
            }
            ScheduledEvent::Input {
                node,
                incarnation,
                input,
            } if self.nodes[node].incarnation == incarnation => self.step(node, input),
            ScheduledEvent::ReportArrives {
                node,
                machine,
                report,
                id,
            } if self.nodes[node].controller.is_some() => {
                let request = self.expect(node, Waiting::Report { machine, id });
                self.step(node, Input::Report { request, report });
            }
            ScheduledEvent::Restart(node) => self.restart(node),
            // The run of the controller that it was meant for has ended.
            _ => {}
        }
    }

    /// A call reaches the cloud or a worker, which answers unless the answer is lost.
    fn dispatch_to_service(&mut self, event: ScheduledEvent) {
        match event {
            ScheduledEvent::Cloud { caller, request, reply } => {
                let answer = self.cloud_call(&request);
                if reply {
                    self.give_cloud_reply(caller, 20, answer);
                }
            }
            ScheduledEvent::Direct {
                caller,
                machine,
                commands,
                reply,
            } => {
                let answer = self.direct(&machine, &commands);
                if reply {
                    let delay = self.delay();
                    self.give_worker_reply(caller, delay, answer);
                }
            }
            _ => {}
        }
    }

    fn dispatch_to_user(&mut self, event: ScheduledEvent) {
        match event {
            ScheduledEvent::User(job) => {
                self.at(self.now + 2_500, ScheduledEvent::User(job));
                self.user(job);
            }
            ScheduledEvent::UserNow(job) => self.user(job),
            ScheduledEvent::UserAnswered {
                job,
                kind,
                given,
                answer,
            } => self.user_answered(job, kind, given, &answer),
            _ => {}
        }
    }
}
