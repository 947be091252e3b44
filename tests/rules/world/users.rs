//! Users: jobs, submissions, polls and cancellations.

use super::*;

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Told {
    Nothing,
    Accepted,
    Done,
    Cancelled,
}

pub struct UserJob {
    pub spec: JobSpec,
    pub submit_at: u64,
    pub cancel_at: Option<u64>,
    pub told: Told,
    pub told_at: u64,
    /// When a question about it was last answered.
    pub(super) answered_at: u64,
    /// The controller that its user is connected to.
    pub(super) node: Option<usize>,
    pub first_start: Option<u64>,
    pub(super) cancel_asked: bool,
    /// Since when a task of it waits beside room for it.
    pub(super) waits_since: Option<u64>,
}

impl World {
    /// What a user asks: to submit, about the job, to cancel it, about one that
    /// nobody submitted, and something that must not be taken.
    pub const SUBMIT: u8 = 0;
    pub const POLL: u8 = 1;
    pub const CANCEL: u8 = 2;
    pub const UNKNOWN: u8 = 3;
    pub const ODD: u8 = 4;

    pub(super) fn draw_job(&mut self, index: usize) -> UserJob {
        let rng = &mut self.rng;
        let tasks = rng.random_range(1..9);
        let submit_at = rng.random_range(2_000..90_000);
        UserJob {
            spec: JobSpec {
                id: format!("j-{index:06}"),
                team: if rng.random_bool(0.5) { "red" } else { "blue" }.into(),
                priority: if rng.random_bool(0.5) {
                    Priority::High
                } else {
                    Priority::Low
                },
                tasks,
                cpus: f64::from(rng.random_range(1..5u32)),
                zone: rng.random_bool(0.2).then(|| "south".into()),
                one_zone: rng.random_bool(0.2),
                spread: rng.random_bool(0.2),
                spot: rng.random_bool(0.7),
                image: format!("img-{}", rng.random_range(0..3)),
                ..World::plain_spec()
            },
            submit_at,
            cancel_at: rng.random_bool(0.25).then(|| submit_at + rng.random_range(500..40_000)),
            told: Told::Nothing,
            told_at: 0,
            answered_at: 0,
            node: None,
            first_start: None,
            cancel_asked: false,
            waits_since: None,
        }
    }

    /// Adds a job made for a test.
    pub fn submit(&mut self, submit_at: u64, spec: JobSpec) -> usize {
        let index = self.jobs.len();
        let mut job = self.draw_job(index);
        job.spec = JobSpec {
            id: job.spec.id,
            ..spec
        };
        job.submit_at = submit_at;
        job.cancel_at = None;
        self.at(submit_at, Happening::User(index));
        self.jobs.push(job);
        index
    }

    /// Adds a job that fails on every machine, and whose user cancels it later.
    pub fn submit_mistaken(&mut self, submit_at: u64, cancel_at: u64, spec: JobSpec) -> usize {
        let index = self.submit(submit_at, spec);
        self.jobs[index].cancel_at = Some(cancel_at);
        self.mistaken.insert(self.jobs[index].spec.id.clone());
        index
    }

    /// A job that may run anywhere.
    pub fn plain_spec() -> JobSpec {
        JobSpec {
            id: String::new(),
            class: "sort".into(),
            team: "red".into(),
            kind: Kind::Array,
            priority: Priority::High,
            tasks: 1,
            cpus: 1.0,
            gpus: 0.0,
            memory_gb: 2.0,
            types: None,
            zone: None,
            one_zone: false,
            spread: false,
            spot: true,
            image: "img-0".into(),
            image_gb: 1.0,
            estimate_s: 5.0,
            checkpoint_s: 0.0,
            save_s: 0.0,
            deadline_s: None,
        }
    }

    /// Gives a drawn job another shape.
    pub fn reshape(&mut self, index: usize, tasks: u32, cancel_at: Option<u64>) {
        let job = &mut self.jobs[index];
        job.spec.tasks = tasks;
        job.spec.cpus = 1.0;
        job.spec.zone = None;
        job.spec.one_zone = false;
        job.spec.spread = false;
        job.cancel_at = cancel_at;
    }

    /// A user does what is next: submit, poll, cancel.
    pub(super) fn user(&mut self, index: usize) {
        let job = &self.jobs[index];
        let (kind, user_request) = match job.told {
            Told::Nothing => (
                World::SUBMIT,
                UserRequest::Submit(serde_json::to_string(&job.spec).expect("json")),
            ),
            Told::Accepted if job.cancel_at.is_some_and(|at| self.now >= at) => {
                (World::CANCEL, UserRequest::Cancel(job.spec.id.clone()))
            }
            _ => (World::POLL, UserRequest::Show(job.spec.id.clone())),
        };
        if kind == World::CANCEL {
            self.jobs[index].cancel_asked = true;
        }
        // Now and then somebody asks about a job that nobody submitted.
        let user_request = if kind == World::POLL && self.rng.random_bool(0.05) {
            UserRequest::Show(format!("j-9{index:05}"))
        } else {
            user_request
        };
        let kind = if matches!(&user_request, UserRequest::Show(id) if id.starts_with("j-9")) {
            World::UNKNOWN
        } else {
            kind
        };
        // The load balancer knows only which controllers say that they are well.
        let healthy: Vec<usize> = (0..self.nodes.len()).filter(|&node| self.nodes[node].healthy).collect();
        // Open connections stay where they are while their controller is well.
        let node = match self.jobs[index].node.filter(|node| healthy.contains(node)) {
            Some(node) => node,
            None if healthy.is_empty() => self.rng.random_range(0..self.nodes.len()),
            None => healthy[self.rng.random_range(0..healthy.len())],
        };
        // Some users open a new one each time.
        self.jobs[index].node = index.is_multiple_of(2).then_some(node);
        if self.now < self.alone_until(node)
            || self.nodes[node].controller.is_none()
            || self.now < self.nodes[node].frozen_until
        {
            return;
        }
        let request = self.expect(node, Waiting::User { job: index, kind });
        self.step(node, Input::User { request, user_request });
    }

    pub(super) fn user_answered(&mut self, index: usize, kind: u8, given: u64, answer: &Answer) {
        let now = self.now;
        let id = self.jobs[index].spec.id.clone();
        if kind == World::UNKNOWN {
            if answer.status == 200 {
                self.broken.push(format!("invented: {}", answer.body));
            }
            return;
        }
        if kind == World::ODD {
            // It can't run or lacks a field.
            if !matches!(answer.status, 400 | 422 | 429 | 503) {
                self.broken
                    .push(format!("accepted: {}, {}", answer.status, answer.body));
            }
            return;
        }
        let job = &mut self.jobs[index];
        if matches!(answer.status, 400 | 422) || (answer.status == 404 && job.told != Told::Nothing) {
            self.broken.push(format!(
                "forgotten: {id} answered {} at {now} ({})",
                answer.status, answer.body
            ));
            return;
        }
        if !matches!(answer.status, 200 | 201) {
            return;
        }
        job.answered_at = now;
        let status: JobStatus = serde_json::from_str(&answer.body).expect("a job's state");
        let told = match status.state {
            JobState::Queued | JobState::Running => Told::Accepted,
            JobState::Done => Told::Done,
            JobState::Cancelled => Told::Cancelled,
        };
        // On its way already when the user was told otherwise: not an answer
        // given after that.
        if given < job.told_at && told != job.told {
            return;
        }
        let ended = matches!(job.told, Told::Done | Told::Cancelled);
        if (ended && told != job.told) || (told == Told::Cancelled && !job.cancel_asked) {
            self.broken
                .push(format!("went_back: {id} was {:?}, now {told:?} at {now}", job.told));
        }
        if told == Told::Done {
            let missing = (0..job.spec.tasks)
                .filter(|task| !self.done_tasks.contains(&format!("{id}/{task}")))
                .count();
            if missing > 0 {
                self.broken
                    .push(format!("not_done: {id} lacks {missing} tasks at {now}"));
            }
        }
        if job.told != told {
            job.told = told;
            job.told_at = now;
        }
    }

    /// Called off at the moment at which its last task ends.
    pub(super) fn ended_now(&mut self, task: &str) {
        let Some(index) = self.job_of(task).filter(|_| self.now < self.cancel_at_end) else {
            return;
        };
        let (now, job) = (self.now, &mut self.jobs[index]);
        let left = (0..job.spec.tasks)
            .filter(|number| !self.done_tasks.contains(&format!("{}/{number}", job.spec.id)))
            .count();
        if left <= 1 && job.cancel_at.is_none() && self.rng.random_bool(0.5) {
            job.cancel_at = Some(now);
            let at = now + self.rng.random_range(0..600);
            self.at(at, Happening::UserNow(index));
        }
    }

    /// Repeats of known jobs, cancels of done ones, and jobs that no controller
    /// may take: too large for any machine, of no team, or without a field.
    pub(super) fn send_odd_requests(&mut self) {
        if self.now >= self.odd_requests || self.jobs.is_empty() {
            return;
        }
        let index = self.rng.random_range(0..self.jobs.len());
        let job = &self.jobs[index];
        let (kind, user_request) = match self.rng.random_range(0..4) {
            0 if job.told != Told::Nothing => (
                World::SUBMIT,
                UserRequest::Submit(serde_json::to_string(&job.spec).expect("json")),
            ),
            1 if job.told == Told::Done => (World::CANCEL, UserRequest::Cancel(job.spec.id.clone())),
            2 => (World::ODD, UserRequest::Submit(self.odd_job().to_string())),
            _ => return,
        };
        let node = self.rng.random_range(0..self.nodes.len());
        if self.nodes[node].controller.is_none() || self.now < self.nodes[node].frozen_until {
            return;
        }
        let request = self.expect(node, Waiting::User { job: index, kind });
        self.step(node, Input::User { request, user_request });
    }

    fn odd_job(&mut self) -> serde_json::Value {
        let spec = JobSpec {
            id: format!("j-8{:05}", self.rng.random_range(0..100_000)),
            ..World::plain_spec()
        };
        let mut job = serde_json::to_value(spec).expect("json");
        let fields = job.as_object_mut().expect("an object");
        match self.rng.random_range(0..5) {
            0 => fields.insert("cores".into(), 64.0.into()),
            1 => fields.insert("memGb".into(), 4096.0.into()),
            2 => fields.insert("yard".into(), "nowhere".into()),
            3 => fields.insert("consignor".into(), "nobody".into()),
            _ => {
                let needed: Vec<String> = fields
                    .iter()
                    .filter(|(name, value)| !value.is_null() && *name != "id")
                    .map(|(name, _)| name.clone())
                    .collect();
                fields.remove(&needed[self.rng.random_range(0..needed.len())])
            }
        };
        job
    }

    /// For tests of the checks: the user was told so just now.
    pub fn tell(&mut self, index: usize, told: Told) {
        let (now, job) = (self.now, &mut self.jobs[index]);
        job.told = told;
        job.told_at = now;
        job.answered_at = now;
    }

    /// For tests of the checks: a controller answers so.
    pub fn is_answered(&mut self, index: usize, kind: u8, status: u16, body: &str) {
        let answer = Answer {
            status,
            body: body.into(),
            retry_after_s: None,
        };
        self.user_answered(index, kind, self.now, &answer);
    }
}
