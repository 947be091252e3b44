//! Ids that match replies to requests.

/// A sequence of increasing ids that no other incarnation of this controller uses.
#[derive(Debug)]
pub(super) struct IdSequence {
    last: u64,
}

impl IdSequence {
    /// Starts a sequence far from those of other incarnations, since a peer may still answer
    /// requests of an earlier incarnation of this process. `incarnation` is expected to be
    /// random, and is halved so that the sequence cannot overflow.
    pub(super) fn for_incarnation(incarnation: u64) -> IdSequence {
        IdSequence { last: incarnation >> 1 }
    }

    /// Returns a new id.
    pub(super) fn next(&mut self) -> u64 {
        self.last += 1;
        self.last
    }

    /// The id that was returned last.
    pub(super) fn last(&self) -> u64 {
        self.last
    }
}
