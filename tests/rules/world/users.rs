//! Simulated users, who submit, poll and cancel jobs through a load balancer.

use super::*;

/// The number of jobs whose users ask all controllers in a cluster step during
/// [`Fault::CloseLooks`].
const JOBS_LOOKED_AT: usize = 3;

/// The state of a job that its user knows from the latest answer.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum KnownState {
    /// No answer has confirmed the submission yet.
    NotAccepted,
    /// The job is accepted and has not ended.
    Accepted,
    /// The job is done.
    Done,
    /// The cancellation is confirmed.
    Cancelled,
}

/// The kind of a user's request to a controller.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum RequestKind {
    /// Submits a job.
    Submit,
    /// Asks for the state of a job.
    Poll,
    /// Cancels a job.
    Cancel,
    /// Asks for the state of a job that nobody submitted.
    Unknown,
    /// Submits a job that must not be accepted.
    Invalid,
}

/// A job and what its user knows about it.
pub struct UserJob {
    /// The specification that its user submits.
    pub spec: JobSpec,
    /// When its user first submits it.
    pub submit_at: u64,
    /// From when its user asks for its cancellation, if ever.
    pub cancel_at: Option<u64>,
    /// The state that its user knows.
    pub known_state: KnownState,
    /// When an answer last changed `known_state`.
    pub known_since: u64,
    /// When a request about it was last answered with its state; 0 before the first answer.
    pub(super) last_answered_at: u64,
    /// The controller that its user has an open connection to.
    pub(super) node: Option<usize>,
    /// When its first task started.
    pub first_start: Option<u64>,
    /// Whether its user has asked for its cancellation.
    pub(super) cancel_asked: bool,
    /// Since when it has had tasks to start while a suitable machine had room; `None` if not.
    pub(super) starved_since: Option<u64>,
}

impl World {
    /// Draws a job of one to eight tasks that is submitted 2 to 90 s after the start of the run.
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
            known_state: KnownState::NotAccepted,
            known_since: 0,
            last_answered_at: 0,
            node: None,
            first_start: None,
            cancel_asked: false,
            starved_since: None,
        }
    }

    /// Adds a job with the given specification, except that its id comes from its index.
    ///
    /// Its user never cancels it. Returns the index of the job.
    pub fn submit(&mut self, submit_at: u64, spec: JobSpec) -> usize {
        let index = self.jobs.len();
        let mut job = self.draw_job(index);
        job.spec = JobSpec {
            id: job.spec.id,
            ..spec
        };
        job.submit_at = submit_at;
        job.cancel_at = None;
        self.schedule(submit_at, ScheduledEvent::UserTurn(index));
        self.jobs.push(job);
        index
    }

    /// Adds a job whose tasks fail on every machine and whose user cancels it at `cancel_at`.
    pub fn submit_always_failing(&mut self, submit_at: u64, cancel_at: u64, spec: JobSpec) -> usize {
        let index = self.submit(submit_at, spec);
        self.jobs[index].cancel_at = Some(cancel_at);
        self.always_failing_jobs.insert(self.jobs[index].spec.id.clone());
        index
    }

    /// Returns a job of one task that may run on any machine in any zone.
    pub fn plain_spec() -> JobSpec {
        JobSpec {
            id: String::new(),
            class: "sort".into(),
            team: "red".into(),
            kind: JobKind::Array,
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

    /// Changes a drawn job to `tasks` tasks of one CPU that may run in any zone, and sets when
    /// its user cancels it.
    pub fn override_drawn_job(&mut self, index: usize, tasks: u32, cancel_at: Option<u64>) {
        let job = &mut self.jobs[index];
        job.spec.tasks = tasks;
        job.spec.cpus = 1.0;
        job.spec.zone = None;
        job.spec.one_zone = false;
        job.spec.spread = false;
        job.cancel_at = cancel_at;
    }

    /// Sends the next request of a job's user: a submission, a poll or a cancellation.
    ///
    /// Nothing is sent if the controller is isolated, down or frozen.
    pub(super) fn send_user_request(&mut self, index: usize) {
        let (kind, user_request) = self.next_request_of_user(index);
        let node = self.connect_user(index);
        if self.now < self.isolated_until(node)
            || self.nodes[node].controller.is_none()
            || self.now < self.nodes[node].frozen_until
        {
            return;
        }
        let request = self.register_request(node, PendingRequest::User { job: index, kind });
        self.step_controller(node, Input::User { request, user_request });
    }

    /// During [`Fault::CloseLooks`], makes the users of some accepted jobs ask all controllers.
    /// Called at every cluster step.
    pub(super) fn look_closely(&mut self) {
        if self.now >= self.ongoing_faults.close_looks_until {
            return;
        }
        let accepted = (0..self.jobs.len()).filter(|&index| self.jobs[index].known_state == KnownState::Accepted);
        let accepted: Vec<usize> = accepted.collect();
        if accepted.is_empty() {
            return;
        }
        for _ in 0..JOBS_LOOKED_AT {
            let job = accepted[self.rng.random_range(0..accepted.len())];
            self.poll_everywhere(job);
        }
    }

    /// Makes a job's user ask each controller about it within 100 ms.
    pub(super) fn poll_everywhere(&mut self, job: usize) {
        for node in 0..self.nodes.len() {
            let at = self.now + self.rng.random_range(0..100);
            self.schedule(at, ScheduledEvent::PollAt { node, job });
        }
    }

    /// Sends a poll of a job's user to this controller. Nothing is sent if the controller is isolated,
    /// down or frozen.
    pub(super) fn poll_at(&mut self, node: usize, job: usize) {
        if self.now < self.isolated_until(node).max(self.nodes[node].frozen_until)
            || self.nodes[node].controller.is_none()
        {
            return;
        }
        let user_request = UserRequest::Show(self.jobs[job].spec.id.clone());
        let kind = RequestKind::Poll;
        let request = self.register_request(node, PendingRequest::User { job, kind });
        self.step_controller(node, Input::User { request, user_request });
    }

    /// Returns the next request of a job's user. One poll in twenty asks about an unknown job.
    fn next_request_of_user(&mut self, index: usize) -> (RequestKind, UserRequest) {
        let job = &mut self.jobs[index];
        let id = job.spec.id.clone();
        if job.known_state == KnownState::NotAccepted {
            let body = serde_json::to_string(&job.spec).expect("json");
            return (RequestKind::Submit, UserRequest::Submit(body));
        }
        if job.known_state == KnownState::Accepted && job.cancel_at.is_some_and(|at| self.now >= at) {
            job.cancel_asked = true;
            return (RequestKind::Cancel, UserRequest::Cancel(id));
        }
        // Nobody submitted a job with this id.
        if self.rng.random_bool(0.05) {
            return (RequestKind::Unknown, UserRequest::Show(format!("j-9{index:05}")));
        }
        (RequestKind::Poll, UserRequest::Show(id))
    }

    /// Returns the controller that the load balancer connects a job's user to.
    fn connect_user(&mut self, index: usize) -> usize {
        // The load balancer knows only the results of its health checks.
        let healthy: Vec<usize> = (0..self.nodes.len()).filter(|&node| self.nodes[node].healthy).collect();
        // An open connection stays at its controller while that is healthy.
        let node = match self.jobs[index].node.filter(|node| healthy.contains(node)) {
            Some(node) => node,
            None if healthy.is_empty() => self.rng.random_range(0..self.nodes.len()),
            None => healthy[self.rng.random_range(0..healthy.len())],
        };
        // Users of jobs with an odd index open a new connection for each request.
        self.jobs[index].node = index.is_multiple_of(2).then_some(node);
        node
    }
}
