//! Checks of the answers to users against earlier answers, and invalid requests of users.

use super::*;

impl World {
    /// Checks an answer to a user and records the state of the job that it reports.
    pub(super) fn handle_user_answer(&mut self, index: usize, kind: RequestKind, sent_at: u64, answer: &Answer) {
        let now = self.now;
        let id = self.jobs[index].spec.id.clone();
        if matches!(kind, RequestKind::Unknown | RequestKind::Invalid) {
            self.check_refused(kind, answer);
            return;
        }
        let job = &mut self.jobs[index];
        if matches!(answer.status, 400 | 422) || (answer.status == 404 && job.known_state != KnownState::NotAccepted) {
            self.violations.push(format!(
                "forgotten: {id} answered {} at {now} ({})",
                answer.status, answer.body
            ));
            return;
        }
        if !matches!(answer.status, 200 | 201) {
            return;
        }
        job.last_answered_at = now;
        let status: JobStatus = serde_json::from_str(&answer.body).expect("valid job status");
        let reported = match status.state {
            JobState::Queued | JobState::Running => KnownState::Accepted,
            JobState::Done => KnownState::Done,
            JobState::Cancelled => KnownState::Cancelled,
        };
        // The controller sent this answer before the user learned the present state, so it may
        // report an earlier one.
        if sent_at < job.known_since && reported != job.known_state {
            return;
        }
        self.check_reported_state(index, reported);
        let job = &mut self.jobs[index];
        if job.known_state != reported {
            job.known_state = reported;
            job.known_since = now;
            if now < self.ongoing_faults.close_looks_until {
                self.poll_everywhere(index);
            }
        }
    }

    /// Checks that a job that nobody submitted is unknown, and that a job that can't run or lacks
    /// a field is not accepted.
    fn check_refused(&mut self, kind: RequestKind, answer: &Answer) {
        if kind == RequestKind::Unknown && answer.status == 200 {
            self.violations.push(format!("invented: {}", answer.body));
        }
        if kind == RequestKind::Invalid && !matches!(answer.status, 400 | 422 | 429 | 503) {
            self.violations
                .push(format!("accepted: {}, {}", answer.status, answer.body));
        }
    }

    /// Checks that the end of a job is final, that no job is cancelled without a request, and that
    /// all tasks of a job reported as done are done.
    fn check_reported_state(&mut self, index: usize, reported: KnownState) {
        let (now, job) = (self.now, &self.jobs[index]);
        let id = &job.spec.id;
        let ended = matches!(job.known_state, KnownState::Done | KnownState::Cancelled);
        if (ended && reported != job.known_state) || (reported == KnownState::Cancelled && !job.cancel_asked) {
            self.violations.push(format!(
                "went_back: {id} was {:?}, now {reported:?} at {now}",
                job.known_state
            ));
        }
        if reported == KnownState::Done {
            let missing = (0..job.spec.tasks)
                .filter(|task| !self.done_tasks.contains(&format!("{id}/{task}")))
                .count();
            if missing > 0 {
                self.violations
                    .push(format!("not_done: {id} lacks {missing} tasks at {now}"));
            }
        }
    }

    /// During [`Fault::CancelAtEnd`], makes the users of half of the jobs cancel them within 600 ms
    /// after their last task ends. Called when a task ends, before it is recorded as done.
    pub(super) fn maybe_cancel_at_end(&mut self, task: &str) {
        let Some(index) = self
            .job_index_of_task(task)
            .filter(|_| self.now < self.ongoing_faults.cancel_at_end_until)
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
            self.schedule(at, ScheduledEvent::ExtraUserRequest(index));
        }
    }

    /// During [`Fault::InvalidRequests`], repeats a submission, cancels a job that is done, or
    /// submits a job that no controller may accept. Called at every cluster step.
    pub(super) fn send_invalid_requests(&mut self) {
        if self.now >= self.ongoing_faults.invalid_requests_until || self.jobs.is_empty() {
            return;
        }
        let index = self.rng.random_range(0..self.jobs.len());
        let job = &self.jobs[index];
        let (kind, user_request) = match self.rng.random_range(0..4) {
            0 if job.known_state != KnownState::NotAccepted => (
                RequestKind::Submit,
                UserRequest::Submit(serde_json::to_string(&job.spec).expect("json")),
            ),
            1 if job.known_state == KnownState::Done => (RequestKind::Cancel, UserRequest::Cancel(job.spec.id.clone())),
            2 => (
                RequestKind::Invalid,
                UserRequest::Submit(self.draw_invalid_job().to_string()),
            ),
            _ => return,
        };
        let node = self.rng.random_range(0..self.nodes.len());
        if self.nodes[node].controller.is_none() || self.now < self.nodes[node].frozen_until {
            return;
        }
        let request = self.register_request(node, PendingRequest::User { job: index, kind });
        self.step_controller(node, Input::User { request, user_request });
    }

    /// Draws a job that can't run: too large for any machine, of an unknown zone or team, or
    /// without a required field.
    fn draw_invalid_job(&mut self) -> serde_json::Value {
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
                let required: Vec<String> = fields
                    .iter()
                    .filter(|(name, value)| !value.is_null() && *name != "id")
                    .map(|(name, _)| name.clone())
                    .collect();
                fields.remove(&required[self.rng.random_range(0..required.len())])
            }
        };
        job
    }

    /// Sets the state that a job's user knows, as if an answer had just arrived, for tests of the
    /// checks.
    pub fn set_known_state(&mut self, index: usize, known_state: KnownState) {
        let (now, job) = (self.now, &mut self.jobs[index]);
        job.known_state = known_state;
        job.known_since = now;
        job.last_answered_at = now;
    }

    /// Delivers an answer to the user of a job, for tests of the checks.
    pub fn deliver_user_answer(&mut self, index: usize, kind: RequestKind, status: u16, body: &str) {
        let answer = Answer {
            status,
            body: body.into(),
            retry_after_s: None,
        };
        self.handle_user_answer(index, kind, self.now, &answer);
    }
}
