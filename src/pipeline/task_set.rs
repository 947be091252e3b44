//! Sets of the tasks of one job.

use std::ops::Range;

/// A set of task numbers. It is kept as a bitmap in memory and stored as ranges such as
/// `0-4,7`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TaskSet {
    /// Bit `n % 64` of word `n / 64` tells whether task `n` is in the set.
    words: Vec<u64>,
    len: u32,
    /// All task numbers are below this.
    limit: u32,
}

impl TaskSet {
    /// Creates an empty set for task numbers below `limit`.
    pub fn new(limit: u32) -> TaskSet {
        TaskSet {
            words: vec![0; limit.div_ceil(64) as usize],
            len: 0,
            limit,
        }
    }

    /// Returns the number of tasks in the set.
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

    /// Adds a task. Returns whether the set has changed: it has not if the task was in the set
    /// already or is not below the limit.
    pub fn insert(&mut self, task: u32) -> bool {
        if task >= self.limit || self.contains(task) {
            return false;
        }
        self.words[(task / 64) as usize] |= 1 << (task % 64);
        self.len += 1;
        true
    }

    /// Formats the part of the set within `range`, with numbers relative to the start of
    /// `range`.
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
            parts.push(format_range(first - base, last - base));
        }
        parts.join(",")
    }

    /// Adds the tasks of a text written by [`TaskSet::format_ranges`], where `base` is the start
    /// of the formatted range. Parts of any other form are ignored.
    pub fn insert_ranges(&mut self, base: u32, text: &str) {
        for (first, last) in text.split(',').filter_map(parse_range) {
            for task in first..=last.min(self.limit) {
                self.insert(base.saturating_add(task));
            }
        }
    }
}

fn format_range(first: u32, last: u32) -> String {
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
