//! The machine types and zones of the cloud, with an index for each.

use crate::ids::{Index, Interner, TypeIx, ZoneIx};
use crate::resources::{Market, Offer, Resources};
use crate::wire::{Catalogue, MachineType};

/// Boot time in seconds assumed for a type that the catalogue does not list, and for tasks that
/// fit on no listed type.
const UNKNOWN_BOOT_S: f64 = 60.0;

/// A machine type as listed in the cloud's catalogue.
#[derive(Clone, Debug)]
pub struct TypeInfo {
    /// The resources that a machine of this type offers to tasks.
    pub resources: Resources,
    /// Size of the image cache in GB.
    pub cache_gb: f64,
    /// Rate at which images are fetched, in GB per second.
    pub fetch_gb_per_s: f64,
    /// Hourly price of an on-demand machine.
    pub price: f64,
    /// Hourly price of a spot machine. `None` if the type is not offered as spot machines.
    pub spot_price: Option<f64>,
    /// Seconds from the request for a machine until its worker reports.
    pub boot_s: f64,
    /// The zones in which the type is offered.
    pub zones: Vec<ZoneIx>,
}

impl TypeInfo {
    /// Returns the hourly price of a machine in this market, if the type is offered there.
    pub fn price_in(&self, market: Market) -> Option<f64> {
        match market {
            Market::Spot => self.spot_price,
            Market::OnDemand => Some(self.price),
        }
    }
}

/// All machine types and zones whose names occur in the settings, the catalogue, jobs or
/// machines.
#[derive(Debug, Default)]
pub struct Topology {
    /// Indices of the types.
    pub types: Interner<TypeIx>,
    /// Indices of the zones.
    pub zones: Interner<ZoneIx>,
    /// The catalogue's entry for each type, by type index. `None` if the catalogue does not
    /// list the type.
    pub type_info: Vec<Option<TypeInfo>>,
}

impl Topology {
    /// Creates a topology with the zones of the settings. Types are added with the catalogue.
    pub fn new(zone_names: &[String]) -> Topology {
        let mut topology = Topology::default();
        for zone in zone_names {
            topology.zones.intern(zone);
        }
        topology
    }

    /// Adds or replaces the machine types that the catalogue lists.
    pub fn set_catalogue(&mut self, catalogue: &Catalogue) {
        for machine_type in &catalogue.types {
            let ix = self.type_ix(&machine_type.name).usize();
            self.type_info[ix] = Some(self.info_of(machine_type));
        }
    }

    fn info_of(&mut self, machine_type: &MachineType) -> TypeInfo {
        TypeInfo {
            resources: Resources {
                cpus: machine_type.cpus,
                gpus: machine_type.gpus,
                memory_gb: machine_type.memory_gb,
            },
            cache_gb: machine_type.cache_gb,
            fetch_gb_per_s: machine_type.fetch_gb_per_s,
            price: machine_type.price,
            spot_price: machine_type.spot_price,
            boot_s: machine_type.boot_s,
            zones: machine_type.zones.iter().map(|zone| self.zones.intern(zone)).collect(),
        }
    }

    /// Returns the index of a type by name, and assigns one if the name is new. The type need
    /// not be in the catalogue yet.
    pub fn type_ix(&mut self, name: &str) -> TypeIx {
        let ix = self.types.intern(name);
        if self.type_info.len() <= ix.usize() {
            self.type_info.resize(ix.usize() + 1, None);
        }
        ix
    }

    /// Returns the catalogue's entry for a type, if it lists the type.
    pub fn info(&self, type_ix: TypeIx) -> Option<&TypeInfo> {
        self.type_info[type_ix.usize()].as_ref()
    }

    /// Returns the boot time of a type in seconds.
    pub fn boot_s(&self, type_ix: TypeIx) -> f64 {
        self.info(type_ix).map_or(UNKNOWN_BOOT_S, |info| info.boot_s)
    }

    /// Returns the shortest boot time in seconds of the types on which a task with these
    /// resources fits.
    pub fn shortest_boot_s(&self, needed: Resources) -> f64 {
        let infos = self.type_info.iter().flatten();
        infos
            .filter(|info| info.resources.fits(needed))
            .map(|info| info.boot_s)
            .reduce(f64::min)
            .unwrap_or(UNKNOWN_BOOT_S)
    }

    /// Returns the offer with this type and zone, if both names are known.
    pub fn find_offer(&self, machine_type: &str, zone: &str, spot: bool) -> Option<Offer> {
        Some(Offer {
            type_ix: self.types.get(machine_type)?,
            zone: self.zones.get(zone)?,
            spot,
        })
    }
}
