//! The room that a job is short of, and how it is taken from the candidates.

use super::candidates::Candidate;
use crate::ids::{AttemptIx, ImageIx, MachineIx, ZoneIx};
use crate::pipeline::Job;
use crate::placement::image_state::ImageState;
use crate::resources::Shape;
use crate::wire::Priority;

/// Like tasks of one job that need room.
#[derive(Debug)]
pub struct Demand {
    pub(super) shape: Shape,
    pub(super) priority: Priority,
    pub(super) image: ImageIx,
    /// Machines that the job keeps off.
    pub(super) failed_on: Vec<MachineIx>,
    /// `None`: any.
    pub(super) zones: Option<Vec<ZoneIx>>,
    pub(super) one_zone: bool,
    /// Tasks for which no room is found yet.
    pub(super) unplaced_tasks: u32,
}

impl Demand {
    /// Room for so many tasks of the job, in these zones (`None`: in any).
    pub fn new(job: &Job, tasks: u32, zones: Option<Vec<ZoneIx>>) -> Demand {
        Demand {
            shape: job.shape.clone(),
            priority: job.priority(),
            image: job.image,
            failed_on: job.failed_on.clone(),
            zones,
            one_zone: job.spec.one_zone,
            unplaced_tasks: tasks,
        }
    }

    /// Whether room was found for all tasks.
    pub fn is_met(&self) -> bool {
        self.unplaced_tasks == 0
    }

    /// Whether its job alone, and not its shape, rules machines out.
    pub fn is_particular(&self) -> bool {
        self.zones.is_some() || !self.failed_on.is_empty()
    }

    /// Counts on the room that is there without stopping anything more.
    pub fn take_free_room(&mut self, candidates: &mut [Candidate]) {
        for candidate in candidates {
            while !self.is_met() && candidate.free.fits(self.shape.resources) && self.allows(candidate) {
                self.place_on(candidate);
            }
        }
    }

    /// Stops tasks for what is still short, on machines that have the image cached
    /// first. `stops` gets the attempts, up to `max_stops` of them or a few more.
    pub fn take_victims(&mut self, candidates: &mut [Candidate], max_stops: usize, stops: &mut Vec<AttemptIx>) {
        for image_state in [ImageState::Cached, ImageState::Missing] {
            for candidate in &mut *candidates {
                if self.is_met() || stops.len() >= max_stops {
                    return;
                }
                if self.image_state(candidate) == image_state {
                    self.take_victims_of(candidate, max_stops, stops);
                }
            }
        }
    }

    fn take_victims_of(&mut self, candidate: &mut Candidate, max_stops: usize, stops: &mut Vec<AttemptIx>) {
        while !self.is_met() && stops.len() < max_stops && self.allows(candidate) {
            let Some(needed) = candidate.victims_needed(self.shape.resources, self.priority) else {
                return;
            };
            for victim in candidate.victims.drain(..needed) {
                candidate.free.add(victim.resources);
                stops.push(victim.attempt);
            }
            self.place_on(candidate);
        }
    }

    fn allows(&self, candidate: &Candidate) -> bool {
        self.shape.allows(candidate.offer)
            && self
                .zones
                .as_ref()
                .is_none_or(|zones| zones.contains(&candidate.offer.zone))
            && !self.failed_on.contains(&candidate.machine)
    }

    fn image_state(&self, candidate: &Candidate) -> ImageState {
        if candidate.images.contains(&self.image) {
            ImageState::Cached
        } else {
            ImageState::Missing
        }
    }

    /// Takes room for one task, which has to be free.
    fn place_on(&mut self, candidate: &mut Candidate) {
        candidate.free.subtract(self.shape.resources);
        self.unplaced_tasks -= 1;
        if self.one_zone {
            self.zones = Some(vec![candidate.offer.zone]);
        }
    }
}
