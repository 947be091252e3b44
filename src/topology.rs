//! The machine types and zones of the cloud, under dense indices.

use crate::ids::{Index, Interner, TypeIx, ZoneIx};
use crate::resources::{Market, Offer, Resources};
use crate::wire::{Catalogue, MachineType};

/// Boot time of a type that the catalogue does not give.
const UNKNOWN_BOOT_S: f64 = 60.0;

/// A type of machine as the catalogue gives it.
#[derive(Clone, Debug)]
pub struct TypeInfo {
    /// What a machine of this type has room for.
    pub resources: Resources,
    /// Room for images.
    pub cache_gb: f64,
    /// How fast images are fetched.
    pub fetch_gb_per_s: f64,
    /// Price of an on-demand machine.
    pub price: f64,
    /// Price of a spot machine, if the type is offered as one.
    pub spot_price: Option<f64>,
    /// Time from the request for a machine until its worker reports.
    pub boot_s: f64,
    /// The zones in which the type is offered.
    pub zones: Vec<ZoneIx>,
}

impl TypeInfo {
    /// Price of a machine in this market, if the type is offered there.
    pub fn price_in(&self, market: Market) -> Option<f64> {
        match market {
            Market::Spot => self.spot_price,
            Market::OnDemand => Some(self.price),
        }
    }
}

/// The types of machines and the zones that are known by name, from the settings, the
/// catalogue, jobs or machines.
#[derive(Debug, Default)]
pub struct Topology {
    /// Indices of the types.
    pub types: Interner<TypeIx>,
    /// Indices of the zones.
    pub zones: Interner<ZoneIx>,
    /// What the catalogue says of each type; `None` where it does not list the type.
    pub type_info: Vec<Option<TypeInfo>>,
}

impl Topology {
    /// The zones of the settings; the types come with the catalogue.
    pub fn new(zone_names: &[String]) -> Topology {
        let mut topology = Topology::default();
        for zone in zone_names {
            topology.zones.intern(zone);
        }
        topology
    }

    /// Takes the types of machines as the catalogue gives them.
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

    /// The index of a type, which may not be in the catalogue yet.
    pub fn type_ix(&mut self, name: &str) -> TypeIx {
        let ix = self.types.intern(name);
        if self.type_info.len() <= ix.usize() {
            self.type_info.resize(ix.usize() + 1, None);
        }
        ix
    }

    /// What the catalogue says of a type, if it lists it.
    pub fn info(&self, type_ix: TypeIx) -> Option<&TypeInfo> {
        self.type_info[type_ix.usize()].as_ref()
    }

    /// How long machines of a type boot.
    pub fn boot_s(&self, type_ix: TypeIx) -> f64 {
        self.info(type_ix).map_or(UNKNOWN_BOOT_S, |info| info.boot_s)
    }

    /// The shortest boot of a machine that has room for a task of this size.
    pub fn shortest_boot_s(&self, needed: Resources) -> f64 {
        let infos = self.type_info.iter().flatten();
        infos
            .filter(|info| info.resources.fits(needed))
            .map(|info| info.boot_s)
            .reduce(f64::min)
            .unwrap_or(UNKNOWN_BOOT_S)
    }

    /// The offer of this type and zone by name, if both names are known.
    pub fn find_offer(&self, machine_type: &str, zone: &str, spot: bool) -> Option<Offer> {
        Some(Offer {
            type_ix: self.types.get(machine_type)?,
            zone: self.zones.get(zone)?,
            spot,
        })
    }
}
