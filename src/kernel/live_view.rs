//! The members that live, as one instance sees them at one moment, and who owns what among them. A view is shared and never changed, so that
//! a ranking of the members is computed once for each change of them.

use std::collections::HashMap;
use std::sync::OnceLock;

use parking_lot::Mutex;

use super::roles::{self, MemberCapacity, ReaderPlan};

/// A member that lives.
#[derive(Debug, Clone, PartialEq)]
pub struct LiveMember {
    /// Its name.
    pub name: String,
    /// Where peers connect.
    pub peer_address: String,
    /// What it can carry against others, in cores.
    pub capacity_cores: f64,
}

/// The two members to which a role falls first, as places in the list of members: the second one takes over from a first one that leaves.
#[derive(Debug, Clone, Copy)]
struct Owners {
    first: Option<usize>,
    second: Option<usize>,
}

/// The members that live, this instance included.
#[derive(Debug)]
pub struct LiveView {
    own_name: String,
    /// Sorted by name, each name once.
    members: Vec<LiveMember>,
    /// Owners by service, filled in as they are asked for.
    owners: Mutex<HashMap<String, Owners>>,
    /// Where this instance reads the store, once asked for.
    readers: OnceLock<ReaderPlan>,
}

impl LiveView {
    /// A view of an instance.
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

    /// The members, by name.
    #[must_use]
    pub fn members(&self) -> &[LiveMember] {
        &self.members
    }

    /// A member by name.
    #[must_use]
    pub fn get(&self, name: &str) -> Option<&LiveMember> {
        let found = self
            .members
            .binary_search_by(|member| member.name.as_str().cmp(name));
        found.ok().map(|place| &self.members[place])
    }

    /// The owner of a service's engines.
    #[must_use]
    pub fn owner(&self, service: &str) -> Option<&LiveMember> {
        let place = self.owners(service).first?;
        Some(&self.members[place])
    }

    /// The owner of a service's engines where this instance does not count, since it is leaving.
    #[must_use]
    pub fn owner_among_others(&self, service: &str) -> Option<&LiveMember> {
        let owners = self.owners(service);
        let places = [owners.first, owners.second];
        let mut owners = places
            .into_iter()
            .flatten()
            .map(|place| &self.members[place]);
        owners.find(|member| member.name != self.own_name)
    }

    /// Where this instance reads the store.
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

    fn owners(&self, service: &str) -> Owners {
        let mut known = self.owners.lock();
        if let Some(owners) = known.get(service) {
            return *owners;
        }
        let capacities = self.capacities();
        let mut ranked = roles::ranked(service, &capacities).into_iter();
        let mut place = || {
            let name = ranked.next()?;
            self.members.iter().position(|member| member.name == name)
        };
        let owners = Owners {
            first: place(),
            second: place(),
        };
        known.insert(service.to_owned(), owners);
        owners
    }
}
