//! The setup of a simulated cluster, and the start of its controllers.

use super::*;

/// The settings of every controller, before its name, its peers and the teams' CPU limit are filled
/// in.
const SETTINGS: &str = include_str!("../../support/settings.toml");

impl World {
    /// Returns a cluster with `nodes` controllers, `jobs` random jobs and the given faults, each
    /// with the time at which it is injected.
    pub fn new(seed: u64, nodes: usize, jobs: usize, faults: Vec<(u64, Fault)>) -> World {
        let mut rng = StdRng::seed_from_u64(seed);
        let nodes = (0..nodes).map(|index| Node::new(index, &mut rng)).collect();
        let mut world = World::empty(rng, nodes);
        let ends = faults.iter().map(|(at, fault)| at + fault.duration_ms());
        world.faults_end_at = ends.max().unwrap_or(0);
        for index in 0..jobs {
            let job = world.draw_job(index);
            world.schedule(job.submit_at, ScheduledEvent::UserTurn(index));
            world.jobs.push(job);
        }
        for node in 0..world.nodes.len() {
            let at = world.rng.random_range(0..200);
            world.schedule(at, ScheduledEvent::Restart(node));
        }
        for (at, fault) in faults {
            world.schedule(at, ScheduledEvent::Fault(fault));
        }
        world.schedule(100, ScheduledEvent::ClusterStep);
        world
    }

    /// Returns a cluster without jobs in which the cloud has 4,000 machines and the teams' limits
    /// allow using them.
    pub fn with_large_capacity(seed: u64, nodes: usize, faults: Vec<(u64, Fault)>) -> World {
        World::with_machine_capacity(seed, nodes, 1_000, faults)
    }

    /// Returns a cluster without jobs in which the cloud has `capacity` machines of each of the
    /// four combinations of zone and spot or on-demand, and the teams' limits allow using them.
    pub fn with_machine_capacity(seed: u64, nodes: usize, capacity: usize, faults: Vec<(u64, Fault)>) -> World {
        let mut world = World::new(seed, nodes, 0, faults);
        world.capacity = capacity;
        world.team_cpus = 20.0 * capacity as f64;
        world
    }

    /// Returns a cluster in which nothing is scheduled.
    fn empty(rng: StdRng, nodes: Vec<Node>) -> World {
        World {
            now: 0,
            rng,
            last_sequence: 0,
            event_queue: BinaryHeap::new(),
            scheduled_events: BTreeMap::new(),
            nodes,
            store: Store::default(),
            ongoing_faults: OngoingFaults::default(),
            always_failing_jobs: BTreeSet::new(),
            watches: Vec::new(),
            workers: BTreeMap::new(),
            machines_by_request: BTreeMap::new(),
            next_machine: 0,
            jobs: Vec::new(),
            pending_requests: BTreeMap::new(),
            last_request: 0,
            last_report: 0,
            most_answered_since: None,
            task_machines: BTreeMap::new(),
            done_tasks: BTreeSet::new(),
            violations: Vec::new(),
            starts: 0,
            lost_tasks: 0,
            always_failing_starts: 0,
            starts_after_cancel: 0,
            longest_run_after_cancel_ms: 0,
            sent: SentCounts::default(),
            capacity: 4,
            run_time_factor: 1,
            team_cpus: TEAM_CPUS,
            faults_end_at: 0,
        }
    }

    /// Starts a controller with a random incarnation number.
    pub(super) fn restart(&mut self, node: usize) {
        let incarnation = self.rng.random::<u32>() as u64 + 1;
        let name = self.nodes[node].name.clone();
        let peers: String = (0..self.nodes.len())
            .filter(|&other| other != node)
            .map(|other| format!("[[seeds]]\nnode = \"n{other}\"\nlocation = \"north\"\naddress = \"127.0.0.1:9\"\n"))
            .collect();
        let limit = format!("cpus_max = {:.1}", self.team_cpus);
        let text = SETTINGS.replace("node = \"n0\"", &format!("node = \"{name}\"")) + &peers;
        let text = text.replace("cpus_max = 24.0", &limit);
        let settings = Settings::parse(&text).expect("valid settings");
        self.nodes[node].incarnation = incarnation;
        self.nodes[node].controller = Some(Controller::new(settings, Policy::default(), incarnation));
        self.schedule(self.now, ScheduledEvent::Tick(node));
    }
}

impl Node {
    /// Returns a controller that is not running yet, with a random clock.
    fn new(index: usize, rng: &mut StdRng) -> Node {
        Node {
            controller: None,
            incarnation: 0,
            name: format!("n{index}"),
            clock_offset: rng.random_range(0..5_000_000),
            clock_rate: rng.random_range(0.9995..1.0005),
            store_cut_until: 0,
            peer_cut_until: 0,
            worker_cut_until: 0,
            store_refuses_until: 0,
            store_reads_lost_until: 0,
            store_replies_slow_until: 0,
            store_reply_delay_ms: 0,
            frozen_until: 0,
            inputs_before_freeze: 0,
            takes_inputs_first: false,
            healthy: false,
        }
    }
}
