//! Delivery of commands that are sent directly to a worker rather than in the answer to a
//! report.

use crate::Millis;

/// State of the direct commands to one machine.
#[derive(Clone, Copy, Debug, Default)]
pub struct Delivery {
    /// Whether commands have been sent that were neither answered nor given up yet.
    pub in_flight: bool,
    /// Earliest time for the next commands after a failed delivery.
    pub not_before: Millis,
}
