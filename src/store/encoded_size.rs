//! Sizes of values and transactions as they are sent to the state service.

use serde::Serialize;
use std::io;

/// The largest transaction that the state service accepts, in bytes.
pub const MAX_TRANSACTION_BYTES: usize = 64 * 1024;

/// Counts the bytes that are written and discards them.
#[derive(Default)]
struct ByteCounter {
    bytes: usize,
}

impl io::Write for ByteCounter {
    fn write(&mut self, buffer: &[u8]) -> io::Result<usize> {
        self.bytes += buffer.len();
        Ok(buffer.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Returns the number of bytes that a value takes as JSON.
pub fn encoded_size(value: &impl Serialize) -> usize {
    let mut counter = ByteCounter::default();
    // The types that are stored can be written as JSON, and the counter accepts all bytes. A
    // value that can't be written counts as one that is too large.
    match serde_json::to_writer(&mut counter, value) {
        Ok(()) => counter.bytes,
        Err(_) => usize::MAX,
    }
}

#[cfg(test)]
mod tests;
