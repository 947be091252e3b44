use super::demand::{ClassDemand, DemandSample, TaskDemand};

#[test]
fn target_covers_current_demand_and_mean_with_headroom() {
    let demand = ClassDemand {
        current: TaskDemand {
            tasks: 9.0,
            on_demand: 3.0,
            spot: 5.0,
        },
        samples: [DemandSample { at: 0, tasks: 8.0 }, DemandSample { at: 1, tasks: 12.0 }].into(),
        ..ClassDemand::default()
    };
    assert_eq!(demand.target(0.25, 2.0), 13);
    // Missing samples count as zero.
    assert_eq!(demand.target(0.25, 20.0), 5);
    assert_eq!(ClassDemand::default().target(0.25, 2.0), 0);
}
