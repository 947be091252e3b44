//! Submissions, polls and cancellations.
//!
//! Every answer that could be out of date is confirmed first: the watch cache is
//! brought up to date by a read sent after the question came (one read serves
//! all questions then waiting). Acceptances and cancellations are answered only
//! once their create-once write is known to have succeeded.

mod check;

pub use check::{Refusal, check, parse, valid_id};

use crate::Millis;
use crate::memory;
use crate::peers::{Answer, UserRequest};
use crate::settings::Limits;
use crate::store::{JobKey, Keys, StoreReply, WatchCache};
use crate::wire::{Change, Condition, JobSpec, JobState, JobStatus, Transaction};
use serde::Deserialize;
use serde_json::json;
use std::collections::{BTreeMap, HashMap, VecDeque};
use std::sync::Arc;

/// Questions in hand at once; more are turned away at once.
const MAX_OPS: usize = 400;
/// Ended jobs remembered; others are read again when asked for.
const MAX_ENDED: usize = 20_000;
/// Users give up after 5 s, on a poll after 2 s.
const WRITE_PATIENCE_MS: Millis = 3_500;
const SHOW_PATIENCE_MS: Millis = 1_700;
/// Writing it ourselves is as safe as waiting: the write is create-once, and the
/// leader hears of it by its watch.
const FORWARD_PATIENCE_MS: Millis = 100;

/// Who waits for the answer.
#[derive(Clone, Debug, PartialEq)]
pub enum Requester {
    User(u64),
    Peer { node: String, id: u64 },
}

#[derive(Clone, Debug, PartialEq)]
enum Stage {
    /// Until the watch cache is as new as read number `.0`.
    Sync(u64),
    /// The key of its end is being read.
    End,
    /// A create-once write is in flight.
    Write(Arc<Transaction>),
    /// Another controller was asked.
    Forwarded { node: String, until: Millis },
}

#[derive(Debug)]
struct PendingRequest {
    requester: Requester,
    user_request: UserRequest,
    id: String,
    /// A valid submission, or the refusal to give if the job isn't known already.
    spec: Option<Result<JobSpec, Refusal>>,
    stage: Stage,
    started: Millis,
}

/// What admission wants done.
#[derive(Debug, PartialEq)]
pub enum Want {
    Answer(Requester, Answer),
    ReadEnd {
        op: u64,
        key: String,
    },
    Write {
        op: u64,
        transaction: Arc<Transaction>,
    },
    Forward {
        op: u64,
        node: String,
        user_request: UserRequest,
    },
    /// A job key was written by us at this revision.
    Learned {
        id: String,
        key: JobKey,
        revision: u64,
    },
}

/// What an answer depends on beyond admission's own state.
pub struct AdmissionContext<'a> {
    pub now: Millis,
    pub wall_clock: Millis,
    pub keys: &'a Keys,
    pub watch_cache: &'a WatchCache,
    pub limits: &'a Limits,
    /// The leader's claim, while this controller is the acting leader.
    pub claim: Option<Condition>,
    /// Teams and machine types; `None` until the catalogue is known.
    pub refuse: &'a dyn Fn(&JobSpec) -> Option<Result<(), Refusal>>,
    /// Tasks done and running of an unfinished job.
    pub counts: &'a dyn Fn(&str) -> Option<(u32, u32)>,
}

#[derive(Debug, Default)]
pub struct Admission {
    ops: BTreeMap<u64, PendingRequest>,
    next_op: u64,
    /// Number of the last confirming read sent, and whether one is in flight.
    sync_sent: u64,
    sync_in_flight: bool,
    sync_wanted: bool,
    ended: HashMap<String, (JobState, u32)>,
    ended_order: VecDeque<String>,
}

#[derive(Deserialize)]
struct EndValue {
    state: JobState,
    #[serde(default)]
    done: u32,
}

impl Admission {
    /// A question comes in. `forward`: the controller that should answer it.
    pub fn handle(
        &mut self,
        context: &AdmissionContext,
        requester: Requester,
        user_request: UserRequest,
        forward: Option<String>,
    ) -> Vec<Want> {
        let (id, spec) = match &user_request {
            UserRequest::Submit(body) => match parse(body) {
                Ok(spec) => (spec.id.clone(), Some(Ok(spec))),
                Err((Some(id), refusal)) => (id, Some(Err(refusal))),
                Err((None, refusal)) => return vec![Want::Answer(requester, refusal.answer())],
            },
            UserRequest::Show(id) | UserRequest::Cancel(id) => (id.clone(), None),
        };
        if !valid_id(&id) {
            return vec![Want::Answer(requester, text(404, "no such job"))];
        }
        if let Some(status) = self.final_state(context.watch_cache, &id) {
            return vec![Want::Answer(requester, status_answer(200, &status))];
        }
        if self.ops.len() >= MAX_OPS {
            return vec![Want::Answer(requester, busy("too many requests at once"))];
        }
        let op = self.next_op;
        self.next_op += 1;
        let mut wants = Vec::new();
        let stage = match forward {
            Some(node) => {
                wants.push(Want::Forward {
                    op,
                    node: node.clone(),
                    user_request: user_request.clone(),
                });
                Stage::Forwarded {
                    node,
                    until: context.now + FORWARD_PATIENCE_MS,
                }
            }
            None => Stage::Sync(0),
        };
        let local = matches!(stage, Stage::Sync(_));
        self.ops.insert(
            op,
            PendingRequest {
                requester,
                user_request,
                id,
                spec,
                stage,
                started: context.now,
            },
        );
        if local {
            wants.extend(self.begin(context, op));
        }
        wants
    }

    /// Starts, or starts again, on a question that is ours to answer.
    fn begin(&mut self, context: &AdmissionContext, op_id: u64) -> Vec<Want> {
        let next_sync = self.sync_sent + 1;
        let Some(op) = self.ops.get_mut(&op_id) else {
            return Vec::new();
        };
        let known = context.watch_cache.jobs().contains_key(&op.id);
        if let Some(Ok(spec)) = &op.spec
            && !known
        {
            match (context.refuse)(spec) {
                Some(Ok(())) if !memory::has_room_for(context.limits, context.watch_cache, spec.tasks) => {
                    return self.finish(op_id, busy("too much unfinished work"));
                }
                Some(Ok(())) => {
                    let value = JobKey {
                        spec: spec.clone(),
                        accepted_ms: context.wall_clock,
                        ended: None,
                    };
                    let mut transaction = Transaction {
                        conditions: vec![
                            condition(context.keys.job(&op.id), 0),
                            condition(context.keys.end(&op.id), 0),
                        ],
                        changes: vec![Change::put(context.keys.job(&op.id), json!(value))],
                    };
                    transaction.conditions.extend(context.claim.clone());
                    let transaction = Arc::new(transaction);
                    op.stage = Stage::Write(transaction.clone());
                    return vec![Want::Write { op: op_id, transaction }];
                }
                Some(Err(refusal)) => op.spec = Some(Err(refusal)),
                None => return self.finish(op_id, busy("the machine types are not known yet")),
            }
        }
        op.stage = Stage::Sync(next_sync);
        self.sync_wanted = true;
        Vec::new()
    }

    /// True if a confirming read should be sent now; it then counts as sent.
    pub fn take_sync(&mut self) -> Option<u64> {
        if !self.sync_wanted || self.sync_in_flight {
            return None;
        }
        self.sync_wanted = false;
        self.sync_in_flight = true;
        self.sync_sent += 1;
        Some(self.sync_sent)
    }

    /// The confirming read `number` came back, and the watch cache took it in.
    pub fn synced(&mut self, context: &AdmissionContext, number: u64, ok: bool) -> Vec<Want> {
        self.sync_in_flight = false;
        let ready: Vec<u64> = self
            .ops
            .iter()
            .filter(|(_, op)| matches!(op.stage, Stage::Sync(at) if at <= number))
            .map(|(&op, _)| op)
            .collect();
        let mut wants = Vec::new();
        for op in ready {
            if ok {
                wants.extend(self.confirmed(context, op));
            } else {
                wants.extend(self.finish(op, busy("the state service can't be reached")));
            }
        }
        wants
    }

    fn confirmed(&mut self, context: &AdmissionContext, op_id: u64) -> Vec<Want> {
        let Some(op) = self.ops.get_mut(&op_id) else {
            return Vec::new();
        };
        if let Some(status) = final_in(context.watch_cache, &op.id) {
            return self.finish(op_id, status_answer(200, &status));
        }
        let Some((job, version)) = context.watch_cache.jobs().get(&op.id) else {
            op.stage = Stage::End;
            let key = context.keys.end(&op.id);
            return vec![Want::ReadEnd { op: op_id, key }];
        };
        if !matches!(op.user_request, UserRequest::Cancel(_)) {
            let counts = (context.counts)(&op.id);
            return self.finish(op_id, status_answer(200, &unfinished(&job.spec.id, counts)));
        }
        let value = JobKey {
            ended: Some(JobState::Cancelled),
            ..job.clone()
        };
        let mut transaction = Transaction {
            conditions: vec![
                condition(context.keys.job(&op.id), *version),
                condition(context.keys.end(&op.id), 0),
            ],
            changes: vec![
                Change::put(context.keys.end(&op.id), json!({"state": JobState::Cancelled})),
                Change::put(context.keys.job(&op.id), json!(value)),
            ],
        };
        transaction.conditions.extend(context.claim.clone());
        let transaction = Arc::new(transaction);
        op.stage = Stage::Write(transaction.clone());
        vec![Want::Write { op: op_id, transaction }]
    }

    /// The read of a job's end came back. The job key was seen missing before,
    /// so a missing end now means that no such job was ever accepted.
    pub fn end_read(&mut self, op_id: u64, reply: &StoreReply) -> Vec<Want> {
        let Some(op) = self.ops.get(&op_id) else {
            return Vec::new();
        };
        let id = op.id.clone();
        match reply {
            StoreReply::Found { value, .. } => match serde_json::from_value::<EndValue>(value.clone()) {
                Ok(end) => {
                    self.remember(&id, end.state, end.done);
                    self.finish(op_id, status_answer(200, &ended_status(&id, end.state, end.done)))
                }
                Err(error) => {
                    tracing::error!(job = id, %error, "an end key can't be read");
                    self.finish(op_id, busy("the job's end can't be read"))
                }
            },
            StoreReply::Missing => {
                let answer = match &op.spec {
                    Some(Err(refusal)) => refusal.answer(),
                    // It was there when the write was refused and is not now:
                    // the user's next try will tell.
                    Some(Ok(_)) => busy("try again"),
                    None => text(404, "no such job"),
                };
                self.finish(op_id, answer)
            }
            _ => self.finish(op_id, busy("the state service can't be reached")),
        }
    }

    /// A create-once write came back.
    pub fn written(&mut self, context: &AdmissionContext, op_id: u64, reply: &StoreReply) -> Vec<Want> {
        let Some(op) = self.ops.get_mut(&op_id) else {
            return Vec::new();
        };
        let Stage::Write(transaction) = &op.stage else {
            return Vec::new();
        };
        match reply {
            StoreReply::Committed { revision } => {
                let id = op.id.clone();
                let job_key = context.keys.job(&id);
                let written = transaction.changes.iter().find_map(|change| match change {
                    Change::Put { put, value, .. } if *put == job_key => {
                        serde_json::from_value::<JobKey>(value.clone()).ok()
                    }
                    _ => None,
                });
                let cancelled = matches!(op.user_request, UserRequest::Cancel(_));
                let mut wants = Vec::new();
                if let Some(key) = written {
                    wants.push(Want::Learned {
                        id: id.clone(),
                        key,
                        revision: *revision,
                    });
                }
                let answer = if cancelled {
                    status_answer(200, &ended_status(&id, JobState::Cancelled, 0))
                } else {
                    status_answer(201, &plain(&id, JobState::Queued))
                };
                wants.extend(self.finish(op_id, answer));
                wants
            }
            StoreReply::Conflict { .. } => {
                // Known already, ended meanwhile, or our claim is gone: look again.
                op.stage = Stage::Sync(self.sync_sent + 1);
                self.sync_wanted = true;
                Vec::new()
            }
            StoreReply::Unanswered if context.now < op.started + WRITE_PATIENCE_MS => {
                // It may have been applied. The same write again either does it
                // or conflicts with it, and both tell.
                let transaction = transaction.clone();
                vec![Want::Write { op: op_id, transaction }]
            }
            _ => self.finish(op_id, busy("the state service can't be reached")),
        }
    }

    /// Another controller answered. Its "can't take it" is final too: it said
    /// so knowing more than we do.
    pub fn forwarded(&mut self, op_id: u64, answer: Answer) -> Vec<Want> {
        match self.ops.get(&op_id) {
            Some(PendingRequest {
                stage: Stage::Forwarded { .. },
                ..
            }) => self.finish(op_id, answer),
            _ => Vec::new(),
        }
    }

    /// Gives up what waited too long; takes back what was forwarded in vain.
    pub fn tick(&mut self, context: &AdmissionContext, in_reach: &dyn Fn(&str) -> bool) -> Vec<Want> {
        let mut wants = Vec::new();
        let ops: Vec<u64> = self.ops.keys().copied().collect();
        for op_id in ops {
            let Some(op) = self.ops.get(&op_id) else {
                continue;
            };
            let patience = match op.user_request {
                UserRequest::Show(_) => SHOW_PATIENCE_MS,
                _ => WRITE_PATIENCE_MS,
            };
            if context.now >= op.started + patience {
                wants.extend(self.finish(op_id, busy("no answer in time")));
                continue;
            }
            if let Stage::Forwarded { node, until } = &op.stage
                && (context.now >= *until || !in_reach(node))
            {
                wants.extend(self.begin(context, op_id));
            }
        }
        wants
    }

    fn finish(&mut self, op_id: u64, answer: Answer) -> Vec<Want> {
        match self.ops.remove(&op_id) {
            Some(op) => vec![Want::Answer(op.requester, answer)],
            None => Vec::new(),
        }
    }

    fn remember(&mut self, id: &str, state: JobState, done: u32) {
        if self.ended.insert(id.into(), (state, done)).is_none() {
            self.ended_order.push_back(id.into());
            if self.ended_order.len() > MAX_ENDED
                && let Some(oldest) = self.ended_order.pop_front()
            {
                self.ended.remove(&oldest);
            }
        }
    }

    /// How a job ended, if that is known here: it can't change any more.
    fn final_state(&self, watch_cache: &WatchCache, id: &str) -> Option<JobStatus> {
        if let Some(&(state, done)) = self.ended.get(id) {
            return Some(ended_status(id, state, done));
        }
        final_in(watch_cache, id)
    }

    pub fn len(&self) -> usize {
        self.ops.len()
    }

    pub fn is_empty(&self) -> bool {
        self.ops.is_empty()
    }
}

fn final_in(watch_cache: &WatchCache, id: &str) -> Option<JobStatus> {
    let (job, _) = watch_cache.jobs().get(id)?;
    Some(ended_status(id, job.ended?, job.spec.tasks))
}

fn condition(key: String, version: u64) -> Condition {
    Condition { key, version }
}

fn plain(id: &str, state: JobState) -> JobStatus {
    JobStatus {
        id: id.into(),
        state,
        done: None,
        running: None,
    }
}

fn ended_status(id: &str, state: JobState, done: u32) -> JobStatus {
    JobStatus {
        done: (state == JobState::Done).then_some(done),
        running: (state == JobState::Done).then_some(0),
        ..plain(id, state)
    }
}

fn unfinished(id: &str, counts: Option<(u32, u32)>) -> JobStatus {
    let (done, running) = counts.unwrap_or((0, 0));
    JobStatus {
        done: Some(done),
        running: Some(running),
        ..plain(
            id,
            if running > 0 {
                JobState::Running
            } else {
                JobState::Queued
            },
        )
    }
}

pub fn status_answer(status: u16, job: &JobStatus) -> Answer {
    Answer {
        status,
        body: serde_json::to_string(job).unwrap_or_default(),
        retry_after_s: None,
    }
}

pub fn text(status: u16, error: &str) -> Answer {
    Answer {
        status,
        body: json!({ "error": error }).to_string(),
        retry_after_s: None,
    }
}

/// The service can't take it now; the user is told when to come back.
pub fn busy(error: &str) -> Answer {
    Answer {
        retry_after_s: Some(1),
        ..text(503, error)
    }
}
