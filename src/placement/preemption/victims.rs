//! Chooses the tasks to stop. Works on copies of the cluster's state (the candidates and the
//! demands) and does not change the cluster.

use super::candidates::Candidate;
use super::demand::Demand;
use crate::ids::AttemptIx;
use crate::placement::unplaceable_shapes::UnplaceableShapes;
use crate::wire::Priority;
use std::collections::BTreeMap;

/// Returns the attempts to stop for these demands, which are in the order of placement. No
/// further task is served once `max_stops` attempts have been chosen.
pub fn choose_victims(mut candidates: Vec<Candidate>, mut demands: Vec<Demand>, max_stops: usize) -> Vec<AttemptIx> {
    take_free_room(&mut candidates, &mut demands);
    let mut stops = Vec::new();
    // For each priority, the shapes for which no victims were found.
    let mut shapes_without_victims: BTreeMap<Priority, UnplaceableShapes> = BTreeMap::new();
    for demand in &mut demands {
        if stops.len() >= max_stops {
            break;
        }
        let shapes_without_victims = shapes_without_victims.entry(demand.priority).or_default();
        if demand.is_met() || shapes_without_victims.contains(&demand.shape) {
            continue;
        }
        demand.take_victims(&mut candidates, max_stops, &mut stops);
        if !demand.is_met() && !demand.has_job_specific_limits() {
            shapes_without_victims.insert(&demand.shape);
        }
    }
    stops
}

/// Gives the room that is free or being freed to the demands, in their order.
fn take_free_room(candidates: &mut [Candidate], demands: &mut [Demand]) {
    let mut unplaceable = UnplaceableShapes::default();
    for demand in demands {
        if unplaceable.contains(&demand.shape) {
            continue;
        }
        demand.take_free_room(candidates);
        if !demand.is_met() && !demand.has_job_specific_limits() {
            unplaceable.insert(&demand.shape);
        }
    }
}

#[cfg(test)]
mod tests;
