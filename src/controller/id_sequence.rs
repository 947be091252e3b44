//! Numbers for requests, by which their replies are told apart.

/// Rising numbers that no other incarnation of this controller uses.
#[derive(Debug)]
pub(super) struct IdSequence {
    last: u64,
}

impl IdSequence {
    /// Numbers far from those of other incarnations: a peer may still answer what a
    /// former incarnation of this process asked.
    pub(super) fn for_incarnation(incarnation: u64) -> IdSequence {
        IdSequence { last: incarnation >> 1 }
    }

    /// A new number.
    pub(super) fn next(&mut self) -> u64 {
        self.last += 1;
        self.last
    }

    /// The number last given.
    pub(super) fn last(&self) -> u64 {
        self.last
    }
}
