//! One machine in a round's view of the machines.

use crate::ids::MachineIx;
use crate::resources::{Offer, Resources, Shape};
use crate::topology::TypeInfo;
use crate::workers::Machine;

/// A machine that may be given tasks, with the room that is left on it in this round.
#[derive(Debug)]
pub struct Slot {
    /// The machine of this slot.
    pub machine: MachineIx,
    /// The machine's type and zone, and whether it is a spot machine.
    pub offer: Offer,
    /// The number of CPUs of the machine type, in use or not.
    pub type_cpus: f64,
    /// The resources that are used neither by open attempts nor by tasks placed in this round.
    pub free: Resources,
    /// Whether the round places nothing more here, so that an urgent job finds room later.
    pub reserved: bool,
}

impl Slot {
    /// Creates the slot of a machine of this type.
    pub fn new(machine_ix: MachineIx, machine: &Machine, info: &TypeInfo) -> Slot {
        Slot {
            machine: machine_ix,
            offer: machine.offer(),
            type_cpus: info.resources.cpus,
            free: info.resources.saturating_sub(machine.used),
            reserved: false,
        }
    }

    /// Whether a task that asks for these resources fits here now.
    pub fn has_room(&self, resources: Resources) -> bool {
        !self.reserved && self.free.fits(resources)
    }

    /// Whether tasks of this shape may run here, whether or not there is room.
    pub fn is_allowed_by(&self, shape: &Shape) -> bool {
        shape.allows(self.offer)
    }
}
