//! Commands sent straight to a worker, beside the answers to its reports.

use crate::Millis;

/// The state of the direct commands to one machine.
#[derive(Clone, Copy, Debug, Default)]
pub struct Delivery {
    /// Sent, and neither answered nor given up yet.
    pub in_flight: bool,
    /// Among the last ones sent was a start.
    pub has_starts: bool,
    /// Nothing more is sent before this time, after one that failed.
    pub not_before: Millis,
}

impl Delivery {
    /// A start that may arrive at any time is on its way.
    pub fn has_starts_in_flight(&self) -> bool {
        self.in_flight && self.has_starts
    }
}
