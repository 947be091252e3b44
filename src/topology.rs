//! The machine types and zones of the cloud, under dense indices.

use crate::ids::{Index, Names, TypeIx, ZoneIx};
use crate::resources::Resources;
use crate::wire::Catalogue;

/// A type of machine as the catalogue gives it.
#[derive(Clone, Debug)]
pub struct TypeInfo {
    pub resources: Resources,
    pub cache_gb: f64,
    pub fetch_gb_per_s: f64,
    pub price: f64,
    pub spot_price: Option<f64>,
    pub boot_s: f64,
    pub zones: Vec<ZoneIx>,
}

/// One way of renting a machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Offer {
    pub type_ix: TypeIx,
    pub zone: ZoneIx,
    pub spot: bool,
}

/// The types of machines and the zones that are known by name, from the settings, the
/// catalogue, jobs or machines.
#[derive(Debug, Default)]
pub struct Topology {
    pub types: Names<TypeIx>,
    pub zones: Names<ZoneIx>,
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
        for info in &catalogue.types {
            let ix = self.type_ix(&info.name).usize();
            let zones = info.zones.iter().map(|zone| self.zones.intern(zone)).collect();
            self.type_info[ix] = Some(TypeInfo {
                resources: Resources {
                    cpus: info.cpus,
                    gpus: info.gpus,
                    memory_gb: info.memory_gb,
                },
                cache_gb: info.cache_gb,
                fetch_gb_per_s: info.fetch_gb_per_s,
                price: info.price,
                spot_price: info.spot_price,
                boot_s: info.boot_s,
                zones,
            });
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

    /// Makes room for the types that were named elsewhere.
    pub fn cover_all_types(&mut self) {
        self.type_info.resize(self.types.len(), None);
    }
}
