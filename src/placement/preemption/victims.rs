//! Which tasks to stop where: the choice itself, on a copy of what it needs.

use super::candidates::Candidate;
use super::demand::Demand;
use crate::ids::AttemptIx;
use crate::placement::unplaceable_shapes::UnplaceableShapes;
use crate::wire::Priority;
use std::collections::BTreeMap;

/// The attempts to stop for these demands, which come in order of placement. No
/// more are begun once there are `max_stops`.
pub fn choose_victims(mut candidates: Vec<Candidate>, mut demands: Vec<Demand>, max_stops: usize) -> Vec<AttemptIx> {
    take_free_room(&mut candidates, &mut demands);
    let mut stops = Vec::new();
    // For each priority: what finds nobody to stop.
    let mut without_victims: BTreeMap<Priority, UnplaceableShapes> = BTreeMap::new();
    for demand in &mut demands {
        if stops.len() >= max_stops {
            break;
        }
        let without_victims = without_victims.entry(demand.priority).or_default();
        if demand.is_met() || without_victims.contains(&demand.shape) {
            continue;
        }
        demand.take_victims(&mut candidates, max_stops, &mut stops);
        if !demand.is_met() && !demand.is_particular() {
            without_victims.insert(&demand.shape);
        }
    }
    stops
}

/// Counts on the room that is free or being freed, for one demand after the other.
fn take_free_room(candidates: &mut [Candidate], demands: &mut [Demand]) {
    let mut unplaceable = UnplaceableShapes::default();
    for demand in demands {
        if unplaceable.contains(&demand.shape) {
            continue;
        }
        demand.take_free_room(candidates);
        if !demand.is_met() && !demand.is_particular() {
            unplaceable.insert(&demand.shape);
        }
    }
}

#[cfg(test)]
mod tests;
