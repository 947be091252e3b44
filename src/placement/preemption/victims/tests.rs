use super::super::candidates::Victim;
use super::*;
use crate::ids::{ImageIx, MachineIx, TypeIx, ZoneIx};
use crate::placement::image_state::ImageState;
use crate::resources::{Offer, Resources, Shape};
use proptest::prelude::*;

const IMAGE: ImageIx = ImageIx(7);

fn resources(cpus: u32) -> Resources {
    Resources {
        cpus: f64::from(cpus),
        gpus: 0.0,
        memory_gb: 0.0,
    }
}

fn priority() -> impl Strategy<Value = Priority> {
    prop_oneof![Just(Priority::Low), Just(Priority::Standard), Just(Priority::High)]
}

fn image_state() -> impl Strategy<Value = ImageState> {
    prop_oneof![Just(ImageState::Missing), Just(ImageState::Cached)]
}

/// Creates a machine with this number of free CPUs. A victim is given by its CPUs, its
/// priority and its loss in CPU seconds.
fn machine(free: u32, image: ImageState, victims: &[(u32, Priority, u32)]) -> Candidate {
    let victim = |&(cpus, priority, loss): &(u32, Priority, u32)| Victim {
        attempt: AttemptIx(0),
        priority,
        resources: resources(cpus),
        loss: f64::from(loss),
    };
    Candidate {
        machine: MachineIx(0),
        offer: Offer {
            type_ix: TypeIx(0),
            zone: ZoneIx(0),
            spot: true,
        },
        images: if image == ImageState::Cached {
            vec![IMAGE]
        } else {
            Vec::new()
        },
        free: resources(free),
        victims: victims.iter().map(victim).collect(),
    }
}

fn candidate() -> impl Strategy<Value = Candidate> {
    let victim = (1u32..9, priority(), 0u32..40);
    (0u32..9, image_state(), proptest::collection::vec(victim, 0..6))
        .prop_map(|(free, image, victims)| machine(free, image, &victims))
}

fn candidates() -> impl Strategy<Value = Vec<Candidate>> {
    proptest::collection::vec(candidate(), 1..12).prop_map(|mut candidates| {
        let mut attempt = 0;
        for (machine, candidate) in candidates.iter_mut().enumerate() {
            candidate.machine = MachineIx(machine as u32);
            candidate.sort_victims();
            for victim in &mut candidate.victims {
                victim.attempt = AttemptIx(attempt);
                attempt += 1;
            }
        }
        candidates
    })
}

fn demand(cpus: u32, tasks: u32) -> Demand {
    Demand {
        shape: Shape {
            resources: resources(cpus),
            spot: true,
            ..Shape::default()
        },
        priority: Priority::High,
        image: IMAGE,
        failed_on: Vec::new(),
        zones: None,
        one_zone: false,
        unplaced_tasks: tasks,
    }
}

/// Returns how many of the candidate's victims, counted from the first, have to be stopped for
/// one more task to fit.
fn victims_needed(candidate: &Candidate, cpus: u32) -> Option<usize> {
    let is_lower = |victim: &&Victim| victim.priority < Priority::High;
    let lower_count = candidate.victims.iter().filter(is_lower).count();
    (0..=lower_count).find(|&count| {
        let mut free = candidate.free;
        for victim in &candidate.victims[..count] {
            free.add(victim.resources);
        }
        free.fits(resources(cpus))
    })
}

/// Reference implementation of [`choose_victims`] that serves one task at a time and repeats
/// the search for each of them. `wanted` holds the CPUs of a task and the number of tasks for
/// each demand.
fn choose_task_by_task(mut candidates: Vec<Candidate>, wanted: &[(u32, u32)]) -> Vec<AttemptIx> {
    let mut stops = Vec::new();
    let mut unplaced = Vec::new();
    for &(cpus, count) in wanted {
        for _ in 0..count {
            match candidates
                .iter_mut()
                .find(|candidate| candidate.free.fits(resources(cpus)))
            {
                Some(candidate) => candidate.free.subtract(resources(cpus)),
                None => unplaced.push(cpus),
            }
        }
    }
    for cpus in unplaced {
        let needed = |candidate: &Candidate| victims_needed(candidate, cpus);
        let holders = candidates
            .iter()
            .position(|c| c.images.contains(&IMAGE) && needed(c).is_some());
        let others = || candidates.iter().position(|c| needed(c).is_some());
        let Some(index) = holders.or_else(others) else {
            continue;
        };
        let count = needed(&candidates[index]).unwrap_or(0);
        let candidate = &mut candidates[index];
        for victim in candidate.victims.drain(..count) {
            candidate.free.add(victim.resources);
            stops.push(victim.attempt);
        }
        candidate.free.subtract(resources(cpus));
    }
    stops
}

proptest! {
    /// Guards against shortcuts of the choice that change its result, and against stopping
    /// tasks of the same or a higher priority.
    #[test]
    fn victims_match_the_reference_choice_and_have_lower_priority(
        candidates in candidates(),
        wanted in proptest::collection::vec((1u32..12, 0u32..8), 1..6)
    ) {
        let demands = wanted.iter().map(|&(cpus, count)| demand(cpus, count)).collect();
        let chosen = choose_victims(candidates.clone(), demands, usize::MAX);
        prop_assert_eq!(&chosen, &choose_task_by_task(candidates.clone(), &wanted));
        let victims: Vec<&Victim> = candidates.iter().flat_map(|candidate| &candidate.victims).collect();
        for attempt in chosen {
            let victim = victims.iter().find(|victim| victim.attempt == attempt).expect("known victim");
            prop_assert!(victim.priority < Priority::High);
        }
    }
}

/// Guards against stopping tasks twice for one shortage: room that is free or being freed is
/// counted before more tasks are stopped.
#[test]
fn no_task_is_stopped_if_room_is_free_or_being_freed() {
    let task = (8, Priority::Low, 1);
    let machines = || {
        vec![
            machine(0, ImageState::Cached, &[task, task]),
            machine(8, ImageState::Cached, &[task]),
        ]
    };
    assert_eq!(
        choose_victims(machines(), vec![demand(8, 1)], 10),
        Vec::<AttemptIx>::new()
    );
    assert_eq!(choose_victims(machines(), vec![demand(8, 2)], 10).len(), 1);
    assert_eq!(
        choose_victims(machines(), vec![demand(8, 9)], 2).len(),
        2,
        "no more than `max_stops`"
    );
}
