//! Delivery of commands that are sent directly to a worker rather than in the answer to a
//! report.

use crate::Millis;

/// State of the direct commands to one machine.
#[derive(Clone, Copy, Debug, Default)]
pub struct Delivery {
    /// Whether commands have been sent that were neither answered nor given up yet.
    pub in_flight: bool,
    /// Whether the last commands sent included a start command.
    pub has_starts: bool,
    /// Earliest time for the next commands after a failed delivery.
    pub not_before: Millis,
}

impl Delivery {
    /// Whether a start command is in flight and may arrive at any time.
    pub fn has_starts_in_flight(&self) -> bool {
        self.in_flight && self.has_starts
    }
}
