//! The demand of each class of jobs and the capacity that it requires.

use crate::Millis;
use crate::resources::Shape;
use std::collections::VecDeque;

/// A number of tasks of the same shape to have capacity for.
#[derive(Debug)]
pub(crate) struct CapacityNeed {
    /// The resources of each task and the machines that it may run on.
    pub shape: Shape,
    /// The number of tasks, including headroom.
    pub count: u32,
    /// How many of them are current demand that justifies buying on-demand machines. For the
    /// others, only spot machines are bought unless the tasks can't run on these.
    pub on_demand_count: u32,
    /// Whether the tasks only use capacity that other classes leave.
    pub best_effort: bool,
}

/// The number of tasks that need machines. The counts are averages over time and so may be
/// fractional.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct TaskDemand {
    /// Tasks that wait or run now.
    pub tasks: f64,
    /// How many of them justify buying on-demand machines. Short tasks count for less, since
    /// they are over by the time a new machine is up.
    pub on_demand: f64,
    /// How many of them justify buying spot machines, for which shorter tasks suffice.
    pub spot: f64,
}

impl TaskDemand {
    /// Adds each count of `other`.
    pub fn add(&mut self, other: TaskDemand) {
        self.tasks += other.tasks;
        self.on_demand += other.on_demand;
        self.spot += other.spot;
    }

    /// Returns the demand with each count limited to `max_tasks`.
    pub fn capped(self, max_tasks: f64) -> TaskDemand {
        TaskDemand {
            tasks: self.tasks.min(max_tasks),
            on_demand: self.on_demand.min(max_tasks),
            spot: self.spot.min(max_tasks),
        }
    }
}

/// The demand of a class at one point in time.
#[derive(Clone, Copy, Debug)]
pub(crate) struct DemandSample {
    /// When the sample was taken, in milliseconds of the monotonic clock.
    pub at: Millis,
    /// The number of tasks that were waiting or running.
    pub tasks: f64,
}

/// The demand of the jobs of one class: the shape of their tasks and how many there are.
#[derive(Clone, Debug, Default)]
pub(crate) struct ClassDemand {
    /// The resources of each task and the machines that it may run on.
    pub shape: Shape,
    /// Whether the tasks only use capacity that other classes leave. No on-demand machines
    /// are bought for them unless they can't run on spot machines.
    pub best_effort: bool,
    /// The current demand.
    pub current: TaskDemand,
    /// Samples of the forecast period, oldest first.
    pub samples: VecDeque<DemandSample>,
}

impl ClassDemand {
    /// Creates a class without demand.
    pub fn new(shape: Shape, best_effort: bool) -> ClassDemand {
        ClassDemand {
            shape,
            best_effort,
            ..ClassDemand::default()
        }
    }

    /// Records the current demand and drops samples that are older than `period` milliseconds.
    pub fn add_sample(&mut self, now: Millis, period: Millis) {
        self.samples.push_back(DemandSample {
            at: now,
            tasks: self.current.tasks,
        });
        while self.samples.front().is_some_and(|sample| sample.at + period < now) {
            self.samples.pop_front();
        }
    }

    /// Whether the class had any demand during the forecast period.
    pub fn had_tasks(&self) -> bool {
        self.samples.iter().any(|sample| sample.tasks > 0.0)
    }

    /// Returns the number of tasks to have capacity for: the current demand that justifies
    /// buying machines, or the mean of the samples plus `headroom` as a share of it if that is
    /// more. With fewer samples than `min_samples`, the missing ones count as zero.
    pub fn target(&self, headroom: f64, min_samples: f64) -> u32 {
        let count = (self.samples.len() as f64).max(min_samples);
        let mean = self.samples.iter().map(|sample| sample.tasks).sum::<f64>() / count;
        let expected = mean * (1.0 + headroom);
        expected.max(self.current.on_demand).max(self.current.spot).ceil() as u32
    }
}
