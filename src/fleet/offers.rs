//! Selection of the cheapest offer for a capacity need.

use super::demand::CapacityNeed;
use super::{Fleet, FleetContext};
use crate::ids::{Index, TypeIx, ZoneIx};
use crate::resources::{Market, Offer};
use crate::topology::TypeInfo;
use std::collections::BTreeSet;

/// The markets in which machines may be bought for tasks that can run on spot machines.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum PurchaseScope {
    /// Only spot machines, as for headroom.
    SpotOnly,
    /// On-demand machines as well, where they cost less per task or no spot machines are
    /// available.
    SpotOrOnDemand,
}

/// The offer chosen for a need.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct OfferChoice {
    /// The offer to buy a machine of.
    pub offer: Offer,
    /// How many of the needed tasks fit on one machine.
    pub tasks_per_machine: u32,
}

/// An offer with the price of one of its machines.
#[derive(Clone, Copy, Debug)]
struct PricedOffer {
    offer: Offer,
    price: f64,
}

/// Sort key of offers: the smallest is the best. Compared field by field in this order.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd)]
struct OfferRank {
    /// Whether most of its booting machines are overdue. Such an offer is only chosen if there
    /// is no other.
    overdue: bool,
    cost_per_task: f64,
    /// Spreads machines over the zones where costs are equal.
    machines_in_zone: u32,
}

/// Chooses the offers to scale out with, one machine after another.
pub(crate) struct OfferSearch<'a> {
    fleet: &'a Fleet,
    context: &'a FleetContext<'a>,
    overdue_offers: BTreeSet<Offer>,
    /// The number of counted machines in each zone, by zone index.
    machines_in_zone: Vec<u32>,
}

impl<'a> OfferSearch<'a> {
    /// Creates a search with no counted machines and no overdue offers.
    pub(crate) fn new(fleet: &'a Fleet, context: &'a FleetContext<'a>) -> OfferSearch<'a> {
        OfferSearch {
            fleet,
            context,
            overdue_offers: BTreeSet::new(),
            machines_in_zone: vec![0; context.topology.zones.len()],
        }
    }

    /// Ranks these offers behind all others.
    pub(crate) fn set_overdue_offers(&mut self, overdue_offers: BTreeSet<Offer>) {
        self.overdue_offers = overdue_offers;
    }

    /// Counts a machine that exists, is requested or is about to be requested in this zone.
    pub(crate) fn count_machine(&mut self, zone: ZoneIx) {
        self.machines_in_zone[zone.usize()] += 1;
    }

    /// Returns the offer with the lowest cost per task for the remaining tasks of a need, if
    /// any available machine fits them.
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

    /// Returns the available offers of a type that the tasks may use, with their prices:
    /// ordered by zone, and in each zone spot machines first.
    fn offers_of(
        &self,
        type_ix: TypeIx,
        info: &TypeInfo,
        need: &CapacityNeed,
        scope: PurchaseScope,
    ) -> impl Iterator<Item = PricedOffer> {
        let on_demand = scope == PurchaseScope::SpotOrOnDemand || !need.shape.spot;
        let zones = info.zones.iter().copied();
        // New machines in an unresponsive zone could not be reached either.
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
            .filter(move |offer| !self.fleet.is_suspended(*offer, self.context.now))
            .filter_map(move |offer| {
                let price = info.price_in(offer.market())?;
                Some(PricedOffer { offer, price })
            })
    }
}
