//! Resource amounts (CPUs, GPUs and memory), offers of the cloud, and the machines that a
//! task may run on.

use crate::ids::{TypeIx, ZoneIx};

/// Amounts are sums of floating-point numbers, so a task still fits if it exceeds an amount
/// by no more than this.
const ROUNDING_TOLERANCE: f64 = 1e-6;
/// Upper bound of the number of tasks that [`Resources::capacity_for`] returns.
const MAX_TASK_COUNT: f64 = 100_000.0;

/// Amounts of resources that a task needs or a machine offers.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Resources {
    /// Number of CPU cores, which may be fractional.
    pub cpus: f64,
    /// Number of GPUs.
    pub gpus: f64,
    /// Memory in GB.
    pub memory_gb: f64,
}

impl Resources {
    /// Creates amounts of CPUs and GPUs without memory, as counted by the quotas of teams.
    pub fn without_memory(cpus: f64, gpus: f64) -> Resources {
        Resources {
            cpus,
            gpus,
            memory_gb: 0.0,
        }
    }

    /// Adds each amount of `other`.
    pub fn add(&mut self, other: Resources) {
        self.cpus += other.cpus;
        self.gpus += other.gpus;
        self.memory_gb += other.memory_gb;
    }

    /// Subtracts each amount of `other`. No amount falls below zero.
    pub fn subtract(&mut self, other: Resources) {
        self.cpus = (self.cpus - other.cpus).max(0.0);
        self.gpus = (self.gpus - other.gpus).max(0.0);
        self.memory_gb = (self.memory_gb - other.memory_gb).max(0.0);
    }

    /// Returns the amounts that are left after subtracting `other`. No amount falls below zero.
    pub fn saturating_sub(mut self, other: Resources) -> Resources {
        self.subtract(other);
        self
    }

    /// Whether each amount of `other` is at most the one here, up to rounding errors.
    pub fn fits(&self, other: Resources) -> bool {
        let fits = |available: f64, needed: f64| needed <= available + ROUNDING_TOLERANCE;
        fits(self.cpus, other.cpus) && fits(self.gpus, other.gpus) && fits(self.memory_gb, other.memory_gb)
    }

    /// Returns how many tasks that each need `task` fit into these amounts at the same time.
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
        tasks.clamp(0.0, MAX_TASK_COUNT) as u32
    }
}

/// The purchasing option under which a machine is rented.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Market {
    /// Cheaper, but the cloud may reclaim the machine at short notice.
    Spot,
    /// At the full price, until the machine is deleted.
    OnDemand,
}

/// Machines of one type in one zone, either spot or on-demand. Pending requests, shortages of
/// the cloud and overdue boots are tracked separately for each offer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Offer {
    /// The machine type.
    pub type_ix: TypeIx,
    /// The zone that the machines are in.
    pub zone: ZoneIx,
    /// Whether the machines are spot machines rather than on-demand ones.
    pub spot: bool,
}

impl Offer {
    /// Returns the purchasing option of this offer.
    pub fn market(&self) -> Market {
        if self.spot { Market::Spot } else { Market::OnDemand }
    }
}

/// The resources that a task needs and the machines that it may run on.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Shape {
    /// The resources that the task needs on its machine.
    pub resources: Resources,
    /// The machine types that the task may run on. `None` means any.
    pub types: Option<Vec<TypeIx>>,
    /// The only zone that the task may run in. `None` means any.
    pub zone: Option<ZoneIx>,
    /// Whether the task may run on spot machines.
    pub spot: bool,
}

impl Shape {
    /// Whether the task may run on the machines of this offer.
    pub fn allows(&self, offer: Offer) -> bool {
        (self.spot || !offer.spot)
            && self.types.as_ref().is_none_or(|types| types.contains(&offer.type_ix))
            && self.zone.is_none_or(|only| only == offer.zone)
    }

    /// Whether tasks of both shapes may run on the same machines, regardless of the resources
    /// that they need.
    pub fn allows_same_machines(&self, other: &Shape) -> bool {
        (&self.types, self.zone, self.spot) == (&other.types, other.zone, other.spot)
    }

    /// Whether this shape is at least as demanding as `other` in every respect, so that it
    /// fits nowhere that `other` does not fit.
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
