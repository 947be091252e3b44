//! A generated-input test of starts, ends, forgets, fencing tokens and agent epochs, with copies of
//! direct commands at any time.

use super::worker_stand_in::WorkerStandIn;
use super::*;
use crate::fencing::last_token;
use crate::ids::MachineIx;
use crate::wire::{Condition, DirectCommands, ExitReason, ReportAnswer};
use crate::workers::{MergeOutcome, ReportPath};
use proptest::prelude::*;
use std::collections::BTreeSet;

const MACHINES: [&str; 2] = ["host-1", "host-2"];
const TASKS: u32 = 8;
/// The time between two events.
const EVENT_INTERVAL_MS: Millis = 700;

/// One event of a run. Machines are indices of [`MACHINES`].
#[derive(Clone, Debug)]
enum Event {
    /// The leader places tasks, and may write them at once.
    Place { is_written: bool },
    /// Everything that is to be written is written.
    Write,
    /// The leader sends direct commands.
    Call { machine: usize },
    /// A direct call reaches its worker: for the first time with a reply, later as a copy.
    Arrive { call: prop::sample::Index },
    /// The leader gives a direct call up.
    TimeOut { call: prop::sample::Index },
    /// A worker reports; the leader's answer may be lost.
    Report { machine: usize, is_answer_lost: bool },
    /// The running tasks of a worker end.
    End { machine: usize, exit_reason: ExitReason },
    /// The leader stops what is open on a machine.
    Stop { machine: usize },
    /// A worker refuses starts from now on, or no longer.
    Refuse { machine: usize, refuses_starts: bool },
    /// A worker begins its next agent epoch.
    NextEpoch { machine: usize },
    /// The leader raises its term.
    RaiseTerm,
}

fn event() -> impl Strategy<Value = Event> {
    let machine = 0..MACHINES.len();
    let exit_reason = prop::sample::select(vec![ExitReason::Error, ExitReason::Stopped, ExitReason::Stopped]);
    prop_oneof![
        6 => prop::bool::weighted(0.8).prop_map(|is_written| Event::Place { is_written }),
        3 => Just(Event::Write),
        7 => machine.clone().prop_map(|machine| Event::Call { machine }),
        8 => any::<prop::sample::Index>().prop_map(|call| Event::Arrive { call }),
        4 => any::<prop::sample::Index>().prop_map(|call| Event::TimeOut { call }),
        5 => (machine.clone(), prop::bool::weighted(0.2))
            .prop_map(|(machine, is_answer_lost)| Event::Report { machine, is_answer_lost }),
        3 => (machine.clone(), exit_reason).prop_map(|(machine, exit_reason)| Event::End { machine, exit_reason }),
        3 => machine.clone().prop_map(|machine| Event::Stop { machine }),
        1 => (machine.clone(), any::<bool>())
            .prop_map(|(machine, refuses_starts)| Event::Refuse { machine, refuses_starts }),
        1 => machine.prop_map(|machine| Event::NextEpoch { machine }),
        1 => Just(Event::RaiseTerm),
    ]
}

/// A direct call, of which copies may arrive at any time.
struct Call {
    machine: usize,
    commands: DirectCommands,
    sent_at: Millis,
    /// Whether the leader waits for the reply.
    is_awaited: bool,
}

/// A leader's shard and two workers.
struct Run {
    shard: Shard,
    workers: Vec<WorkerStandIn>,
    calls: Vec<Call>,
    now: Millis,
    revision: u64,
}

impl Run {
    fn new() -> Run {
        let mut run = Run {
            shard: shard_with(5, &[("small", 8.0)], TASKS, false),
            workers: MACHINES.map(WorkerStandIn::new).into(),
            calls: Vec::new(),
            now: 0,
            revision: 1,
        };
        for machine in 0..MACHINES.len() {
            let first_report = run.workers[machine].report();
            let path = ReportPath::CommandReply { commands_sent_at: 0 };
            run.shard.merge_report(0, &first_report, path);
            run.machine_mut(machine).is_persisted = true;
        }
        run
    }

    fn machine_ix(&self, machine: usize) -> MachineIx {
        let found = self.shard.workers.machines.find(MACHINES[machine]);
        found.expect("known machine")
    }

    fn machine_mut(&mut self, machine: usize) -> &mut crate::workers::Machine {
        let ix = self.machine_ix(machine);
        self.shard.workers.machines.get_mut(ix).expect("known machine")
    }

    fn apply(&mut self, event: Event) {
        self.now += EVENT_INTERVAL_MS;
        match event {
            Event::Place { is_written } => {
                self.place();
                if is_written {
                    self.write();
                }
            }
            Event::Write => self.write(),
            Event::Call { machine } => self.call(machine),
            Event::Arrive { call } if !self.calls.is_empty() => self.arrive(call.index(self.calls.len())),
            Event::TimeOut { call } if !self.calls.is_empty() => self.time_out(call.index(self.calls.len())),
            Event::Report {
                machine,
                is_answer_lost,
            } => self.report(machine, is_answer_lost),
            Event::End { machine, exit_reason } => self.workers[machine].end_tasks(exit_reason),
            Event::Stop { machine } => self.stop(machine),
            Event::Refuse {
                machine,
                refuses_starts,
            } => self.workers[machine].refuses_starts = refuses_starts,
            Event::NextEpoch { machine } => self.workers[machine].begin_agent_epoch(),
            Event::RaiseTerm => self.shard.term = last_token(self.shard.term) + 1,
            Event::Arrive { .. } | Event::TimeOut { .. } => {}
        }
    }

    /// Lets the leader place tasks. No machine counts as late or faulty.
    fn place(&mut self) {
        for machine in 0..MACHINES.len() {
            let state = self.machine_mut(machine);
            state.report_due = Millis::MAX;
            state.cordoned_until = 0;
            state.missed_answers = 0;
            state.has_unanswered_command = false;
            state.decommissioned = false;
        }
        for (_, job) in self.shard.jobs.table.iter_mut() {
            job.consecutive_failures = 0;
            job.failed_on.clear();
        }
        self.shard.place(self.now);
    }

    fn write(&mut self) {
        let keys = Keys::new("pool");
        let claim = Condition {
            key: keys.leader(),
            version: 1,
        };
        while self
            .shard
            .next_transaction(self.now, &keys, claim.clone(), 48, 48)
            .is_some()
        {
            self.revision += 1;
            self.shard.committed(self.now, self.revision);
        }
    }

    fn call(&mut self, machine: usize) {
        let ix = self.machine_ix(machine);
        if self.machine_mut(machine).delivery.in_flight {
            return;
        }
        let (term, agent_epoch) = (self.shard.term, self.machine_mut(machine).agent_epoch);
        let fencing_token = self.shard.fencing_token_of(MACHINES[machine]);
        let workers = &mut self.shard.workers;
        let commands = workers.commands_for_direct_call(self.now, term, ix, &self.shard.jobs);
        if commands.is_empty() {
            return;
        }
        self.machine_mut(machine).delivery.in_flight = true;
        self.calls.push(Call {
            machine,
            commands: DirectCommands {
                fencing_token,
                agent_epoch,
                commands,
            },
            sent_at: self.now,
            is_awaited: true,
        });
    }

    fn arrive(&mut self, call: usize) {
        let call = &mut self.calls[call];
        let machine = call.machine;
        let reply = self.workers[machine].receive_commands(self.now, &call.commands);
        if std::mem::take(&mut call.is_awaited)
            && let WorkerReply::Executed(report) | WorkerReply::Refused(report) = reply
        {
            let path = ReportPath::CommandReply {
                commands_sent_at: call.sent_at,
            };
            self.shard.merge_report(self.now, &report, path);
            self.machine_mut(machine).delivery.in_flight = false;
        }
    }

    fn time_out(&mut self, call: usize) {
        let machine = self.calls[call].machine;
        if std::mem::take(&mut self.calls[call].is_awaited) {
            self.machine_mut(machine).delivery.in_flight = false;
        }
    }

    fn report(&mut self, machine: usize, is_answer_lost: bool) {
        let ix = self.machine_ix(machine);
        self.workers[machine].report_to(0);
        let Some((_, report)) = self.workers[machine].due_report(self.now, 1) else {
            return;
        };
        let merged = self.shard.merge_report(self.now, &report, ReportPath::Heartbeat);
        assert!(matches!(merged, MergeOutcome::Newest(_)));
        let answer = ReportAnswer {
            commands: self.shard.commands_for_answer(self.now, ix),
            fencing_token: self.shard.fencing_token_of(MACHINES[machine]),
        };
        if !is_answer_lost {
            let answer = Answer {
                status: 200,
                body: serde_json::to_string(&answer).expect("an answer"),
                retry_after_s: None,
            };
            self.workers[machine].receive_answer(self.now, &answer);
        }
    }

    fn stop(&mut self, machine: usize) {
        for attempt in self.machine_mut(machine).open.clone() {
            if let Some(attempt) = self.shard.workers.attempts.get_mut(attempt) {
                attempt.stop_grace_s = Some(0.0);
            }
        }
    }

    /// Checks that no attempt has begun twice in one agent epoch, no task runs on both machines, and
    /// no answer to a report was dropped for its token.
    fn check(&self) {
        for worker in &self.workers {
            let attempts: BTreeSet<_> = worker.started.iter().collect();
            assert_eq!(attempts.len(), worker.started.len(), "{:?}", worker.started);
            assert_eq!(worker.dropped_answers, 0);
        }
        let running = [0, 1].map(|machine: usize| self.workers[machine].running_tasks());
        assert!(running[0].is_disjoint(&running[1]), "{running:?}");
    }
}

proptest! {
    /// Guards against an attempt that a copy of a direct command starts again, in any order of events.
    #[test]
    fn no_order_of_events_and_copies_starts_an_attempt_twice(
        events in prop::collection::vec(event(), 100..400)
    ) {
        let mut run = Run::new();
        for event in events {
            run.apply(event);
            run.check();
        }
    }
}
