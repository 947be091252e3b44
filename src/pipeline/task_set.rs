//! Sets of the tasks of one job.

use std::ops::Range;

/// A set of task numbers: a bitmap in memory, ranges (`0-4,7`) in the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TaskSet {
    words: Vec<u64>,
    len: u32,
    limit: u32,
}

impl TaskSet {
    /// An empty set of tasks below `limit`.
    pub fn new(limit: u32) -> TaskSet {
        TaskSet {
            words: vec![0; limit.div_ceil(64) as usize],
            len: 0,
            limit,
        }
    }

    /// How many tasks are in the set.
    pub fn len(&self) -> u32 {
        self.len
    }

    /// Whether no task is in the set.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Whether the task is in the set.
    pub fn contains(&self, task: u32) -> bool {
        task < self.limit && self.words[(task / 64) as usize] >> (task % 64) & 1 == 1
    }

    /// True if the task was not in the set before.
    pub fn insert(&mut self, task: u32) -> bool {
        if task >= self.limit || self.contains(task) {
            return false;
        }
        self.words[(task / 64) as usize] |= 1 << (task % 64);
        self.len += 1;
        true
    }

    /// The part of the set within `range`, as text relative to its start.
    pub fn format_ranges(&self, range: Range<u32>) -> String {
        let base = range.start;
        let mut parts = Vec::new();
        let mut tasks = range.filter(|&task| self.contains(task)).peekable();
        while let Some(first) = tasks.next() {
            let mut last = first;
            while tasks.peek() == Some(&(last + 1)) {
                last += 1;
                tasks.next();
            }
            parts.push(range_text(first - base, last - base));
        }
        parts.join(",")
    }

    /// Adds what [`TaskSet::format_ranges`] wrote; parts of any other form add nothing.
    pub fn insert_ranges(&mut self, base: u32, text: &str) {
        for (first, last) in text.split(',').filter_map(parse_range) {
            for task in first..=last.min(self.limit) {
                self.insert(base.saturating_add(task));
            }
        }
    }
}

fn range_text(first: u32, last: u32) -> String {
    if first == last {
        first.to_string()
    } else {
        format!("{first}-{last}")
    }
}

fn parse_range(text: &str) -> Option<(u32, u32)> {
    let (first, last) = text.split_once('-').unwrap_or((text, text));
    Some((first.parse().ok()?, last.parse().ok()?))
}

#[cfg(test)]
mod tests;
