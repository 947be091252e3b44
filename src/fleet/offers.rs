//! The choice of what to buy.

use super::demand::CapacityNeed;
use super::{Fleet, FleetContext};
use crate::ids::{Index, TypeIx, ZoneIx};
use crate::resources::{Market, Offer};
use crate::topology::TypeInfo;
use std::collections::BTreeSet;

/// Which machines tasks are worth that could run on spot machines.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum PurchaseScope {
    /// Only cheap ones, such as headroom.
    SpotOnly,
    /// On-demand ones as well, where spot machines are not to be had.
    SpotOrOnDemand,
}

/// An offer, and how many of the tasks one of its machines takes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct OfferChoice {
    /// What to buy.
    pub offer: Offer,
    /// How many of the needed tasks one machine has room for.
    pub tasks_per_machine: u32,
}

/// An offer and what one of its machines costs.
#[derive(Clone, Copy, Debug)]
struct PricedOffer {
    offer: Offer,
    price: f64,
}

/// What makes one offer better than another: the least is the best.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd)]
struct OfferRank {
    /// Its machines are overdue: taken only where there is no other.
    overdue: bool,
    cost_per_task: f64,
    /// Machines are spread over the zones where the costs are equal.
    machines_in_zone: u32,
}

/// The choice of the offers to scale out with.
pub(crate) struct OfferSearch<'a> {
    fleet: &'a Fleet,
    context: &'a FleetContext<'a>,
    overdue_offers: BTreeSet<Offer>,
    /// By the index of the zone.
    machines_in_zone: Vec<u32>,
}

impl<'a> OfferSearch<'a> {
    /// A search that counts no machines in any zone yet, and no offer as overdue.
    pub(crate) fn new(fleet: &'a Fleet, context: &'a FleetContext<'a>) -> OfferSearch<'a> {
        OfferSearch {
            fleet,
            context,
            overdue_offers: BTreeSet::new(),
            machines_in_zone: vec![0; context.topology.zones.len()],
        }
    }

    /// Puts these offers behind all others.
    pub(crate) fn avoid(&mut self, overdue_offers: BTreeSet<Offer>) {
        self.overdue_offers = overdue_offers;
    }

    /// Counts a machine that is there, or asked for, or to be asked for.
    pub(crate) fn count_machine(&mut self, zone: ZoneIx) {
        self.machines_in_zone[zone.usize()] += 1;
    }

    /// The cheapest way to get room for the tasks of a need that are left.
    pub(crate) fn best(&self, need: &CapacityNeed, tasks_left: u32, scope: PurchaseScope) -> Option<OfferChoice> {
        let mut best: Option<(OfferRank, OfferChoice)> = None;
        for (type_ix, info) in self.context.topology.type_info.iter().enumerate() {
            let Some(info) = info else {
                continue;
            };
            let tasks_per_machine = info.resources.capacity_for(need.shape.resources);
            if tasks_per_machine == 0 {
                continue;
            }
            for PricedOffer { offer, price } in self.offers_of(TypeIx::from_usize(type_ix), info, need, scope) {
                let rank = OfferRank {
                    overdue: self.overdue_offers.contains(&offer),
                    cost_per_task: price / f64::from(tasks_per_machine.min(tasks_left)),
                    machines_in_zone: self.machines_in_zone[offer.zone.usize()],
                };
                if best.is_none_or(|(other, _)| rank < other) {
                    let choice = OfferChoice {
                        offer,
                        tasks_per_machine,
                    };
                    best = Some((rank, choice));
                }
            }
        }
        best.map(|(_, choice)| choice)
    }

    /// The offers of a type that the tasks may use and that are to be had, with their
    /// prices: by zone, in each zone spot machines first.
    fn offers_of(
        &self,
        type_ix: TypeIx,
        info: &TypeInfo,
        need: &CapacityNeed,
        scope: PurchaseScope,
    ) -> impl Iterator<Item = PricedOffer> {
        let on_demand = scope == PurchaseScope::SpotOrOnDemand || !need.shape.spot;
        let zones = info.zones.iter().copied();
        // New ones in a silent zone could not be reached either.
        let zones = zones.filter(move |zone| !self.fleet.unresponsive_zones.contains(zone));
        let offers = zones.flat_map(move |zone| {
            [Market::Spot, Market::OnDemand].map(|market| Offer {
                type_ix,
                zone,
                spot: market == Market::Spot,
            })
        });
        offers
            .filter(move |offer| offer.market() == Market::Spot || on_demand)
            .filter(move |&offer| need.shape.allows(offer))
            .filter(move |offer| !self.fleet.is_refused(*offer, self.context.now))
            .filter_map(move |offer| {
                let price = info.price_in(offer.market())?;
                Some(PricedOffer { offer, price })
            })
    }
}
