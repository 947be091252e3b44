//! What tasks ask for: amounts of processors, memory and cards, and the machines that
//! they may run on.

use crate::ids::{TypeIx, ZoneIx};

/// What a task takes of its machine, or a machine offers.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Resources {
    pub cpus: f64,
    pub gpus: f64,
    pub memory_gb: f64,
}

const SLACK: f64 = 1e-6;

impl Resources {
    /// Processors and cards only, as the limits of teams count them.
    pub fn without_memory(cpus: f64, gpus: f64) -> Resources {
        Resources {
            cpus,
            gpus,
            memory_gb: 0.0,
        }
    }

    pub fn add(&mut self, other: Resources) {
        self.cpus += other.cpus;
        self.gpus += other.gpus;
        self.memory_gb += other.memory_gb;
    }

    pub fn take(&mut self, other: Resources) {
        self.cpus = (self.cpus - other.cpus).max(0.0);
        self.gpus = (self.gpus - other.gpus).max(0.0);
        self.memory_gb = (self.memory_gb - other.memory_gb).max(0.0);
    }

    pub fn minus(mut self, other: Resources) -> Resources {
        self.take(other);
        self
    }

    pub fn fits(&self, other: Resources) -> bool {
        other.cpus <= self.cpus + SLACK && other.gpus <= self.gpus + SLACK && other.memory_gb <= self.memory_gb + SLACK
    }

    /// How many of `other` fit.
    pub fn count(&self, other: Resources) -> u32 {
        let part = |have: f64, need: f64| {
            if need <= 0.0 {
                f64::from(u32::MAX)
            } else {
                ((have + SLACK) / need).floor()
            }
        };
        let count = part(self.cpus, other.cpus)
            .min(part(self.gpus, other.gpus))
            .min(part(self.memory_gb, other.memory_gb));
        count.clamp(0.0, 100_000.0) as u32
    }
}

/// What a task takes and which machines it may be on.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Shape {
    pub resources: Resources,
    /// `None` for any.
    pub types: Option<Vec<TypeIx>>,
    pub zone: Option<ZoneIx>,
    pub spot: bool,
}

impl Shape {
    pub fn allows(&self, type_ix: TypeIx, zone: ZoneIx, spot: bool) -> bool {
        (self.spot || !spot)
            && self.types.as_ref().is_none_or(|types| types.contains(&type_ix))
            && self.zone.is_none_or(|only| only == zone)
    }

    /// Whether both may be on the same machines, whatever they take there.
    pub fn allows_same_machines(&self, other: &Shape) -> bool {
        (&self.types, self.zone, self.spot) == (&other.types, other.zone, other.spot)
    }

    /// Whether it asks for all that `other` asks for: where there is no room for
    /// `other` there is none for it either.
    pub fn needs_at_least(&self, other: &Shape) -> bool {
        let types_within = match (&self.types, &other.types) {
            (_, None) => true,
            (None, Some(_)) => false,
            (Some(own), Some(others)) => own.iter().all(|type_ix| others.contains(type_ix)),
        };
        self.resources.fits(other.resources)
            && types_within
            && (other.zone.is_none() || self.zone == other.zone)
            && (other.spot || !self.spot)
    }
}
