//! Search of all reachable states, and the shortest path to a violation.

use std::fmt::Debug;
use std::hash::{Hash, Hasher};

use pathfinding::directed::bfs::{bfs, bfs_reach};

/// Guards the machine's memory: a specification with more states is to be made smaller.
const STATES_MAX: usize = 700_000;

/// A state of a specification.
pub trait State: Clone + Eq + Hash + Debug {
    /// All states after one step.
    fn successors(&self) -> Vec<Self>;
    /// What is wrong with this state.
    fn violation(&self) -> Option<&'static str>;
}

/// A state and the length of the shortest path to it, which its identity leaves out.
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

/// Searches all states and fails on a violation, printing the shortest path to it.
pub fn assert_safe<S: State>(name: &str, start: &S) {
    let first = Reached {
        state: start.clone(),
        depth: 0,
    };
    let mut states = 0;
    let mut depth = 0;
    for reached in bfs_reach(first, Reached::successors) {
        states += 1;
        depth = depth.max(reached.depth);
        assert!(
            states <= STATES_MAX,
            "{name}: more than {STATES_MAX} states"
        );
        if let Some(what) = reached.state.violation() {
            print_path(start);
            panic!("{name}: {what} after {} steps", reached.depth);
        }
    }
    println!("{name}: {states} states, depth {depth}");
}

fn print_path<S: State>(start: &S) {
    for (step, state) in path_to_violation(start).into_iter().flatten().enumerate() {
        println!("{step}: {state:?}");
    }
}

/// Fails unless the search finds a violation.
pub fn assert_caught<S: State>(name: &str, start: &S) {
    let path = path_to_violation(start);
    let path = path.unwrap_or_else(|| panic!("the checker misses the mutant {name}"));
    let what = path.last().and_then(State::violation).unwrap_or("");
    println!("{name}: caught after {} steps: {what}", path.len() - 1);
}

fn path_to_violation<S: State>(start: &S) -> Option<Vec<S>> {
    bfs(start, State::successors, |state| {
        state.violation().is_some()
    })
}
