//! Renting for the forecast what the machines there are can't take, at the best
//! price, and returning what stays unused.

use super::MachineRequestRecord;
use super::forecast::Want;
use crate::Millis;
use crate::controller::Shard;
use crate::ids::{Index, MachineIx, TypeIx};
use crate::resources::Resources;
use crate::topology::Offer;
use std::collections::{BTreeMap, BTreeSet};

/// Machines asked for at once by one request: the most that the cloud takes.
const MAX_MACHINES_PER_REQUEST: u32 = 50;
/// Unanswered requests for one offer. More would only queue for the cloud's
/// rate, and all but the first be in vain where there is no capacity.
const MAX_PENDING_REQUESTS: u32 = 2;

/// A machine there is or, without an index, one asked for.
pub(super) struct Place {
    machine: Option<MachineIx>,
    offer: Offer,
    idle: bool,
    resources: Resources,
    used: bool,
}

/// Takes room for the wanted tasks in the places there are; gives how many are left.
fn fill_places(places: &mut [Place], want: &Want) -> u32 {
    let mut left = want.count;
    for place in places {
        if left == 0 {
            break;
        }
        let Offer { type_ix, zone, spot } = place.offer;
        if !want.shape.allows(type_ix, zone, spot) {
            continue;
        }
        // Headroom is not worth an ordinary machine.
        let most = if spot || !want.shape.spot {
            left
        } else {
            left.saturating_sub(want.count.saturating_sub(want.firm))
        };
        let fits = place.resources.count(want.shape.resources).min(most);
        for _ in 0..fits {
            place.resources.take(want.shape.resources);
        }
        place.used |= fits > 0;
        left -= fits;
    }
    left
}

impl Shard {
    /// Packs the forecast into the machines there are and on their way; rents
    /// for what is left over and returns what stays unused.
    pub(super) fn provision(&mut self, now: Millis, wants: Vec<Want>) {
        let mut places = self.places(now);
        let late_offers = self.late_offers(now);
        let mut in_zone = vec![0u32; self.topology.zones.len()];
        for place in &places {
            in_zone[place.offer.zone.usize()] += 1;
        }
        let mut new_machines: BTreeMap<Offer, u32> = BTreeMap::new();
        for want in wants {
            let mut left = fill_places(&mut places, &want);
            while left > 0 {
                let ordinary = want.count - left < want.firm;
                let Some((offer, fits)) = self.best_offer(now, &want, left, ordinary, &in_zone, &late_offers) else {
                    break;
                };
                *new_machines.entry(offer).or_default() += 1;
                in_zone[offer.zone.usize()] += 1;
                left = left.saturating_sub(fits);
            }
        }
        self.request_machines(new_machines);
        self.scale_in_idle(now, &places);
    }

    fn request_machines(&mut self, new_machines: BTreeMap<Offer, u32>) {
        // Those given up are there until the cloud says that they are gone.
        let mut total =
            self.workers.machines.len() as u32 + self.pending_machine_requests().map(|(_, count)| count).sum::<u32>();
        for (offer, count) in new_machines {
            let most = (self.policy.max_machines as u32).saturating_sub(total);
            let mut left = count.min(most);
            let mut open = self
                .pending_machine_requests()
                .filter(|&(other, _)| other == offer)
                .count() as u32;
            while left > 0 && open < MAX_PENDING_REQUESTS {
                let count = left.min(MAX_MACHINES_PER_REQUEST);
                self.machine_request(offer, count);
                total += count;
                left -= count;
                open += 1;
            }
        }
    }

    /// The machines there are and those asked for. Small and busy ones come
    /// first and so are filled first, idle and dear ones last.
    pub(super) fn places(&self, now: Millis) -> Vec<Place> {
        let mut places = Vec::with_capacity(self.workers.machines.len());
        for (ix, machine) in self.workers.machines.iter() {
            let leaving = machine.decommissioned || machine.silent || machine.spot_reclaim_at.is_some();
            if leaving || machine.group.is_none() || self.is_late(now, machine) {
                continue;
            }
            if let Some(info) = &self.topology.type_info[machine.type_ix.usize()] {
                places.push(Place {
                    machine: Some(ix),
                    offer: machine.offer(),
                    idle: machine.open.is_empty(),
                    resources: info.resources,
                    used: false,
                });
            }
        }
        for (offer, count) in self.pending_machine_requests() {
            if let Some(info) = &self.topology.type_info[offer.type_ix.usize()] {
                places.extend((0..count).map(|_| Place {
                    machine: None,
                    offer,
                    idle: true,
                    resources: info.resources,
                    used: false,
                }));
            }
        }
        places.sort_by(|a, b| {
            let rest = (a.idle, !a.offer.spot).cmp(&(b.idle, !b.offer.spot));
            a.resources.cpus.total_cmp(&b.resources.cpus).then(rest)
        });
        places
    }

    /// Requests that are not answered yet: what for, and how many machines.
    fn pending_machine_requests(&self) -> impl Iterator<Item = (Offer, u32)> {
        let machine_requests = self
            .fleet
            .machine_requests
            .iter()
            .map(|machine_request| &machine_request.value);
        machine_requests
            .chain(&self.pending_writes.machine_requests)
            .filter_map(|machine_request| {
                let type_ix = self.topology.types.get(&machine_request.machine_type)?;
                let zone = self.topology.zones.get(&machine_request.zone)?;
                let offer = Offer {
                    type_ix,
                    zone,
                    spot: machine_request.spot,
                };
                Some((offer, machine_request.count))
            })
    }

    fn scale_in_idle(&mut self, now: Millis, places: &[Place]) {
        let idle_ms = crate::millis(self.policy.idle_return_s);
        for place in places.iter().filter(|place| !place.used) {
            let Some(machine) = place.machine.and_then(|ix| self.workers.machines.get_mut(ix)) else {
                continue;
            };
            let up = machine.heard_at.is_some();
            let idle_ms = if machine.spot { idle_ms } else { idle_ms / 3 };
            if up && machine.open.is_empty() && now > machine.idle_since + idle_ms {
                tracing::info!(machine = machine.name, "scaling in an idle machine");
                machine.decommissioned = true;
            }
        }
    }

    /// The cheapest way to rent room for the wanted tasks.
    /// One whose machines are late only where there is no other.
    pub(super) fn best_offer(
        &self,
        now: Millis,
        want: &Want,
        left: u32,
        ordinary: bool,
        in_zone: &[u32],
        late_offers: &BTreeSet<Offer>,
    ) -> Option<(Offer, u32)> {
        let mut best: Option<((bool, f64, u32), Offer, u32)> = None;
        for (type_ix, info) in self.topology.type_info.iter().enumerate() {
            let Some(info) = info else {
                continue;
            };
            let type_ix = TypeIx::from_usize(type_ix);
            let fits = info.resources.count(want.shape.resources);
            if fits == 0 {
                continue;
            }
            for &zone in &info.zones {
                // New ones there could not be reached either.
                if self.fleet.silent_zones.contains(&zone) {
                    continue;
                }
                for spot in [true, false] {
                    let price = match (spot, info.spot_price) {
                        (true, Some(price)) => price,
                        (true, None) => continue,
                        (false, _) if ordinary || !want.shape.spot => info.price,
                        (false, _) => continue,
                    };
                    if !want.shape.allows(type_ix, zone, spot) {
                        continue;
                    }
                    let offer = Offer { type_ix, zone, spot };
                    if self.fleet.refused.get(&offer).is_some_and(|&until| now < until) {
                        continue;
                    }
                    let cost = price / f64::from(fits.min(left));
                    let rank = (late_offers.contains(&offer), cost, in_zone[zone.usize()]);
                    if best.is_none_or(|(other, ..)| rank < other) {
                        best = Some((rank, offer, fits));
                    }
                }
            }
        }
        best.map(|(_, offer, fits)| (offer, fits))
    }

    fn machine_request(&mut self, Offer { type_ix, zone, spot }: Offer, count: u32) {
        // The term is ours alone, so the name was never used before.
        let request = format!("{}-{}-{}", self.name, self.term, self.fleet.next_request);
        self.fleet.next_request += 1;
        self.pending_writes.machine_requests.push_back(MachineRequestRecord {
            request,
            machine_type: self.topology.types.name(type_ix).into(),
            zone: self.topology.zones.name(zone).into(),
            spot,
            count,
        });
    }
}
