use super::*;
use crate::controller::shard_with;
use crate::ids::JobIx;
use proptest::prelude::*;

fn shard(machines: &[(bool, bool, f64, Option<u32>)]) -> (Shard, JobIx) {
    let mut shard = shard_with(1, &[("small", 8.0), ("large", 16.0)], 40, true);
    let job = shard.jobs.table.find("j-1").expect("known");
    let image = shard.jobs.table.get(job).expect("there").image;
    for (number, &(large, spot, used, holds)) in machines.iter().enumerate() {
        let type_name = if large { "large" } else { "small" };
        let ix = shard.add_machine(0, &format!("host-{number}"), type_name, "north", spot);
        let machine = shard.workers.machines.get_mut(ix).expect("there");
        machine.written = true;
        machine.heard_at = Some(0);
        machine.used.cpus = used;
        if let Some(other) = holds {
            machine.touch(ImageIx(image.0 + other), 1.0, 50.0);
        }
    }
    (shard, job)
}

/// Algorithm 1 as the plain scan of all machines states it.
fn plain_scan(shard: &Shard, job: &Job) -> Option<MachineIx> {
    let mut best: Option<((bool, bool, f64, f64), MachineIx)> = None;
    for (ix, machine) in shard.workers.machines.iter() {
        let info = shard.topology.type_info[machine.type_ix.usize()]
            .as_ref()
            .expect("known");
        let free = info.resources.minus(machine.used);
        if !machine.usable(0) || !job.shape.allows(machine.type_ix, machine.zone, machine.spot) {
            continue;
        }
        let score = (machine.holds(job.image), machine.spot, -info.resources.cpus, -free.cpus);
        if free.fits(job.shape.resources) && best.is_none_or(|(other, _)| score > other) {
            best = Some((score, ix));
        }
    }
    best.map(|(_, ix)| ix)
}

/// A machine that the job may use holds its image and has no room for its task.
fn holder_is_full(shard: &Shard, job: &Job) -> bool {
    shard.workers.machines.iter().any(|(_, machine)| {
        let info = shard.topology.type_info[machine.type_ix.usize()]
            .as_ref()
            .expect("known");
        let allowed = job.shape.allows(machine.type_ix, machine.zone, machine.spot);
        allowed && machine.holds(job.image) && !info.resources.minus(machine.used).fits(job.shape.resources)
    })
}

/// Guards against a job bound to a zone that waits there for a full machine of
/// another, because jobs bound to none found that all holders are full.
#[test]
fn full_holders_elsewhere_keep_no_job_of_a_zone_waiting() {
    let (mut shard, job_ix) = shard(&[(false, true, 8.0, Some(0))]);
    let empty = shard.add_machine(0, "host-south", "small", "south", true);
    let machine = shard.workers.machines.get_mut(empty).expect("there");
    machine.written = true;
    machine.heard_at = Some(0);
    let south = machine.zone;
    let job = shard.jobs.table.get(job_ix).expect("there");
    let mut view = MachineView::new(&shard, 0);
    let anywhere = view.room_for(&shard, job, &None);
    assert_eq!(anywhere, RoomFor::BesideFullHolder { place: 1 });
    assert_eq!(view.room_for(&shard, job, &Some(vec![south])), RoomFor::Elsewhere);
}

proptest! {
    /// One ranking serves all tasks that are placed one after the other.
    #[test]
    fn the_view_chooses_what_the_plain_scan_chooses(
        machines in proptest::collection::vec(
            (any::<bool>(), any::<bool>(), 0.0f64..16.0, proptest::option::of(0u32..2)), 1..30
        ),
        tasks in 1usize..40
    ) {
        let (mut shard, job_ix) = shard(&machines);
        let mut view = MachineView::new(&shard, 0);
        let mut ranking = view.rank(&shard, shard.jobs.table.get(job_ix).expect("there"), &None);
        for _ in 0..tasks {
            let job = shard.jobs.table.get(job_ix).expect("there");
            let expected = plain_scan(&shard, job);
            let (resources, image) = (job.shape.resources, job.image);
            let held = |best: &MachineIx| shard.workers.machines.get(*best).is_some_and(|machine| machine.holds(image));
            let room_for = match (expected, holder_is_full(&shard, job)) {
                (None, _) => RoomFor::Nowhere,
                (Some(best), _) if held(&best) => RoomFor::AtHolder,
                (Some(_), true) => RoomFor::BesideFullHolder {
                    place: view.slots.iter().position(|slot| slot.has_room(resources)).expect("resources"),
                },
                (Some(_), false) => RoomFor::Elsewhere,
            };
            // The second look may know more than the first.
            prop_assert_eq!(view.room_for(&shard, job, &None), room_for);
            prop_assert_eq!(view.room_for(&shard, job, &None), room_for);
            let found = view.best(&mut ranking, image);
            prop_assert_eq!(found.as_ref().map(|best| view.machine_at(best.place)), expected);
            prop_assert!(found.as_ref().is_none_or(|best| best.holder_full == holder_is_full(&shard, job)));
            let Some(Best { place, .. }) = found else {
                break;
            };
            view.note_image(place, image);
            let machine = shard.workers.machines.get_mut(view.take(place, resources)).expect("there");
            machine.used.add(resources);
            machine.touch(image, 1.0, 50.0);
        }
    }
}
