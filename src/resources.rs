//! What tasks ask for: amounts of CPUs, GPUs and memory, and the machines that they may
//! run on.

use crate::ids::{TypeIx, ZoneIx};

/// Amounts are sums of floating-point numbers: a task fits if it lacks no more than this.
const ROUNDING_TOLERANCE: f64 = 1e-6;
/// The most tasks that are counted to fit into one amount of resources.
const MAX_CAPACITY: f64 = 100_000.0;

/// Amounts of resources: what a task takes of its machine, or a machine offers.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Resources {
    /// CPU cores.
    pub cpus: f64,
    /// GPUs.
    pub gpus: f64,
    /// Memory in GB.
    pub memory_gb: f64,
}

impl Resources {
    /// CPUs and GPUs only, as the quotas of teams count them.
    pub fn without_memory(cpus: f64, gpus: f64) -> Resources {
        Resources {
            cpus,
            gpus,
            memory_gb: 0.0,
        }
    }

    /// Adds each amount.
    pub fn add(&mut self, other: Resources) {
        self.cpus += other.cpus;
        self.gpus += other.gpus;
        self.memory_gb += other.memory_gb;
    }

    /// Subtracts each amount; none falls below zero.
    pub fn subtract(&mut self, other: Resources) {
        self.cpus = (self.cpus - other.cpus).max(0.0);
        self.gpus = (self.gpus - other.gpus).max(0.0);
        self.memory_gb = (self.memory_gb - other.memory_gb).max(0.0);
    }

    /// What is left after `other` is subtracted; no amount falls below zero.
    pub fn saturating_sub(mut self, other: Resources) -> Resources {
        self.subtract(other);
        self
    }

    /// Whether `other` fits into these amounts.
    pub fn fits(&self, other: Resources) -> bool {
        let fits = |available: f64, needed: f64| needed <= available + ROUNDING_TOLERANCE;
        fits(self.cpus, other.cpus) && fits(self.gpus, other.gpus) && fits(self.memory_gb, other.memory_gb)
    }

    /// How many tasks that each take `task` fit into these amounts at once.
    pub fn capacity_for(&self, task: Resources) -> u32 {
        let times = |available: f64, needed: f64| {
            if needed <= 0.0 {
                f64::from(u32::MAX)
            } else {
                ((available + ROUNDING_TOLERANCE) / needed).floor()
            }
        };
        let tasks = times(self.cpus, task.cpus)
            .min(times(self.gpus, task.gpus))
            .min(times(self.memory_gb, task.memory_gb));
        tasks.clamp(0.0, MAX_CAPACITY) as u32
    }
}

/// On which terms a machine is bought.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Market {
    /// At a lower price, and the cloud may reclaim it at short notice.
    Spot,
    /// At the full price, for as long as it is wanted.
    OnDemand,
}

/// One thing that the cloud sells: machines of a type, in a zone, as spot or on-demand
/// machines. Capacity, refusals and failed boots are counted for each offer by itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Offer {
    /// The type of the machines.
    pub type_ix: TypeIx,
    /// Where they are.
    pub zone: ZoneIx,
    /// Whether they are spot machines, and not on-demand ones.
    pub spot: bool,
}

impl Offer {
    /// On which terms its machines are bought.
    pub fn market(&self) -> Market {
        if self.spot { Market::Spot } else { Market::OnDemand }
    }
}

/// What a task takes and which machines it may run on.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Shape {
    /// What the task takes of its machine.
    pub resources: Resources,
    /// Machine types that it may run on. `None`: any.
    pub types: Option<Vec<TypeIx>>,
    /// The only zone that it may run in. `None`: any.
    pub zone: Option<ZoneIx>,
    /// Whether it may run on spot machines.
    pub spot: bool,
}

impl Shape {
    /// Whether the task may run on the machines of this offer.
    pub fn allows(&self, offer: Offer) -> bool {
        (self.spot || !offer.spot)
            && self.types.as_ref().is_none_or(|types| types.contains(&offer.type_ix))
            && self.zone.is_none_or(|only| only == offer.zone)
    }

    /// Whether both may run on the same machines, whatever they take there.
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
