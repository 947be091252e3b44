//! The room that a job is short of, and how it is taken from the candidate machines.

use super::candidates::Candidate;
use crate::ids::{AttemptIx, ImageIx, MachineIx, ZoneIx};
use crate::pipeline::Job;
use crate::placement::image_state::ImageState;
use crate::resources::Shape;
use crate::wire::Priority;

/// The tasks of one job that need room. They all have the same shape.
#[derive(Debug)]
pub struct Demand {
    /// What each task requires of a machine.
    pub(super) shape: Shape,
    /// The priority of the job. Only tasks of lower priority are stopped for it.
    pub(super) priority: Priority,
    /// The image that the tasks run in.
    pub(super) image: ImageIx,
    /// The machines that the job avoids, because its tasks failed there.
    pub(super) failed_on: Vec<MachineIx>,
    /// The zones that the tasks may run in; `None` for all.
    pub(super) zones: Option<Vec<ZoneIx>>,
    /// Whether all tasks of the job have to run in the same zone.
    pub(super) one_zone: bool,
    /// The number of tasks for which no room has been found yet.
    pub(super) unplaced_tasks: u32,
}

impl Demand {
    /// Creates a demand for this many tasks of the job in these zones. `None` stands for all
    /// zones.
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

    /// Whether room has been found for all tasks.
    pub fn is_met(&self) -> bool {
        self.unplaced_tasks == 0
    }

    /// Whether machines are ruled out for this job in particular, beyond those that its shape
    /// rules out.
    pub fn has_job_specific_limits(&self) -> bool {
        self.zones.is_some() || !self.failed_on.is_empty()
    }

    /// Takes room that is free or being freed, without stopping more tasks.
    pub fn take_free_room(&mut self, candidates: &mut [Candidate]) {
        for candidate in candidates {
            while !self.is_met() && candidate.free.fits(self.shape.resources) && self.allows(candidate) {
                self.place_on(candidate);
            }
        }
    }

    /// Chooses victims until all tasks have room, on machines that have the image cached
    /// first. Their attempts are added to `stops`. No task is served once `stops` has
    /// `max_stops` entries; the last task served may exceed this by a few.
    pub fn take_victims(&mut self, candidates: &mut [Candidate], max_stops: usize, stops: &mut Vec<AttemptIx>) {
        for image_state in [ImageState::Cached, ImageState::Missing] {
            for candidate in &mut *candidates {
                if self.is_met() || stops.len() >= max_stops {
                    return;
                }
                if self.image_state(candidate) == image_state {
                    self.take_victims_on(candidate, max_stops, stops);
                }
            }
        }
    }

    /// Chooses victims on one machine for as many tasks as it can make room for.
    fn take_victims_on(&mut self, candidate: &mut Candidate, max_stops: usize, stops: &mut Vec<AttemptIx>) {
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

    /// Whether the tasks may run on the candidate, whether or not it has room.
    fn allows(&self, candidate: &Candidate) -> bool {
        self.shape.allows(candidate.offer)
            && self
                .zones
                .as_ref()
                .is_none_or(|zones| zones.contains(&candidate.offer.zone))
            && !self.failed_on.contains(&candidate.machine)
    }

    /// Returns the state of the job's image on the candidate.
    fn image_state(&self, candidate: &Candidate) -> ImageState {
        if candidate.images.contains(&self.image) {
            ImageState::Cached
        } else {
            ImageState::Missing
        }
    }

    /// Takes the room of one task from the candidate's free room, which must suffice.
    fn place_on(&mut self, candidate: &mut Candidate) {
        candidate.free.subtract(self.shape.resources);
        self.unplaced_tasks -= 1;
        if self.one_zone {
            self.zones = Some(vec![candidate.offer.zone]);
        }
    }
}
