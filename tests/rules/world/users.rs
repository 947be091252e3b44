//! Users: jobs, submissions, polls and cancellations.

use super::*;

/// What a user was last told of a job.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum KnownState {
    Nothing,
    Accepted,
    Done,
    Cancelled,
}

/// What a user asks of a controller.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum RequestKind {
    Submit,
    Poll,
    Cancel,
    /// About a job that nobody submitted.
    Unknown,
    /// To submit a job that must not be accepted.
    Invalid,
}

/// A job, and what its user knows of it.
pub struct UserJob {
    pub spec: JobSpec,
    pub submit_at: u64,
    pub cancel_at: Option<u64>,
    pub known_state: KnownState,
    pub known_since: u64,
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
            known_state: KnownState::Nothing,
            known_since: 0,
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
        self.at(submit_at, ScheduledEvent::User(index));
        self.jobs.push(job);
        index
    }

    /// Adds a job that fails on every machine, and whose user cancels it later.
    pub fn submit_always_failing(&mut self, submit_at: u64, cancel_at: u64, spec: JobSpec) -> usize {
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
        let (kind, user_request) = self.next_request_of_user(index);
        let node = self.connect_user(index);
        if self.now < self.alone_until(node)
            || self.nodes[node].controller.is_none()
            || self.now < self.nodes[node].frozen_until
        {
            return;
        }
        let request = self.expect(node, Waiting::User { job: index, kind });
        self.step(node, Input::User { request, user_request });
    }

    fn next_request_of_user(&mut self, index: usize) -> (RequestKind, UserRequest) {
        let job = &mut self.jobs[index];
        let id = job.spec.id.clone();
        if job.known_state == KnownState::Nothing {
            let body = serde_json::to_string(&job.spec).expect("json");
            return (RequestKind::Submit, UserRequest::Submit(body));
        }
        if job.known_state == KnownState::Accepted && job.cancel_at.is_some_and(|at| self.now >= at) {
            job.cancel_asked = true;
            return (RequestKind::Cancel, UserRequest::Cancel(id));
        }
        // Now and then somebody asks about a job that nobody submitted.
        if self.rng.random_bool(0.05) {
            return (RequestKind::Unknown, UserRequest::Show(format!("j-9{index:05}")));
        }
        (RequestKind::Poll, UserRequest::Show(id))
    }

    /// The controller that the load balancer connects a user to.
    fn connect_user(&mut self, index: usize) -> usize {
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
        node
    }
}
