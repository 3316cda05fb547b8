//! The live members as seen by one instance at a point in time, and the owners of services among
//! them.
//! A view is shared and immutable, so that each ranking of the members is computed only once per
//! change of the membership.

use std::collections::HashMap;
use std::sync::OnceLock;

use parking_lot::Mutex;

use super::roles::{self, MemberCapacity, ReaderPlan};

/// A live member.
#[derive(Debug, Clone, PartialEq)]
pub struct LiveMember {
    /// Name of the member.
    pub name: String,
    /// IP address and port for peers.
    pub peer_address: String,
    /// Capacity relative to other members, in cores.
    pub capacity_cores: f64,
}

/// The first two members in the ranking for a role, as indices into the list of members. The second
/// takes over when the first departs.
#[derive(Debug, Clone, Copy)]
struct OwnerIndices {
    first: Option<usize>,
    second: Option<usize>,
}

/// The live members, including this instance.
#[derive(Debug)]
pub struct LiveView {
    own_name: String,
    /// Members sorted by name, without duplicates.
    members: Vec<LiveMember>,
    /// Owners by service, computed on first use.
    owners: Mutex<HashMap<String, OwnerIndices>>,
    /// Where this instance reads the store, computed on first use.
    readers: OnceLock<ReaderPlan>,
}

impl LiveView {
    /// Returns the view of an instance.
    #[must_use]
    pub fn new(own_name: &str, mut members: Vec<LiveMember>) -> Self {
        members.sort_by(|one, other| one.name.cmp(&other.name));
        members.dedup_by(|one, other| one.name == other.name);
        Self {
            own_name: own_name.to_owned(),
            members,
            owners: Mutex::default(),
            readers: OnceLock::new(),
        }
    }

    /// Returns the members, sorted by name.
    #[must_use]
    pub fn members(&self) -> &[LiveMember] {
        &self.members
    }

    /// Returns a member by name.
    #[must_use]
    pub fn get(&self, name: &str) -> Option<&LiveMember> {
        let found = self
            .members
            .binary_search_by(|member| member.name.as_str().cmp(name));
        found.ok().map(|index| &self.members[index])
    }

    /// Returns the owner of a service's engines.
    #[must_use]
    pub fn owner(&self, service: &str) -> Option<&LiveMember> {
        let index = self.owners(service).first?;
        Some(&self.members[index])
    }

    /// Returns the owner of a service, and the member that would follow it.
    #[must_use]
    pub fn owner_and_successor(&self, service: &str) -> Vec<&LiveMember> {
        let owners = self.owners(service);
        let indices = [owners.first, owners.second];
        let members = indices.into_iter().flatten();
        members.map(|index| &self.members[index]).collect()
    }

    /// Returns the owner of a service's engines among the other members, for an instance that is
    /// departing.
    #[must_use]
    pub fn owner_among_others(&self, service: &str) -> Option<&LiveMember> {
        let owners = self.owners(service);
        let indices = [owners.first, owners.second];
        let mut owners = indices
            .into_iter()
            .flatten()
            .map(|index| &self.members[index]);
        owners.find(|member| member.name != self.own_name)
    }

    /// Returns where this instance reads the store.
    #[must_use]
    pub fn readers(&self) -> &ReaderPlan {
        self.readers
            .get_or_init(|| ReaderPlan::new(&self.own_name, &self.capacities()))
    }

    fn capacities(&self) -> Vec<MemberCapacity<'_>> {
        let members = self.members.iter();
        members
            .map(|member| (member.name.as_str(), member.capacity_cores))
            .collect()
    }

    fn owners(&self, service: &str) -> OwnerIndices {
        let mut cache = self.owners.lock();
        if let Some(owners) = cache.get(service) {
            return *owners;
        }
        let capacities = self.capacities();
        let mut ranked = roles::ranked_members(service, &capacities).into_iter();
        let mut next_index = || {
            let name = ranked.next()?;
            self.members.iter().position(|member| member.name == name)
        };
        let owners = OwnerIndices {
            first: next_index(),
            second: next_index(),
        };
        cache.insert(service.to_owned(), owners);
        owners
    }
}
