//! Names of tasks in the worker protocol.

/// Returns the name of a task in the form `job/task`.
pub fn task_name(job: &str, task: u32) -> String {
    format!("{job}/{task}")
}

/// Parses a task name into the job and the number of the task within it. Returns `None` if the
/// name is not of the form `job/task`.
pub fn parse_task_name(name: &str) -> Option<(&str, u32)> {
    let (job, task) = name.rsplit_once('/')?;
    Some((job, task.parse().ok()?))
}

#[cfg(test)]
mod tests;
