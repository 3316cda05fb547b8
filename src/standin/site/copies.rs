//! Memory copies of generations that the stand-in's servers keep for each other.

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;

/// Copies by the server that keeps something for them, and their handle.
#[derive(Debug, Default)]
pub(super) struct MemoryCopies {
    /// At the servers that they were made from, which keep the memory.
    made: HashSet<(SocketAddr, String)>,
    /// At the servers that received them.
    received: HashSet<(SocketAddr, String)>,
    /// Number of copies being made now, by the server that makes them.
    under_way: HashMap<SocketAddr, usize>,
    /// Largest number of copies that one server made at once.
    most_at_once: usize,
}

impl MemoryCopies {
    /// Records that a server begins a copy.
    pub(super) fn begin(&mut self, source: SocketAddr) {
        let under_way = self.under_way.entry(source).or_default();
        *under_way += 1;
        self.most_at_once = self.most_at_once.max(*under_way);
    }

    /// Records that a server has finished a copy.
    pub(super) fn insert(&mut self, source: SocketAddr, target: SocketAddr, handle: &str) {
        if let Some(under_way) = self.under_way.get_mut(&source) {
            *under_way -= 1;
        }
        self.made.insert((source, handle.to_owned()));
        self.received.insert((target, handle.to_owned()));
    }

    /// Records the copy of a running generation at the server that keeps it, under its request id.
    pub(super) fn insert_backup(&mut self, keeper: SocketAddr, request: &str) {
        self.made.insert((keeper, request.to_owned()));
        self.received.insert((keeper, request.to_owned()));
    }

    /// Returns whether a copy that was made at this server can still be used.
    pub(super) fn contains(&self, source: SocketAddr, handle: &str) -> bool {
        self.made.contains(&(source, handle.to_owned()))
    }

    /// Uses a copy for a continuation, which is possible once, and returns whether it was possible.
    /// Only what the server that uses it received goes with it.
    pub(super) fn use_at(&mut self, server: SocketAddr, source: SocketAddr, handle: &str) -> bool {
        self.received.remove(&(server, handle.to_owned()));
        self.made.remove(&(source, handle.to_owned()))
    }

    /// Frees what a server keeps of a copy, and everything if it was made there. Returns whether
    /// there was something to free.
    pub(super) fn free_at(&mut self, server: SocketAddr, handle: &str) -> bool {
        let key = (server, handle.to_owned());
        if self.made.remove(&key) {
            self.received.retain(|(_, received)| received != handle);
            return true;
        }
        self.received.remove(&key)
    }

    pub(super) fn most_at_once(&self) -> usize {
        self.most_at_once
    }

    pub(super) fn received_count(&self) -> usize {
        self.received.len()
    }
}
