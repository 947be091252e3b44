use super::demand::{ClassDemand, DemandSample, TaskDemand};

#[test]
fn the_target_covers_what_waits_and_the_mean_with_headroom() {
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
    // Few samples are not trusted in full.
    assert_eq!(demand.target(0.25, 20.0), 5);
    assert_eq!(ClassDemand::default().target(0.25, 2.0), 0);
}
