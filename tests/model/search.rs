//! Exhaustive search of the reachable states of a specification, which prints the shortest path to
//! a violation.

use std::fmt::Debug;
use std::hash::{Hash, Hasher};

use pathfinding::directed::bfs::{bfs, bfs_reach};

/// Maximum number of states, which limits memory use. A specification with more states has to be
/// reduced.
const STATES_MAX: usize = 700_000;

/// A state of a specification.
pub trait State: Clone + Eq + Hash + Debug {
    /// Returns all states that are reachable in one step.
    fn successors(&self) -> Vec<Self>;
    /// Returns a description of the invariant that this state violates, if any.
    fn violation(&self) -> Option<&'static str>;
}

/// A state and the length of the shortest path to it. The length is not part of its identity.
#[derive(Clone)]
struct Reached<S> {
    state: S,
    depth: u32,
}

impl<S: PartialEq> PartialEq for Reached<S> {
    fn eq(&self, other: &Self) -> bool {
        self.state == other.state
    }
}

impl<S: Eq> Eq for Reached<S> {}

impl<S: Hash> Hash for Reached<S> {
    fn hash<H: Hasher>(&self, hasher: &mut H) {
        self.state.hash(hasher);
    }
}

impl<S: State> Reached<S> {
    fn successors(&self) -> Vec<Self> {
        let depth = self.depth + 1;
        let states = self.state.successors().into_iter();
        states.map(|state| Self { state, depth }).collect()
    }
}

/// Searches all states. Panics on a violation after printing the shortest path to it.
pub fn assert_safe<S: State>(name: &str, start: &S) {
    let initial = Reached {
        state: start.clone(),
        depth: 0,
    };
    let mut states = 0;
    let mut depth = 0;
    for reached in bfs_reach(initial, Reached::successors) {
        states += 1;
        depth = depth.max(reached.depth);
        assert!(
            states <= STATES_MAX,
            "{name}: more than {STATES_MAX} states"
        );
        if let Some(violation) = reached.state.violation() {
            print_path(start);
            panic!("{name}: {violation} after {} steps", reached.depth);
        }
    }
    println!("{name}: {states} states, depth {depth}");
}

fn print_path<S: State>(start: &S) {
    for (step, state) in path_to_violation(start).into_iter().flatten().enumerate() {
        println!("{step}: {state:?}");
    }
}

/// Panics unless the search finds a violation.
pub fn assert_caught<S: State>(name: &str, start: &S) {
    let path = path_to_violation(start);
    let path = path.unwrap_or_else(|| panic!("no violation found for mutant {name}"));
    let violation = path.last().and_then(State::violation).unwrap_or("");
    println!("{name}: caught after {} steps: {violation}", path.len() - 1);
}

fn path_to_violation<S: State>(start: &S) -> Option<Vec<S>> {
    bfs(start, State::successors, |state| {
        state.violation().is_some()
    })
}
