//! The rules of the protocol and the checks at each day's end.

use super::*;

impl World {
    pub(super) fn started(&mut self, machine: &str, task: &str) {
        self.starts += 1;
        let now = self.now;
        let on = self.task_machines.entry(task.into()).or_default();
        if !on.is_empty() {
            self.violations
                .push(format!("ran_twice: {task} on {machine} and {on:?} at {now}"));
        }
        on.insert(machine.into());
        let Some(index) = self.job_of(task) else {
            self.violations.push(format!("a task of no job: {task}"));
            return;
        };
        let job = &self.jobs[index];
        self.failures += u64::from(self.mistaken.contains(&job.spec.id));
        self.check_place(index, machine, task);
        let job = &self.jobs[index];
        if job.known_state == KnownState::Cancelled {
            self.starts_after_cancel += 1;
        }
        if job.known_state == KnownState::Cancelled && now > job.known_since + CANCEL_DEADLINE_MS {
            self.violations.push(format!("ran_cancelled: {task} started at {now}"));
        }
        let job = &mut self.jobs[index];
        job.first_start.get_or_insert(now);
        job.waits_since = None;
        self.check_quota();
    }

    /// A task starts only where its job allows it.
    fn check_place(&mut self, index: usize, machine: &str, task: &str) {
        let (now, job) = (self.now, &self.jobs[index]);
        let worker = &self.workers[machine];
        let spec = &job.spec;
        let allowed = spec.zone.as_ref().is_none_or(|zone| *zone == worker.zone) && (spec.spot || !worker.spot);
        let prefix = format!("{}/", spec.id);
        let mut zones: BTreeMap<&str, u32> = BTreeMap::new();
        for (_, machines) in self.task_machines.iter().filter(|(task, _)| task.starts_with(&prefix)) {
            for machine in machines {
                *zones.entry(self.workers[machine].zone.as_str()).or_default() += 1;
            }
        }
        let one_zone = !spec.one_zone || zones.len() <= 1;
        let spread = !spec.spread || zones.values().all(|&count| count <= spec.tasks.div_ceil(2));
        if !allowed || !one_zone || !spread {
            self.violations
                .push(format!("wrong_place: {task} on {machine}, {zones:?} at {now}"));
        }
    }

    /// No team uses more than its limit.
    fn check_quota(&mut self) {
        let now = self.now;
        for team in ["red", "blue"] {
            let used: f64 = self
                .task_machines
                .iter()
                .filter(|(_, machines)| !machines.is_empty())
                .filter_map(|(task, machines)| {
                    let spec = &self.jobs[self.job_of(task)?].spec;
                    (spec.team == team).then_some(spec.cpus * machines.len() as f64)
                })
                .sum();
            if used > self.team_cpus + 1e-6 {
                self.violations.push(format!("quota: {team} uses {used} at {now}"));
            }
        }
    }

    /// Once faults are over, no accepted job goes 75 s without an answer, and
    /// at no time one 90 s while most others get theirs.
    pub fn check_users_answered(&mut self) {
        let now = self.now;
        let known = self.jobs.iter().filter(|job| job.known_state != KnownState::Nothing);
        // By the protocol users ask until the end; what has ended is answered
        // without the state service, and would pass for most others in an outage.
        let asking = known.clone().filter(|job| job.known_state == KnownState::Accepted);
        let heard = asking.clone().filter(|job| now < job.answered_at + 10_000).count();
        let most = heard * 2 > asking.count();
        // An outage that all share singles out nobody, nor does its end.
        let since = *self.most_heard_since.get_or_insert(now);
        if !most {
            self.most_heard_since = None;
        }
        for job in known {
            let singled_out = most && now > job.answered_at.max(since) + 90_000;
            if singled_out || now > job.answered_at.max(self.faults_end_at) + KNOWN_MS {
                self.violations
                    .push(format!("forgotten: nothing said of {} at {now}", job.spec.id));
            }
        }
    }

    /// Nothing of a cancelled job is on a machine beyond `cancel_s`, also where
    /// it hangs or can't be reached.
    pub fn check_cancelled(&mut self) {
        for (task, machines) in self.task_machines.iter().filter(|(_, machines)| !machines.is_empty()) {
            let job = self.job_of(task).map(|index| &self.jobs[index]);
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

    /// Once faults are over, no job with tasks to start waits for 90 s, without a
    /// start of any, while a machine that fits has room and its team is under its
    /// limit.
    pub fn check_starvation(&mut self) {
        for index in 0..self.jobs.len() {
            let job = &self.jobs[index];
            let waits = job.known_state == KnownState::Accepted
                && job.cancel_at.is_none_or(|at| self.now < at)
                && self.now > self.faults_end_at
                && self.waits_beside_room(job);
            let job = &mut self.jobs[index];
            if !waits {
                job.waits_since = None;
                continue;
            }
            let since = *job.waits_since.get_or_insert(self.now);
            if self.now > since + WAITING_MS {
                let id = job.spec.id.clone();
                self.violations
                    .push(format!("waiting: {id} since {since}, at {}", self.now));
            }
        }
    }

    fn waits_beside_room(&self, job: &UserJob) -> bool {
        let spec = &job.spec;
        let mut placed: BTreeMap<&str, u32> = BTreeMap::new();
        let mut held = 0;
        for worker in self.workers.values().filter(|worker| worker.up(self.now)) {
            let of_job = worker.tasks.iter().filter(|(task, running)| {
                running.state != TaskState::Exited && task.split('/').next() == Some(spec.id.as_str())
            });
            let count = of_job.count() as u32;
            if count > 0 {
                *placed.entry(worker.zone.as_str()).or_default() += count;
                held += count;
            }
        }
        let prefix = format!("{}/", spec.id);
        let done = self
            .done_tasks
            .range(prefix.clone()..)
            .take_while(|task| task.starts_with(&prefix));
        if done.count() as u32 + held >= spec.tasks {
            return false;
        }
        if self.used_by(&spec.team) + spec.cpus > self.team_cpus + 1e-6 {
            return false;
        }
        self.workers.values().any(|worker| {
            let zone = worker.zone.as_str();
            let there = placed.get(zone).copied().unwrap_or(0);
            worker.well(self.now)
                && spec.zone.as_ref().is_none_or(|wanted| wanted == zone)
                && (spec.spot || !worker.spot)
                && (!spec.one_zone || placed.keys().all(|&other| other == zone))
                && (!spec.spread || there < spec.tasks.div_ceil(2))
                && self.free_cpus(worker) >= spec.cpus
        })
    }

    /// What the tasks on a machine, fetching ones included, leave of it.
    fn free_cpus(&self, worker: &Worker) -> f64 {
        let all = if worker.machine_type == "small" { 4.0 } else { 8.0 };
        let open = worker
            .tasks
            .iter()
            .filter(|(_, running)| running.state != TaskState::Exited);
        let used = open.filter_map(|(task, _)| Some(self.jobs[self.job_of(task)?].spec.cpus));
        all - used.sum::<f64>()
    }

    /// What a team's tasks take, fetching ones included.
    fn used_by(&self, team: &str) -> f64 {
        let workers = self.workers.values().filter(|worker| worker.up(self.now));
        let tasks = workers.flat_map(|worker| worker.tasks.iter());
        let open = tasks.filter(|(_, running)| running.state != TaskState::Exited);
        let specs = open.filter_map(|(task, _)| Some(&self.jobs[self.job_of(task)?].spec));
        specs.filter(|spec| spec.team == team).map(|spec| spec.cpus).sum()
    }

    /// The largest jobs have to begin within four minutes, faults aside.
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
            if largest.first_start.is_none_or(|at| at > from + LARGEST_MS) {
                let id = &largest.spec.id;
                self.violations.push(format!(
                    "late: {id}, the largest of {team}, began at {:?}",
                    largest.first_start
                ));
            }
        }
    }

    pub(super) fn job_of(&self, task: &str) -> Option<usize> {
        let id = task.split('/').next()?;
        let index: usize = id.strip_prefix("j-")?.parse().ok()?;
        self.jobs
            .get(index)
            .is_some_and(|job| job.spec.id == id)
            .then_some(index)
    }
}
