//! The demand of classes of jobs, and the capacity it calls for.

use crate::Millis;
use crate::resources::Shape;
use std::collections::VecDeque;

/// A number of like tasks to have machines ready for.
#[derive(Debug)]
pub(crate) struct CapacityNeed {
    /// What each task takes, and where it may run.
    pub shape: Shape,
    /// How many tasks.
    pub count: u32,
    /// Of these, the ones that are there now: worth an on-demand machine where
    /// spot machines are not to be had.
    pub on_demand_count: u32,
    /// Runs in what the others leave.
    pub best_effort: bool,
}

/// How many tasks ask for machines. They are means over time, and so not whole.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct TaskDemand {
    /// Wanted at once.
    pub tasks: f64,
    /// Of these, what new on-demand machines would still be there for in time.
    pub on_demand: f64,
    /// The same for spot machines, which need less of a reason.
    pub spot: f64,
}

impl TaskDemand {
    /// Adds the demand of others.
    pub fn add(&mut self, other: TaskDemand) {
        self.tasks += other.tasks;
        self.on_demand += other.on_demand;
        self.spot += other.spot;
    }

    /// The part that a limit on the number of tasks leaves.
    pub fn at_most(self, most_tasks: f64) -> TaskDemand {
        TaskDemand {
            tasks: self.tasks.min(most_tasks),
            on_demand: self.on_demand.min(most_tasks),
            spot: self.spot.min(most_tasks),
        }
    }
}

/// How many tasks of a class were wanted at one time.
#[derive(Clone, Copy, Debug)]
pub(crate) struct DemandSample {
    /// When.
    pub at: Millis,
    /// How many.
    pub tasks: f64,
}

/// What the jobs of one class ask of machines, and how many at once.
#[derive(Clone, Debug, Default)]
pub(crate) struct ClassDemand {
    /// What a task takes, and where it may run.
    pub shape: Shape,
    /// Runs in what the others leave, and buys no on-demand machines.
    pub best_effort: bool,
    /// What is wanted now.
    pub current: TaskDemand,
    /// What was wanted over the forecast period, the oldest first.
    pub samples: VecDeque<DemandSample>,
}

impl ClassDemand {
    /// A class of which nothing is wanted yet.
    pub fn new(shape: Shape, best_effort: bool) -> ClassDemand {
        ClassDemand {
            shape,
            best_effort,
            ..ClassDemand::default()
        }
    }

    /// Notes what is wanted now, and drops what is older than the forecast period.
    pub fn add_sample(&mut self, now: Millis, period: Millis) {
        self.samples.push_back(DemandSample {
            at: now,
            tasks: self.current.tasks,
        });
        while self.samples.front().is_some_and(|sample| sample.at + period < now) {
            self.samples.pop_front();
        }
    }

    /// Whether any of its tasks was wanted during the forecast period.
    pub fn had_tasks(&self) -> bool {
        self.samples.iter().any(|sample| sample.tasks > 0.0)
    }

    /// How many tasks to be ready for. With fewer samples than `fewest_samples` the mean
    /// is not trusted in full.
    pub fn target(&self, headroom: f64, fewest_samples: f64) -> u32 {
        let count = (self.samples.len() as f64).max(fewest_samples);
        let mean = self.samples.iter().map(|sample| sample.tasks).sum::<f64>() / count;
        let expected = mean * (1.0 + headroom);
        expected.max(self.current.on_demand).max(self.current.spot).ceil() as u32
    }
}
