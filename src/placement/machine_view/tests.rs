use super::*;
use crate::ids::JobIx;
use crate::pipeline::Jobs;
use crate::resources::Offer;
use crate::settings::{Settings, tests::SAMPLE};
use crate::store::JobKey;
use crate::wire::{Catalogue, MachineType};
use crate::workers::Machine;
use proptest::prelude::*;
use serde_json::json;

/// A cluster with machines of two types and one job of 40 tasks.
struct Fixture {
    topology: Topology,
    workers: Workers,
    jobs: Jobs,
    job: JobIx,
}

/// Whether the machine is large, whether it is a spot machine, its CPUs in use, and the image
/// it has cached as an offset from the job's image.
type MachineSetup = (bool, bool, f64, Option<u32>);

impl Fixture {
    fn new(machines: &[MachineSetup]) -> Fixture {
        let settings = Settings::parse(SAMPLE).expect("valid settings");
        let mut topology = Topology::new(&settings.params.zones);
        let types = [("small", 8.0), ("large", 16.0)].map(|(name, cpus)| machine_type(name, cpus));
        topology.set_catalogue(&Catalogue { types: types.into() });
        let mut jobs = Jobs::new(&settings.params);
        let job = add_job(&mut jobs, &mut topology);
        let mut fixture = Fixture {
            topology,
            workers: Workers::new(&settings),
            jobs,
            job,
        };
        for (number, machine) in machines.iter().enumerate() {
            fixture.add_machine(number, machine);
        }
        fixture
    }

    fn add_machine(&mut self, number: usize, &(large, spot, used, image): &MachineSetup) {
        let type_name = if large { "large" } else { "small" };
        let ix = self.add_empty_machine(&format!("host-{number}"), type_name, "north", spot);
        let job_image = self.job().image;
        let machine = self.workers.machines.get_mut(ix).expect("known machine");
        machine.used.cpus = used;
        if let Some(other) = image {
            machine.touch_image(ImageIx(job_image.0 + other), 1.0, 50.0);
        }
    }

    fn add_empty_machine(&mut self, name: &str, type_name: &str, zone: &str, spot: bool) -> MachineIx {
        let type_ix = self.topology.type_ix(type_name);
        let zone = self.topology.zones.intern(zone);
        let mut machine = Machine::new(name, Offer { type_ix, zone, spot }, 0);
        machine.is_persisted = true;
        machine.last_report_at = Some(0);
        self.workers.machines.insert(name, machine)
    }

    fn job(&self) -> &Job {
        self.jobs.table.get(self.job).expect("known job")
    }

    fn view(&self) -> MachineView {
        MachineView::new(&self.workers, &self.topology, 0)
    }
}

fn machine_type(name: &str, cpus: f64) -> MachineType {
    MachineType {
        name: name.into(),
        cpus,
        gpus: 0.0,
        memory_gb: cpus * 4.0,
        cache_gb: 50.0,
        fetch_gb_per_s: 1.0,
        price: 1.0,
        spot_price: Some(0.5),
        boot_s: 5.0,
        zones: vec!["north".into()],
    }
}

fn add_job(jobs: &mut Jobs, topology: &mut Topology) -> JobIx {
    let spec = json!({"id":"j-1","lotType":"sort","consignor":"floor",
        "saleFormat":"array","bidRank":"high","lots":40,"cores":4.0,"cards":0.0,"memGb":8.0,"catalog":"img",
        "pullGb":1.0,"oneZone":false,"scatter":false,"loaner":true,"appraisedS":5.0,"tallyS":0.0,"ledgerS":0.0});
    let key = JobKey {
        spec: serde_json::from_value(spec).expect("valid job"),
        accepted_ms: 0,
        ended: None,
    };
    jobs.add("j-1", &key, 1, topology).expect("known team")
}

/// Reference implementation of Pheromone's Algorithm 1: scans all machines for each task.
fn scan_all_machines(fixture: &Fixture) -> Option<MachineIx> {
    let job = fixture.job();
    let mut best: Option<((bool, bool, f64, f64), MachineIx)> = None;
    for (ix, machine) in fixture.workers.machines.iter() {
        let info = fixture.topology.type_info[machine.type_ix.usize()]
            .as_ref()
            .expect("known machine type");
        let free = info.resources.saturating_sub(machine.used);
        if !machine.usable(0) || !job.shape.allows(machine.offer()) {
            continue;
        }
        let score = (
            machine.holds_image(job.image),
            machine.spot,
            -info.resources.cpus,
            -free.cpus,
        );
        if free.fits(job.shape.resources) && best.is_none_or(|(other, _)| score > other) {
            best = Some((score, ix));
        }
    }
    best.map(|(_, ix)| ix)
}

/// Whether a machine that the job may use has its image cached but no room for its tasks.
fn cache_holder_is_full(fixture: &Fixture) -> bool {
    let job = fixture.job();
    fixture.workers.machines.iter().any(|(_, machine)| {
        let info = fixture.topology.type_info[machine.type_ix.usize()]
            .as_ref()
            .expect("known machine type");
        let allowed = job.shape.allows(machine.offer());
        allowed
            && machine.holds_image(job.image)
            && !info.resources.saturating_sub(machine.used).fits(job.shape.resources)
    })
}

/// Guards against a job restricted to one zone that waits for a full cache holder in another
/// zone, because the view recorded for unrestricted jobs that all cache holders are full.
#[test]
fn full_cache_holders_in_other_zones_do_not_delay_a_zone_restricted_job() {
    let mut fixture = Fixture::new(&[(false, true, 8.0, Some(0))]);
    fixture.add_empty_machine("host-south", "small", "south", true);
    let south = fixture.topology.zones.intern("south");
    let mut view = fixture.view();
    let (workers, job) = (&fixture.workers, fixture.job());
    let anywhere = view.room_for(workers, job, &None);
    assert_eq!(anywhere, RoomForTask::CacheHoldersFull { first_slot: 1 });
    let in_the_south = view.room_for(workers, job, &Some(vec![south]));
    assert_eq!(in_the_south, RoomForTask::WithoutImage);
}

proptest! {
    /// One ranking is valid for all tasks that are placed consecutively. Guards against a
    /// stale ranking that chooses another machine than a new scan would.
    #[test]
    fn one_ranking_chooses_the_same_machines_as_a_scan_for_each_task(
        machines in proptest::collection::vec(
            (any::<bool>(), any::<bool>(), 0.0f64..16.0, proptest::option::of(0u32..2)), 1..30
        ),
        tasks in 1usize..40
    ) {
        let mut fixture = Fixture::new(&machines);
        let mut view = fixture.view();
        let mut ranking = view.rank(&fixture.workers, fixture.job(), &None);
        for _ in 0..tasks {
            let (workers, job) = (&fixture.workers, fixture.job());
            let expected = scan_all_machines(&fixture);
            let (resources, image) = (job.shape.resources, job.image);
            let has_image = |best: &MachineIx| workers.machines.get(*best).is_some_and(|machine| machine.holds_image(image));
            let room = match (expected, cache_holder_is_full(&fixture)) {
                (None, _) => RoomForTask::Nowhere,
                (Some(best), _) if has_image(&best) => RoomForTask::WithImageCached,
                (Some(_), true) => RoomForTask::CacheHoldersFull {
                    first_slot: view.slots.iter().position(|slot| slot.has_room(resources)).expect("a slot with room"),
                },
                (Some(_), false) => RoomForTask::WithoutImage,
            };
            // The second call may use what the first one recorded.
            prop_assert_eq!(view.room_for(workers, job, &None), room);
            prop_assert_eq!(view.room_for(workers, job, &None), room);
            let found = view.best(&mut ranking, image);
            prop_assert_eq!(found.as_ref().map(|best| view.machine_at(best.slot)), expected);
            prop_assert!(
                found.as_ref().is_none_or(|best| best.cache_holder_full == cache_holder_is_full(&fixture))
            );
            let Some(BestSlot { slot, .. }) = found else {
                break;
            };
            view.assign(slot, resources, image);
            let machine = fixture.workers.machines.get_mut(view.machine_at(slot)).expect("known machine");
            machine.used.add(resources);
            machine.touch_image(image, 1.0, 50.0);
        }
    }
}
