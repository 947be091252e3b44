//! How a simulated cluster is set up, and how its controllers start.

use super::*;

const SETTINGS: &str = include_str!("../../support/settings.toml");

impl World {
    pub fn new(seed: u64, nodes: usize, jobs: usize, faults: Vec<(u64, Fault)>) -> World {
        let mut rng = StdRng::seed_from_u64(seed);
        let nodes = (0..nodes).map(|index| Node::new(index, &mut rng)).collect();
        let mut world = World::empty(rng, nodes);
        let ends = faults.iter().map(|(at, fault)| at + fault.lasts());
        world.faults_end_at = ends.max().unwrap_or(0);
        for index in 0..jobs {
            let job = world.draw_job(index);
            world.at(job.submit_at, ScheduledEvent::User(index));
            world.jobs.push(job);
        }
        for node in 0..world.nodes.len() {
            let at = world.rng.random_range(0..200);
            world.at(at, ScheduledEvent::Restart(node));
        }
        for (at, fault) in faults {
            world.at(at, ScheduledEvent::Fault(fault));
        }
        world.at(100, ScheduledEvent::ClusterStep);
        world
    }

    /// Room for some thousand machines, and teams that may use them.
    pub fn with_large_capacity(seed: u64, nodes: usize, faults: Vec<(u64, Fault)>) -> World {
        World::with_machine_capacity(seed, nodes, 1_000, faults)
    }

    /// Room for so many machines of each zone and kind, of which there are four.
    pub fn with_machine_capacity(seed: u64, nodes: usize, capacity: usize, faults: Vec<(u64, Fault)>) -> World {
        let mut world = World::new(seed, nodes, 0, faults);
        world.capacity = capacity;
        world.team_cpus = 20.0 * capacity as f64;
        world
    }

    fn empty(rng: StdRng, nodes: Vec<Node>) -> World {
        World {
            now: 0,
            rng,
            order: 0,
            heap: BinaryHeap::new(),
            scheduled_events: BTreeMap::new(),
            nodes,
            store: Store::default(),
            ongoing: OngoingFaults::default(),
            mistaken: BTreeSet::new(),
            watches: Vec::new(),
            workers: BTreeMap::new(),
            rented: BTreeMap::new(),
            next_machine: 0,
            jobs: Vec::new(),
            requests: BTreeMap::new(),
            next_request: 0,
            next_report: 0,
            most_heard_since: None,
            task_machines: BTreeMap::new(),
            done_tasks: BTreeSet::new(),
            violations: Vec::new(),
            starts: 0,
            lost_tasks: 0,
            failures: 0,
            starts_after_cancel: 0,
            longest_run_after_cancel_ms: 0,
            sent: Sent::default(),
            capacity: 4,
            run_time_factor: 1,
            team_cpus: TEAM_CPUS,
            faults_end_at: 0,
        }
    }

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
        self.at(self.now, ScheduledEvent::Tick(node));
    }
}

impl Node {
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
            refused_until: 0,
            reads_lost_until: 0,
            frozen_until: 0,
            last_inputs: 0,
            healthy: false,
        }
    }
}
