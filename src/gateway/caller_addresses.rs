//! The addresses that the directory names to callers.

use std::net::SocketAddr;

use rand::RngExt;

use super::node::{Gateway, MEMBER_RING};
use crate::kernel::region::AllowedRegions;

/// Minimum weight of a member's address in the directory, in processor cores.
const ADDRESS_WEIGHT_MIN: f64 = 0.1;

impl Gateway {
    /// Returns the regions whose instances a caller of a host may use: its own region and those in
    /// which the host's calls may be served, or all if these are not restricted.
    pub(crate) fn directory_regions(&self, host: &str, caller_region: &str) -> AllowedRegions {
        let table = self.table();
        let allowed = table.map(|table| table.regions_of_host(host));
        let allowed = allowed.unwrap_or_default();
        match allowed.names() {
            Some(names) => {
                AllowedRegions::only(names.iter().cloned().chain([caller_region.to_owned()]))
            }
            None => allowed,
        }
    }

    /// Returns the caller addresses of up to `max` live members in some regions, or in any region if
    /// there is none.
    ///
    /// If there are more, a random sample is drawn, weighted by processor cores.
    pub(crate) fn caller_addresses(&self, max: usize, regions: &AllowedRegions) -> Vec<SocketAddr> {
        let own = self.is_ready().then_some(self.settings.caller_address);
        let live: Vec<(String, SocketAddr)> = {
            let members = self.members.lock();
            let live = members.live(MEMBER_RING, self.now());
            let addresses = live.filter_map(|peer| {
                let address = peer.status.caller_address.parse().ok()?;
                Some((peer.status.incarnation.name.clone(), address))
            });
            addresses.collect()
        };
        let mut weighted: Vec<(f64, SocketAddr)> = {
            let entries = self.member_entries.lock();
            let own_cores = self.routing.read().processor_cores;
            let own = own.map(|address| (own_cores, self.settings.hall.as_str(), address));
            let others = live.into_iter().map(|(name, address)| {
                let entry = entries.get(&name);
                let cores = entry.map(|entry| entry.processor_cores);
                let hall = entry.map_or("", |entry| entry.hall.as_str());
                (cores.unwrap_or_default(), hall, address)
            });
            let all: Vec<(f64, &str, SocketAddr)> = others.chain(own).collect();
            let is_allowed = |hall: &str| regions.contains(self.hall_regions.region_of(hall));
            let has_allowed = all.iter().any(|(_, hall, _)| is_allowed(hall));
            let allowed = all
                .into_iter()
                .filter(|(_, hall, _)| !has_allowed || is_allowed(hall));
            allowed
                .map(|(cores, _, address)| (cores, address))
                .collect()
        };
        if weighted.len() > max {
            weighted = sample_by_weight(weighted, max);
        }
        weighted.into_iter().map(|(_, address)| address).collect()
    }
}

/// Draws a random sample without replacement, weighted by the first component: keeps the items with
/// the highest keys `ln(u) / weight`, where `u` is uniform in (0, 1) (Efraimidis and Spirakis).
fn sample_by_weight(weighted: Vec<(f64, SocketAddr)>, max: usize) -> Vec<(f64, SocketAddr)> {
    let mut drawn: Vec<(f64, (f64, SocketAddr))> = weighted
        .into_iter()
        .map(|item| {
            let weight = item.0.max(ADDRESS_WEIGHT_MIN);
            let key = rand::rng().random_range(f64::EPSILON..1.0).ln() / weight;
            (key, item)
        })
        .collect();
    drawn.sort_by(|left, right| right.0.total_cmp(&left.0));
    drawn.truncate(max);
    drawn.into_iter().map(|(_, item)| item).collect()
}
