//! Which tasks to stop where: the choice itself, on a copy of what it needs.

use crate::ids::{AttemptIx, ImageIx, MachineIx, TypeIx, ZoneIx};
use crate::pipeline::Job;
use crate::placement::FullShapes;
use crate::resources::{Resources, Shape};
use crate::wire::Priority;
use std::collections::BTreeMap;

/// A running task that may be stopped for one of higher priority.
#[derive(Clone, Debug)]
pub struct Victim {
    pub attempt: AttemptIx,
    pub priority: Priority,
    pub resources: Resources,
    /// CPU seconds of work lost by stopping it.
    pub loss: f64,
}

/// A machine on which tasks may be stopped or are being stopped.
#[derive(Clone, Debug)]
pub struct Candidate {
    pub machine: MachineIx,
    pub type_ix: TypeIx,
    pub zone: ZoneIx,
    pub spot: bool,
    pub images: Vec<ImageIx>,
    /// Free now, or as soon as what is being stopped has ended.
    pub free: Resources,
    /// The lowest priority first, and of these the smallest loss.
    pub victims: Vec<Victim>,
}

impl Candidate {
    pub fn sort_victims(&mut self) {
        self.victims
            .sort_by(|a, b| a.priority.cmp(&b.priority).then(a.loss.total_cmp(&b.loss)));
    }

    /// The loss of the first victim; none where nothing need be stopped.
    pub fn least_loss(&self) -> f64 {
        self.victims.first().map_or(0.0, |victim| victim.loss)
    }

    /// How many victims have to go, the first ones, for a task to fit.
    fn victims_needed(&self, resources: Resources, priority: Priority) -> Option<usize> {
        let mut free = self.free;
        for (count, victim) in self.victims.iter().enumerate() {
            if free.fits(resources) {
                return Some(count);
            }
            if victim.priority >= priority {
                return None;
            }
            free.add(victim.resources);
        }
        free.fits(resources).then_some(self.victims.len())
    }
}

/// Like tasks of one job that need room.
#[derive(Debug)]
pub struct Demand {
    shape: Shape,
    priority: Priority,
    image: ImageIx,
    failed_on: Vec<MachineIx>,
    /// `None`: any.
    zones: Option<Vec<ZoneIx>>,
    one_zone: bool,
    /// Tasks for which no room is found yet.
    pub count: u32,
}

impl Demand {
    pub fn new(job: &Job, count: u32, zones: Option<Vec<ZoneIx>>) -> Demand {
        Demand {
            shape: job.shape.clone(),
            priority: job.priority(),
            image: job.image,
            failed_on: job.failed_on.clone(),
            zones,
            one_zone: job.spec.one_zone,
            count,
        }
    }

    fn allows(&self, candidate: &Candidate) -> bool {
        self.shape.allows(candidate.type_ix, candidate.zone, candidate.spot)
            && self.zones.as_ref().is_none_or(|zones| zones.contains(&candidate.zone))
            && !self.failed_on.contains(&candidate.machine)
    }

    fn take(&mut self, candidate: &mut Candidate) {
        candidate.free.take(self.shape.resources);
        self.count -= 1;
        if self.one_zone {
            self.zones = Some(vec![candidate.zone]);
        }
    }

    /// Counts on the room that is there without stopping anything more.
    fn take_free_room(&mut self, candidates: &mut [Candidate]) {
        for candidate in candidates {
            while self.count > 0 && candidate.free.fits(self.shape.resources) && self.allows(candidate) {
                self.take(candidate);
            }
        }
    }

    /// Stops tasks for what is still short, on machines that hold the image first.
    fn take_victims(&mut self, candidates: &mut [Candidate], most: usize, stops: &mut Vec<AttemptIx>) {
        for holds_image in [true, false] {
            for candidate in &mut *candidates {
                if self.count == 0 || stops.len() >= most {
                    return;
                }
                if candidate.images.contains(&self.image) == holds_image {
                    self.take_victims_of(candidate, most, stops);
                }
            }
        }
    }

    fn take_victims_of(&mut self, candidate: &mut Candidate, most: usize, stops: &mut Vec<AttemptIx>) {
        while self.count > 0 && stops.len() < most && self.allows(candidate) {
            let Some(needed) = candidate.victims_needed(self.shape.resources, self.priority) else {
                return;
            };
            for victim in candidate.victims.drain(..needed) {
                candidate.free.add(victim.resources);
                stops.push(victim.attempt);
            }
            self.take(candidate);
        }
    }

    /// Whether its job alone, and not its shape, rules machines out.
    fn is_particular(&self) -> bool {
        self.zones.is_some() || !self.failed_on.is_empty()
    }
}

/// The attempts to stop for these demands, which come in order of placement. No
/// more are begun once there are `most`.
pub fn choose_victims(mut candidates: Vec<Candidate>, mut demands: Vec<Demand>, most: usize) -> Vec<AttemptIx> {
    let mut full = FullShapes::default();
    for demand in &mut demands {
        if full.contains(&demand.shape) {
            continue;
        }
        demand.take_free_room(&mut candidates);
        if demand.count > 0 && !demand.is_particular() {
            full.insert(&demand.shape);
        }
    }
    let mut stops = Vec::new();
    // For each priority: what finds nobody to stop.
    let mut hopeless: BTreeMap<Priority, FullShapes> = BTreeMap::new();
    for demand in &mut demands {
        if stops.len() >= most {
            break;
        }
        let hopeless = hopeless.entry(demand.priority).or_default();
        if demand.count == 0 || hopeless.contains(&demand.shape) {
            continue;
        }
        demand.take_victims(&mut candidates, most, &mut stops);
        if demand.count > 0 && !demand.is_particular() {
            hopeless.insert(&demand.shape);
        }
    }
    stops
}

#[cfg(test)]
mod tests;
