//! What is due happens: ticks, arrivals, requests of users, faults and restarts.

use super::*;

impl World {
    pub(super) fn happen(&mut self, happening: Happening) {
        if let Happening::Tick(node) | Happening::Input { node, .. } | Happening::ReportArrives { node, .. } =
            &happening
            && self.stands_still(*node)
        {
            // The tick first: it was due all the time.
            let late = u64::from(!matches!(happening, Happening::Tick(_)));
            let thaw = self.nodes[*node].frozen_until;
            self.at(thaw + late, happening);
            return;
        }
        match happening {
            Happening::Tick(_)
            | Happening::Input { .. }
            | Happening::Thawed { .. }
            | Happening::ReportArrives { .. }
            | Happening::Restart(_) => self.happen_to_controller(happening),
            Happening::Store { caller, request, reply } => self.store_call(caller, request, reply),
            Happening::Cloud { .. } | Happening::Direct { .. } => self.happen_to_service(happening),
            Happening::ReportAnswered { machine, id, answer } => self.report_answered(&machine, id, &answer),
            Happening::World => {
                self.world();
                self.at(self.now + 100, Happening::World);
            }
            Happening::User(_) | Happening::UserNow(_) | Happening::UserAnswered { .. } => {
                self.happen_to_user(happening);
            }
            Happening::Trouble(trouble) => self.trouble(trouble),
        }
    }

    fn happen_to_controller(&mut self, happening: Happening) {
        match happening {
            Happening::Thawed {
                node,
                incarnation,
                output,
            } if self.nodes[node].incarnation == incarnation => {
                self.output(node, incarnation, output);
            }
            Happening::Tick(node) if self.nodes[node].controller.is_some() => {
                self.step(node, Input::Tick);
                self.at(self.now + 50, Happening::Tick(node));
            }
            Happening::Input {
                node,
                incarnation,
                input,
            } if self.nodes[node].incarnation == incarnation => self.step(node, input),
            Happening::ReportArrives {
                node,
                machine,
                report,
                id,
            } if self.nodes[node].controller.is_some() => {
                let request = self.expect(node, Waiting::Report { machine, id });
                self.step(node, Input::Report { request, report });
            }
            Happening::Restart(node) => self.restart(node),
            // The run of the controller that it was meant for has ended.
            _ => {}
        }
    }

    /// A call reaches the cloud or a worker, which answers unless the answer is lost.
    fn happen_to_service(&mut self, happening: Happening) {
        match happening {
            Happening::Cloud { caller, request, reply } => {
                let answer = self.cloud_call(&request);
                if reply {
                    self.give_cloud_reply(caller, 20, answer);
                }
            }
            Happening::Direct {
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

    fn happen_to_user(&mut self, happening: Happening) {
        match happening {
            Happening::User(job) => {
                self.at(self.now + 2_500, Happening::User(job));
                self.user(job);
            }
            Happening::UserNow(job) => self.user(job),
            Happening::UserAnswered {
                job,
                kind,
                given,
                answer,
            } => self.user_answered(job, kind, given, &answer),
            _ => {}
        }
    }
}
