//! A simulated hall of instances on a manual clock, each with its own view of the others.

use std::time::Duration;

use larkwick::kernel::clock::{Clock, ManualClock};
use larkwick::kernel::gossip::Gossip;
use larkwick::kernel::membership::{
    Incarnation, ListedPeer, Members, PeerStatus, rendezvous_weight,
};
use uuid::Uuid;

/// Heartbeat interval.
pub const PERIOD: Duration = Duration::from_millis(500);
const HALL_INSTANCES: usize = 110;

/// Returns the status of an instance.
pub fn status(name: &str, id: u128, leaving: bool) -> PeerStatus {
    PeerStatus {
        incarnation: Incarnation {
            name: name.to_owned(),
            id: Uuid::from_u128(id),
        },
        hall: "h".to_owned(),
        caller_address: String::new(),
        peer_address: String::new(),
        operator_address: String::new(),
        leaving,
        ticket_epoch: 0,
        config_next_offset: 0,
    }
}

/// Returns whether the link between two instances, given by index, is cut.
type IsCut = Box<dyn Fn(usize, usize) -> bool>;

/// Instances that exchange heartbeats.
pub struct Hall {
    pub clock: ManualClock,
    statuses: Vec<PeerStatus>,
    pub views: Vec<Members>,
    /// Lost instances, which send nothing, by index.
    is_lost: Vec<bool>,
    is_cut: IsCut,
    /// Maximum number of heartbeats that one instance sent in a round.
    pub heartbeats_max: usize,
    /// Maximum number of members named in one heartbeat, full syncs excluded.
    pub entries_max: usize,
    /// Total number of members named in all heartbeats.
    pub entries: u32,
}

impl Hall {
    /// Returns a hall of the design size.
    pub fn new() -> Self {
        Self::of(HALL_INSTANCES)
    }

    /// Returns a hall with this number of instances, all of which know each other from the list.
    pub fn of(instances: usize) -> Self {
        let clock = ManualClock::default();
        // The short id is the upper half of the id.
        let statuses: Vec<PeerStatus> = (0..instances)
            .map(|id| status(&format!("i{id}"), (id as u128 + 1) << 64, false))
            .collect();
        let mut hall = Self {
            clock,
            views: statuses.iter().map(|_| Members::default()).collect(),
            is_lost: vec![false; instances],
            is_cut: Box::new(|_, _| false),
            statuses,
            heartbeats_max: 0,
            entries_max: 0,
            entries: 0,
        };
        for index in 0..instances {
            hall.read_list(index);
        }
        hall
    }

    /// Makes an instance read the whole list.
    pub fn read_list(&mut self, index: usize) {
        let listed = self.statuses.iter().map(|status| ListedPeer {
            status: status.clone(),
        });
        let listed: Vec<ListedPeer> = listed.collect();
        let own_name = &self.statuses[index].incarnation.name;
        self.views[index].apply_list(&listed, own_name, self.clock.now());
    }

    pub fn index_of(&self, name: &str) -> usize {
        let matches = |status: &PeerStatus| status.incarnation.name == name;
        self.statuses.iter().position(matches).expect("known")
    }

    pub fn incarnation(&self, index: usize) -> &Incarnation {
        &self.statuses[index].incarnation
    }

    /// Returns the name of a peer that the first instance monitors.
    pub fn monitored_by_first(&mut self) -> String {
        let next = self.targets_of(0).first().copied().expect("others");
        self.incarnation(next).name.clone()
    }

    /// Stops these instances from sending or answering heartbeats.
    pub fn lose(&mut self, indices: impl IntoIterator<Item = usize>) {
        for index in indices {
            self.is_lost[index] = true;
        }
    }

    /// Resumes these instances.
    pub fn restore(&mut self, indices: impl IntoIterator<Item = usize>) {
        for index in indices {
            self.is_lost[index] = false;
        }
    }

    /// Restarts an instance, which then knows only the list.
    pub fn restart(&mut self, index: usize) {
        let name = self.statuses[index].incarnation.name.clone();
        // Each incarnation has its own short id.
        let id = (self.clock.now().as_nanos() + index as u128) << 64;
        self.statuses[index] = status(&name, id, false);
        self.views[index] = Members::default();
        self.read_list(index);
    }

    /// Returns all instances in ring order.
    pub fn in_ring_order(&self) -> Vec<usize> {
        let mut by_position: Vec<usize> = (0..self.views.len()).collect();
        by_position.sort_by_key(|index| rendezvous_weight("ring", &self.incarnation(*index).name));
        by_position
    }

    pub fn lost(&self) -> Vec<usize> {
        let all = 0..self.views.len();
        all.filter(|index| self.is_lost[*index]).collect()
    }

    pub fn live_indices(&self) -> Vec<usize> {
        let all = 0..self.views.len();
        all.filter(|index| !self.is_lost[*index]).collect()
    }

    /// Cuts the links for which `is_cut` returns true.
    pub fn cut(&mut self, is_cut: impl Fn(usize, usize) -> bool + 'static) {
        self.is_cut = Box::new(is_cut);
    }

    pub fn targets_of(&mut self, from: usize) -> Vec<usize> {
        let own = &self.statuses[from].incarnation;
        let targets = self.views[from].heartbeat_targets(own, "h", self.clock.now());
        targets.iter().map(|name| self.index_of(name)).collect()
    }

    /// Returns the gossip that an instance sends to another, whether or not it arrives.
    fn gossip_between(&mut self, from: usize, to: usize) -> Gossip {
        let own = &self.statuses[from].incarnation;
        let to_name = &self.statuses[to].incarnation.name;
        let gossip = self.views[from].gossip_for(own, "h", to_name, self.clock.now());
        if !gossip.is_full_sync {
            self.entries_max = self.entries_max.max(gossip.entry_count());
            self.entries += u32::try_from(gossip.entry_count()).expect("few");
        }
        gossip
    }

    fn deliver(&mut self, from: usize, to: usize, gossip: &Gossip) {
        let receiver = &self.statuses[to].incarnation;
        let sender = self.statuses[from].clone();
        self.views[to].receive_heartbeat(receiver, sender, gossip, self.clock.now());
    }

    /// Simulates one round of heartbeats and replies.
    pub fn round(&mut self) {
        for from in self.live_indices() {
            let targets = self.targets_of(from);
            self.heartbeats_max = self.heartbeats_max.max(targets.len());
            for to in targets {
                let is_cut = (self.is_cut)(from, to) || (self.is_cut)(to, from);
                let gossip = self.gossip_between(from, to);
                if is_cut || self.is_lost[to] {
                    continue;
                }
                self.deliver(from, to, &gossip);
                let reply = self.gossip_between(to, from);
                self.deliver(to, from, &reply);
            }
        }
        self.clock.advance(PERIOD);
    }

    /// Simulates rounds for this length of time.
    pub fn run_for(&mut self, length: Duration) {
        let until = self.clock.now() + length;
        while self.clock.now() < until {
            self.round();
        }
    }

    /// Returns whether an instance counts another one as live.
    pub fn counts_as_live(&self, viewer: usize, member: usize) -> bool {
        let name = &self.statuses[member].incarnation.name;
        self.views[viewer].is_live(name, "h", self.clock.now())
    }

    /// Returns the number of live instances that count this one as live.
    pub fn live_in_views(&self, name: &str) -> usize {
        let member = self.index_of(name);
        let live_indices = self.live_indices().into_iter();
        live_indices
            .filter(|viewer| self.counts_as_live(*viewer, member))
            .count()
    }

    /// Returns the number of pairs of a live instance and a lost one that it still counts as live.
    pub fn lost_pairs_counted_as_live(&self) -> usize {
        let lost = self.lost();
        let counted = |viewer: usize| {
            let counted = lost.iter();
            counted
                .filter(|member| self.counts_as_live(viewer, **member))
                .count()
        };
        self.live_indices().into_iter().map(counted).sum()
    }

    /// Returns the number of ordered pairs of live instances in which the first does not count the
    /// second as live.
    pub fn live_pairs_not_counted(&self) -> usize {
        let live_indices = self.live_indices();
        let not_counted = |viewer: usize| {
            let others = live_indices.iter().filter(|member| **member != viewer);
            others
                .filter(|member| !self.counts_as_live(viewer, **member))
                .count()
        };
        live_indices.iter().map(|viewer| not_counted(*viewer)).sum()
    }
}
