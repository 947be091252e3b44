//! Batches of items that one message carries, bounded in number and size.

use super::{
    AddressedCommands, CancelledJob, CommandReply, RelayedReport, RelayedReportReply, ReportReply, WorkerReply,
};
use crate::wire::{Command, Report};

/// The largest number of items in one message.
const MAX_ITEMS: usize = 64;
/// The size up to which items are collected in one message, in bytes. A frame may be twice as
/// long, so that one more item of any size that occurs still fits.
pub const MAX_BATCH_BYTES: usize = 1 << 20;
/// Upper bound of what an item, a task or a command takes in a frame beside its names.
const ENTRY_BYTES: usize = 80;

/// An item of a batch.
pub trait BatchItem {
    /// Returns an upper bound of the bytes that the item takes in a frame.
    fn max_frame_bytes(&self) -> usize;
}

impl BatchItem for Report {
    fn max_frame_bytes(&self) -> usize {
        let names = [&self.machine, &self.address, &self.machine_type, &self.zone];
        let names: usize = names.into_iter().map(String::len).sum();
        let tasks = self.tasks.iter().map(|task| ENTRY_BYTES + task.task.len());
        2 * ENTRY_BYTES + names + tasks.sum::<usize>()
    }
}

impl BatchItem for [Command] {
    fn max_frame_bytes(&self) -> usize {
        let commands = self.iter().map(|command| ENTRY_BYTES + command.task().len());
        commands.sum()
    }
}

impl BatchItem for RelayedReport {
    fn max_frame_bytes(&self) -> usize {
        ENTRY_BYTES + self.report.max_frame_bytes()
    }
}

impl BatchItem for RelayedReportReply {
    fn max_frame_bytes(&self) -> usize {
        let reply = match &self.reply {
            ReportReply::Accepted(answer) => answer.commands.max_frame_bytes(),
            ReportReply::Redirected(node) => node.as_ref().map_or(0, String::len),
        };
        ENTRY_BYTES + reply
    }
}

impl BatchItem for AddressedCommands {
    fn max_frame_bytes(&self) -> usize {
        ENTRY_BYTES + self.address.len() + self.commands.commands.max_frame_bytes()
    }
}

impl BatchItem for CommandReply {
    fn max_frame_bytes(&self) -> usize {
        let report = match &self.reply {
            WorkerReply::Executed(report) | WorkerReply::Refused(report) => report.max_frame_bytes(),
            WorkerReply::NotDelivered | WorkerReply::Unanswered => 0,
        };
        ENTRY_BYTES + report
    }
}

impl BatchItem for CancelledJob {
    fn max_frame_bytes(&self) -> usize {
        4 * ENTRY_BYTES + self.key.spec.name_bytes()
    }
}

/// Splits `items` into consecutive batches, each small enough for one message.
pub fn batches<T: BatchItem>(items: Vec<T>) -> impl Iterator<Item = Vec<T>> {
    let mut items = items.into_iter().peekable();
    std::iter::from_fn(move || {
        let mut batch = Vec::new();
        let mut bytes = 0;
        while let Some(item) = items.next_if(|item| {
            let has_space = batch.len() < MAX_ITEMS && bytes + item.max_frame_bytes() <= MAX_BATCH_BYTES;
            batch.is_empty() || has_space
        }) {
            bytes += item.max_frame_bytes();
            batch.push(item);
        }
        (!batch.is_empty()).then_some(batch)
    })
}

#[cfg(test)]
mod tests;
