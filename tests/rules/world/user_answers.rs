//! What users are told, checked against what they were told before, and invalid requests.

use super::*;

impl World {
    pub(super) fn user_answered(&mut self, index: usize, kind: RequestKind, given: u64, answer: &Answer) {
        let now = self.now;
        let id = self.jobs[index].spec.id.clone();
        if matches!(kind, RequestKind::Unknown | RequestKind::Invalid) {
            self.check_refused(kind, answer);
            return;
        }
        let job = &mut self.jobs[index];
        if matches!(answer.status, 400 | 422) || (answer.status == 404 && job.known_state != KnownState::Nothing) {
            self.violations.push(format!(
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
            JobState::Queued | JobState::Running => KnownState::Accepted,
            JobState::Done => KnownState::Done,
            JobState::Cancelled => KnownState::Cancelled,
        };
        // On its way already when the user was told otherwise: not an answer
        // given after that.
        if given < job.known_since && told != job.known_state {
            return;
        }
        self.check_told(index, told);
        let job = &mut self.jobs[index];
        if job.known_state != told {
            job.known_state = told;
            job.known_since = now;
        }
    }

    /// No job is known that nobody submitted, and none is accepted that can't run or lacks a field.
    fn check_refused(&mut self, kind: RequestKind, answer: &Answer) {
        if kind == RequestKind::Unknown && answer.status == 200 {
            self.violations.push(format!("invented: {}", answer.body));
        }
        if kind == RequestKind::Invalid && !matches!(answer.status, 400 | 422 | 429 | 503) {
            self.violations
                .push(format!("accepted: {}, {}", answer.status, answer.body));
        }
    }

    /// An end is not taken back, none comes unasked, and all tasks of a finished job are done.
    fn check_told(&mut self, index: usize, told: KnownState) {
        let (now, job) = (self.now, &self.jobs[index]);
        let id = &job.spec.id;
        let ended = matches!(job.known_state, KnownState::Done | KnownState::Cancelled);
        if (ended && told != job.known_state) || (told == KnownState::Cancelled && !job.cancel_asked) {
            self.violations.push(format!(
                "went_back: {id} was {:?}, now {told:?} at {now}",
                job.known_state
            ));
        }
        if told == KnownState::Done {
            let missing = (0..job.spec.tasks)
                .filter(|task| !self.done_tasks.contains(&format!("{id}/{task}")))
                .count();
            if missing > 0 {
                self.violations
                    .push(format!("not_done: {id} lacks {missing} tasks at {now}"));
            }
        }
    }

    /// Some jobs are cancelled at the moment at which their last task ends.
    pub(super) fn ended_now(&mut self, task: &str) {
        let Some(index) = self
            .job_of(task)
            .filter(|_| self.now < self.ongoing.cancel_at_end_until)
        else {
            return;
        };
        let (now, job) = (self.now, &mut self.jobs[index]);
        let left = (0..job.spec.tasks)
            .filter(|number| !self.done_tasks.contains(&format!("{}/{number}", job.spec.id)))
            .count();
        if left <= 1 && job.cancel_at.is_none() && self.rng.random_bool(0.5) {
            job.cancel_at = Some(now);
            let at = now + self.rng.random_range(0..600);
            self.at(at, ScheduledEvent::UserNow(index));
        }
    }

    /// Repeats of known jobs, cancels of done ones, and jobs that no controller
    /// may take: too large for any machine, of no team, or without a field.
    pub(super) fn send_invalid_requests(&mut self) {
        if self.now >= self.ongoing.invalid_requests_until || self.jobs.is_empty() {
            return;
        }
        let index = self.rng.random_range(0..self.jobs.len());
        let job = &self.jobs[index];
        let (kind, user_request) = match self.rng.random_range(0..4) {
            0 if job.known_state != KnownState::Nothing => (
                RequestKind::Submit,
                UserRequest::Submit(serde_json::to_string(&job.spec).expect("json")),
            ),
            1 if job.known_state == KnownState::Done => (RequestKind::Cancel, UserRequest::Cancel(job.spec.id.clone())),
            2 => (
                RequestKind::Invalid,
                UserRequest::Submit(self.invalid_job().to_string()),
            ),
            _ => return,
        };
        let node = self.rng.random_range(0..self.nodes.len());
        if self.nodes[node].controller.is_none() || self.now < self.nodes[node].frozen_until {
            return;
        }
        let request = self.expect(node, Waiting::User { job: index, kind });
        self.step(node, Input::User { request, user_request });
    }

    fn invalid_job(&mut self) -> serde_json::Value {
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
    pub fn set_known_state(&mut self, index: usize, told: KnownState) {
        let (now, job) = (self.now, &mut self.jobs[index]);
        job.known_state = told;
        job.known_since = now;
        job.answered_at = now;
    }

    /// For tests of the checks: a controller answers so.
    pub fn deliver_user_answer(&mut self, index: usize, kind: RequestKind, status: u16, body: &str) {
        let answer = Answer {
            status,
            body: body.into(),
            retry_after_s: None,
        };
        self.user_answered(index, kind, self.now, &answer);
    }
}
