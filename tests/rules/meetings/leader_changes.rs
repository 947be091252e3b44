//! The leader ends, is cut off or hands over, again and again.

use super::{Troubles, meet, meet_again, pick};
use crate::LEADER;
use crate::world::{LEASE_MS, Trouble};
use rand::Rng;

#[test]
fn leaders_change_ten_times_in_two_minutes_also_in_an_outage() {
    meet(2, |rng| {
        let mut troubles: Troubles = (0..10)
            .map(|step| {
                let at = 20_000 + step * 12_000 + rng.random_range(0..4_000);
                let node = LEADER;
                let ms = rng.random_range(5_000..9_000);
                let trouble = match rng.random_range(0..4) {
                    0 => Trouble::Crash { node },
                    1 => Trouble::Blink { node },
                    2 => Trouble::CutFromAllButWorkers { node, ms },
                    _ => Trouble::Refused { node, ms },
                };
                (at, trouble)
            })
            .collect();
        for _ in 0..2 {
            let ms = rng.random_range(4_000..15_000);
            troubles.push((rng.random_range(20_000..130_000), Trouble::StoreOutage { ms }));
        }
        troubles.push((15_000, Trouble::LateWrites { ms: 110_000 }));
        troubles
    });
}

/// Jobs of two or three tasks whose ends lie far apart, over changes of leader.
#[test]
fn small_jobs_that_end_over_a_change_of_leader() {
    meet(8, |rng| {
        let mut troubles: Troubles = (0..5)
            .map(|step| {
                (
                    25_000 + step * 15_000 + rng.random_range(0..9_000),
                    Trouble::Crash { node: LEADER },
                )
            })
            .collect();
        troubles.push((20_000, Trouble::CancelAtEnd { ms: 100_000 }));
        troubles.push((20_000, Trouble::LateCopies { ms: 100_000 }));
        troubles
    });
}

#[test]
fn all_controllers_are_away_for_longer_than_a_lease() {
    meet(8, |rng| {
        let at = rng.random_range(30_000..60_000);
        let ms = LEASE_MS + rng.random_range(1_000..15_000);
        vec![
            (at - 1_000, Trouble::LateWrites { ms: 2_000 }),
            (
                at - 600,
                Trouble::CancelNow {
                    hang_ms: pick(rng, &[0, 15_000]),
                },
            ),
            (at, Trouble::AllAway { ms }),
            (at + ms + 3_000, Trouble::Blink { node: LEADER }),
            (
                at + ms + 20_000,
                Trouble::AllAway {
                    ms: pick(rng, &[300, 5_000, LEASE_MS + 4_000]),
                },
            ),
        ]
    });
}

/// Reports arrive after newer ones, from earlier agent epochs and attempts, also
/// held back until a new leader has acted, and then there.
#[test]
fn old_reports_reach_a_new_leader() {
    meet(4, |rng| {
        let mut troubles = vec![(10_000, Trouble::LateCopies { ms: 120_000 })];
        for step in 0..6 {
            let at = 25_000 + step * 15_000 + rng.random_range(0..5_000);
            let ms = rng.random_range(2_000..LEASE_MS + 8_000);
            troubles.push((at, Trouble::MachineCut { ms }));
            troubles.push((at + 500, Trouble::MachineCut { ms }));
            troubles.push((at + 1_000, Trouble::Crash { node: LEADER }));
            troubles.push((at + 3_000, Trouble::MachineBlinks));
        }
        troubles
    });
}

/// Controllers hand over and back, all end, and one returns at once.
#[test]
fn controllers_hand_over_and_back_and_all_end() {
    meet_again(&[46], 6, |rng| {
        let mut troubles = Vec::new();
        for step in 0..5 {
            let at = 25_000 + step * 20_000 + rng.random_range(0..5_000);
            troubles.push((at, Trouble::Blink { node: LEADER }));
            troubles.push((at + rng.random_range(50..1_500), Trouble::Blink { node: LEADER }));
            troubles.push((
                at + 6_000,
                Trouble::AllAway {
                    ms: rng.random_range(500..6_000),
                },
            ));
            troubles.push((at + 6_000 + rng.random_range(600..6_500), Trouble::Blink { node: 0 }));
        }
        troubles.push((20_000, Trouble::LateWrites { ms: 90_000 }));
        troubles
    });
}

/// A team at its limit, a change of leader, machines that can't be asked, and a
/// cancellation in that spell.
#[test]
fn a_team_at_its_limit_when_the_leader_changes() {
    meet(10, |rng| {
        let at = rng.random_range(30_000..60_000);
        let ms = rng.random_range(5_000..2 * LEASE_MS);
        vec![
            (at, Trouble::MachineCut { ms }),
            (at, Trouble::MachineDeaf { ms }),
            (at, Trouble::MachineHangs { ms }),
            (at, Trouble::MachineMute { ms }),
            (at + 500, Trouble::Crash { node: LEADER }),
            (at + rng.random_range(500..8_000), Trouble::CancelNow { hang_ms: 0 }),
            (at + ms / 2, Trouble::ZoneCut { ms }),
            (at + ms / 2 + 300, Trouble::Crash { node: LEADER }),
        ]
    });
}
