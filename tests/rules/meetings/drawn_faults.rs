//! Combinations of faults drawn at random from all that can be simulated.

use super::meet_again;
use crate::world::Trouble;
use crate::{LEADER, draw};
use rand::Rng;
use rand::rngs::StdRng;

/// Anything with anything, from all that the stand-ins can bring about.
#[test]
fn drawn_meetings() {
    meet_again(&[216], 4, |rng| {
        let count = rng.random_range(4..14);
        let mut drawn = Vec::new();
        for _ in 0..count {
            drawn.push((rng.random_range(5_000..110_000), any_trouble(rng)));
        }
        drawn
    });
}

fn any_trouble(rng: &mut StdRng) -> Trouble {
    let node = if rng.random_bool(0.6) {
        LEADER
    } else {
        rng.random_range(0..3)
    };
    let ms = rng.random_range(2_000..45_000);
    match rng.random_range(0..22) {
        0 | 1 => Trouble::Refused { node, ms },
        2 => Trouble::ReadsLost { node, ms },
        3 | 4 => Trouble::LateWrites { ms },
        5 => Trouble::MachineMute { ms },
        6 => Trouble::MachineHangs { ms },
        7 => Trouble::HeldCommands { ms },
        8 | 9 => Trouble::CancelNow { hang_ms: ms / 2 },
        10 => Trouble::CancelAtEnd { ms },
        11 => Trouble::AllAway { ms },
        12 => Trouble::SouthAlone { ms },
        13 => Trouble::OddRequests { ms },
        14 => Trouble::AllSick { ms: ms / 2 },
        15 => Trouble::StoreOutage { ms: 2 * ms },
        _ => draw(rng, 3),
    }
}
