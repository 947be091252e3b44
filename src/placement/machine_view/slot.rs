//! One machine in the view of a round.

use crate::ids::MachineIx;
use crate::resources::{Offer, Resources, Shape};
use crate::topology::TypeInfo;
use crate::workers::Machine;

/// A machine that may be given tasks, and the room that the round has left on it.
#[derive(Debug)]
pub struct Slot {
    pub machine: MachineIx,
    pub offer: Offer,
    /// CPUs of the whole machine.
    pub type_cpus: f64,
    pub free: Resources,
    /// Kept empty for a job that would else never find room.
    pub reserved: bool,
}

impl Slot {
    /// The slot of a machine of this type.
    pub fn new(machine_ix: MachineIx, machine: &Machine, info: &TypeInfo) -> Slot {
        Slot {
            machine: machine_ix,
            offer: machine.offer(),
            type_cpus: info.resources.cpus,
            free: info.resources.saturating_sub(machine.used),
            reserved: false,
        }
    }

    /// Whether a task that asks for this much may start here now.
    pub fn has_room(&self, resources: Resources) -> bool {
        !self.reserved && self.free.fits(resources)
    }

    /// Whether tasks of this shape may run here at all, full or not.
    pub fn is_allowed_by(&self, shape: &Shape) -> bool {
        shape.allows(self.offer)
    }
}
