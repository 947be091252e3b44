//! The names of tasks on the wire.

/// `job/task` as the protocol writes it.
pub fn task_name(job: &str, task: u32) -> String {
    format!("{job}/{task}")
}

/// The job and the task's number within it, if the name is one of a task.
pub fn parse_task_name(name: &str) -> Option<(&str, u32)> {
    let (job, task) = name.rsplit_once('/')?;
    Some((job, task.parse().ok()?))
}

#[cfg(test)]
mod tests;
