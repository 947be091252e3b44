//! State from which transactions are built.

use crate::fleet::Inventory;
use crate::pipeline::Jobs;
use crate::topology::Topology;
use crate::workers::Workers;

/// References to the state whose changes are written. Building a transaction marks parts
/// of this state as in flight, and its commit marks them as written.
#[derive(Debug)]
pub struct WriteContext<'a> {
    /// Jobs with their chunks of tasks.
    pub jobs: &'a mut Jobs,
    /// Machines and the attempts on them.
    pub workers: &'a mut Workers,
    /// Inventory groups under which machines are written.
    pub inventory: &'a mut Inventory,
    /// Names of machine types and zones.
    pub topology: &'a Topology,
}
