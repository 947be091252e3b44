//! The rules of the protocol that are checked on each task start, at each cluster step and at the
//! end of a run. The module `user_answers` has the checks of answers to users.

use super::*;

impl World {
    /// Records that a task starts on a machine and checks the rules on task starts.
    pub(super) fn record_task_start(&mut self, machine: &str, task: &str) {
        self.starts += 1;
        let now = self.now;
        let machines = self.task_machines.entry(task.into()).or_default();
        if !machines.is_empty() {
            self.violations
                .push(format!("ran_twice: {task} on {machine} and {machines:?} at {now}"));
        }
        machines.insert(machine.into());
        let Some(index) = self.job_index_of_task(task) else {
            self.violations.push(format!("unknown_job: {task} belongs to no job"));
            return;
        };
        let job = &self.jobs[index];
        self.always_failing_starts += u64::from(self.always_failing_jobs.contains(&job.spec.id));
        self.check_placement(index, machine, task);
        let job = &self.jobs[index];
        if job.known_state == KnownState::Cancelled {
            self.starts_after_cancel += 1;
        }
        if job.known_state == KnownState::Cancelled && now > job.known_since + CANCEL_DEADLINE_MS {
            self.violations.push(format!("ran_cancelled: {task} started at {now}"));
        }
        let job = &mut self.jobs[index];
        job.first_start.get_or_insert(now);
        job.starved_since = None;
        self.check_quota();
    }

    /// Checks that a task starts only in a zone and on a kind of machine that its job allows.
    ///
    /// Covers the wanted zone, spot machines, jobs limited to one zone, and jobs spread over
    /// zones, which may have at most half of their tasks (rounded up) in one zone.
    fn check_placement(&mut self, index: usize, machine: &str, task: &str) {
        let (now, job) = (self.now, &self.jobs[index]);
        let worker = &self.workers[machine];
        let spec = &job.spec;
        let allowed = spec.zone.as_ref().is_none_or(|zone| *zone == worker.zone) && (spec.spot || !worker.spot);
        let prefix = format!("{}/", spec.id);
        let mut tasks_by_zone: BTreeMap<&str, u32> = BTreeMap::new();
        for (_, machines) in self.task_machines.iter().filter(|(task, _)| task.starts_with(&prefix)) {
            for machine in machines {
                *tasks_by_zone.entry(self.workers[machine].zone.as_str()).or_default() += 1;
            }
        }
        let one_zone = !spec.one_zone || tasks_by_zone.len() <= 1;
        let spread = !spec.spread || tasks_by_zone.values().all(|&count| count <= spec.tasks.div_ceil(2));
        if !allowed || !one_zone || !spread {
            self.violations
                .push(format!("wrong_place: {task} on {machine}, {tasks_by_zone:?} at {now}"));
        }
    }

    /// Checks that no team uses more CPUs than its limit.
    fn check_quota(&mut self) {
        let now = self.now;
        for team in ["red", "blue"] {
            let used: f64 = self
                .task_machines
                .iter()
                .filter(|(_, machines)| !machines.is_empty())
                .filter_map(|(task, machines)| {
                    let spec = &self.jobs[self.job_index_of_task(task)?].spec;
                    (spec.team == team).then_some(spec.cpus * machines.len() as f64)
                })
                .sum();
            if used > self.team_cpus + 1e-6 {
                self.violations.push(format!("quota: {team} uses {used} CPUs at {now}"));
            }
        }
    }

    /// Checks that users get answers about accepted jobs.
    ///
    /// Once faults are over, no accepted job goes 75 s without an answer, even after its end. At
    /// any time, no accepted job goes 90 s without an answer while most open jobs get theirs.
    pub fn check_users_answered(&mut self) {
        let now = self.now;
        let known = self
            .jobs
            .iter()
            .filter(|job| job.known_state != KnownState::NotAccepted);
        // Only open jobs count: by the protocol, users poll a job until it ends. A job that has
        // ended is answered without the state service, so during an outage such answers would
        // make it look as if most jobs were answered.
        let open = known.clone().filter(|job| job.known_state == KnownState::Accepted);
        let answered = open.clone().filter(|job| now < job.last_answered_at + 10_000).count();
        let most_answered = answered * 2 > open.count();
        // An outage that affects all jobs singles out none, and neither does the time just
        // after it: the 90 s start when most jobs are answered again.
        let since = *self.most_answered_since.get_or_insert(now);
        if !most_answered {
            self.most_answered_since = None;
        }
        for job in known {
            let singled_out = most_answered && now > job.last_answered_at.max(since) + 90_000;
            if singled_out || now > job.last_answered_at.max(self.faults_end_at) + MAX_UNANSWERED_MS {
                self.violations
                    .push(format!("forgotten: no answer about {} by {now}", job.spec.id));
            }
        }
    }

    /// Checks that no task of a cancelled job runs or saves for longer than `CANCEL_DEADLINE_MS`
    /// after the confirmed cancellation, even if its machine hangs or is unreachable.
    pub fn check_cancelled(&mut self) {
        for (task, machines) in self.task_machines.iter().filter(|(_, machines)| !machines.is_empty()) {
            let job = self.job_index_of_task(task).map(|index| &self.jobs[index]);
            let Some(job) = job.filter(|job| job.known_state == KnownState::Cancelled) else {
                continue;
            };
            let after = self.now - job.known_since;
            self.longest_run_after_cancel_ms = self.longest_run_after_cancel_ms.max(after);
            if after > CANCEL_DEADLINE_MS {
                self.violations
                    .push(format!("ran_cancelled: {task} on {machines:?} at {}", self.now));
            }
        }
    }

    /// Checks that no job starves.
    ///
    /// Once faults are over, no job with tasks left to start waits 90 s without a task start
    /// while a suitable machine has room for a task and the team is below its limit.
    pub fn check_starvation(&mut self) {
        for index in 0..self.jobs.len() {
            let job = &self.jobs[index];
            let starved = job.known_state == KnownState::Accepted
                && job.cancel_at.is_none_or(|at| self.now < at)
                && self.now > self.faults_end_at
                && self.has_startable_task(job);
            let job = &mut self.jobs[index];
            if !starved {
                job.starved_since = None;
                continue;
            }
            let since = *job.starved_since.get_or_insert(self.now);
            if self.now > since + MAX_STARVATION_MS {
                let id = job.spec.id.clone();
                self.violations
                    .push(format!("waiting: {id} since {since}, at {}", self.now));
            }
        }
    }

    /// Whether a task of the job could start now: the job has tasks left to start, its team is
    /// below its limit, and a healthy machine that the job allows has enough free CPUs.
    fn has_startable_task(&self, job: &UserJob) -> bool {
        let spec = &job.spec;
        let mut tasks_by_zone: BTreeMap<&str, u32> = BTreeMap::new();
        let mut on_machines = 0;
        for worker in self.workers.values().filter(|worker| worker.is_up(self.now)) {
            let of_job = worker.tasks.iter().filter(|(task, worker_task)| {
                worker_task.state != TaskState::Exited && task.split('/').next() == Some(spec.id.as_str())
            });
            let count = of_job.count() as u32;
            if count > 0 {
                *tasks_by_zone.entry(worker.zone.as_str()).or_default() += count;
                on_machines += count;
            }
        }
        let prefix = format!("{}/", spec.id);
        let done = self
            .done_tasks
            .range(prefix.clone()..)
            .take_while(|task| task.starts_with(&prefix));
        if done.count() as u32 + on_machines >= spec.tasks {
            return false;
        }
        if self.cpus_used_by_team(&spec.team) + spec.cpus > self.team_cpus + 1e-6 {
            return false;
        }
        self.workers.values().any(|worker| {
            let zone = worker.zone.as_str();
            let in_zone = tasks_by_zone.get(zone).copied().unwrap_or(0);
            worker.is_healthy(self.now)
                && spec.zone.as_ref().is_none_or(|wanted| wanted == zone)
                && (spec.spot || !worker.spot)
                && (!spec.one_zone || tasks_by_zone.keys().all(|&other| other == zone))
                && (!spec.spread || in_zone < spec.tasks.div_ceil(2))
                && self.free_cpus(worker) >= spec.cpus
        })
    }

    /// Returns the CPUs of a machine that its tasks, including those still fetching, leave free.
    fn free_cpus(&self, worker: &Worker) -> f64 {
        let total = if worker.machine_type == "small" { 4.0 } else { 8.0 };
        let open = worker
            .tasks
            .iter()
            .filter(|(_, worker_task)| worker_task.state != TaskState::Exited);
        let used = open.filter_map(|(task, _)| Some(self.jobs[self.job_index_of_task(task)?].spec.cpus));
        total - used.sum::<f64>()
    }

    /// Returns the CPUs that a team's tasks use, including tasks still fetching.
    fn cpus_used_by_team(&self, team: &str) -> f64 {
        let workers = self.workers.values().filter(|worker| worker.is_up(self.now));
        let tasks = workers.flat_map(|worker| worker.tasks.iter());
        let open = tasks.filter(|(_, worker_task)| worker_task.state != TaskState::Exited);
        let specs = open.filter_map(|(task, _)| Some(&self.jobs[self.job_index_of_task(task)?].spec));
        specs.filter(|spec| spec.team == team).map(|spec| spec.cpus).sum()
    }

    /// Checks that the largest job of each team starts within four minutes after its submission
    /// or, if that is later, after the end of all faults. Jobs that their users cancel are
    /// excluded.
    pub fn check_largest_jobs(&mut self) {
        for team in ["red", "blue"] {
            let of_team = self
                .jobs
                .iter()
                .filter(|job| job.spec.team == team && job.cancel_at.is_none());
            let Some(largest) = of_team.max_by_key(|job| (job.spec.tasks, job.spec.id.clone())) else {
                continue;
            };
            let from = largest.submit_at.max(self.faults_end_at);
            if largest.first_start.is_none_or(|at| at > from + LARGEST_JOB_START_MS) {
                let id = &largest.spec.id;
                self.violations.push(format!(
                    "late: {id}, the largest job of {team}, started at {:?}",
                    largest.first_start
                ));
            }
        }
    }

    /// Returns the index of the job that a task belongs to, if there is one.
    pub(super) fn job_index_of_task(&self, task: &str) -> Option<usize> {
        let id = task.split('/').next()?;
        let index: usize = id.strip_prefix("j-")?.parse().ok()?;
        self.jobs
            .get(index)
            .is_some_and(|job| job.spec.id == id)
            .then_some(index)
    }
}
