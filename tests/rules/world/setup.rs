//! How a simulated cluster is set up, and how its controllers start.

use super::*;

const SETTINGS: &str = include_str!("../../support/settings.toml");

impl World {
    pub fn new(seed: u64, nodes: usize, jobs: usize, troubles: Vec<(u64, Trouble)>) -> World {
        let mut rng = StdRng::seed_from_u64(seed);
        let nodes = (0..nodes).map(|index| Node::new(index, &mut rng)).collect();
        let mut world = World::empty(rng, nodes);
        let ends = troubles.iter().map(|(at, trouble)| at + trouble.lasts());
        world.calm_at = ends.max().unwrap_or(0);
        for index in 0..jobs {
            let job = world.draw_job(index);
            world.at(job.submit_at, Happening::User(index));
            world.jobs.push(job);
        }
        for node in 0..world.nodes.len() {
            let at = world.rng.random_range(0..200);
            world.at(at, Happening::Restart(node));
        }
        for (at, trouble) in troubles {
            world.at(at, Happening::Trouble(trouble));
        }
        world.at(100, Happening::World);
        world
    }

    /// Room for some thousand machines, and teams that may use them.
    pub fn at_size(seed: u64, nodes: usize, troubles: Vec<(u64, Trouble)>) -> World {
        World::of_size(seed, nodes, 1_000, troubles)
    }

    /// Room for so many machines of each zone and kind, of which there are four.
    pub fn of_size(seed: u64, nodes: usize, capacity: usize, troubles: Vec<(u64, Trouble)>) -> World {
        let mut world = World::new(seed, nodes, 0, troubles);
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
            happenings: BTreeMap::new(),
            nodes,
            store: Store::default(),
            store_out: 0,
            store_slow: 0,
            cloud_out: 0,
            peers_refuse: 0,
            copies: 0,
            late_writes: 0,
            held_commands: 0,
            cancel_at_end: 0,
            odd_requests: 0,
            south_alone: 0,
            late_boots: 0,
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
            on: BTreeMap::new(),
            done_tasks: BTreeSet::new(),
            broken: Vec::new(),
            starts: 0,
            lost_tasks: 0,
            failures: 0,
            starts_after_cancel: 0,
            longest_cancelled: 0,
            sent: Sent::default(),
            capacity: 4,
            run_times: 1,
            team_cpus: TEAM_CPUS,
            calm_at: 0,
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
        self.at(self.now, Happening::Tick(node));
    }
}

impl Node {
    fn new(index: usize, rng: &mut StdRng) -> Node {
        Node {
            controller: None,
            incarnation: 0,
            name: format!("n{index}"),
            offset: rng.random_range(0..5_000_000),
            rate: rng.random_range(0.9995..1.0005),
            store_cut: 0,
            peer_cut: 0,
            worker_cut: 0,
            refused: 0,
            reads_lost: 0,
            frozen_until: 0,
            last_inputs: 0,
            healthy: false,
        }
    }
}
