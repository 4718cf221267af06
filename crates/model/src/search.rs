//! Breadth-first search over the reachable states of a model world.

use std::cell::Cell;
use std::fmt;
use std::hash::{Hash, Hasher};
use std::rc::Rc;
use std::time::{Duration, Instant};

use pathfinding::directed::bfs::bfs;

/// System under test: production objects, messages in transit and the faults so far.
pub trait ModelWorld: Clone {
    /// Action of one part of the system, or a fault.
    type Action: Clone + fmt::Debug;
    /// Identity of a state; states with equal keys are visited once.
    type Key: Clone + Eq + Hash;

    /// Returns the identity of this state.
    fn key(&self) -> Self::Key;

    /// Returns the possible actions in this state.
    fn actions(&self) -> Vec<Self::Action>;

    /// Executes an action.
    fn apply(&mut self, action: &Self::Action);

    /// Returns the first property that is violated in this state.
    fn violation(&self) -> Option<PropertyViolation>;
}

/// Property that does not hold in a state.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PropertyViolation {
    /// Name of the property in `docs/SPEC.md`.
    pub name: &'static str,
    /// Observed behavior that violates the property.
    pub observed: String,
}

/// Bounds of a search; the number of states may be infinite because time always advances.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SearchBound {
    /// Maximum number of actions from the start.
    pub max_depth: usize,
    /// Maximum number of expanded states.
    pub max_states: usize,
}

/// Result of a search.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SearchReport {
    /// Number of expanded states.
    pub states: usize,
    /// Number of actions from the start to the farthest expanded state.
    pub depth: usize,
    /// Whether a state was not expanded because of [`SearchBound::max_states`].
    pub truncated: bool,
    /// Duration of the search.
    pub elapsed: Duration,
    /// First violation that was found, with a shortest trace to it.
    pub counterexample: Option<SearchCounterexample>,
}

/// Violated property with the actions that lead to the violation.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SearchCounterexample {
    /// Violated property.
    pub violation: PropertyViolation,
    /// Actions from the start in order.
    pub trace: Vec<String>,
}

impl Default for SearchBound {
    fn default() -> Self {
        Self {
            max_depth: usize::MAX,
            max_states: 1_000_000,
        }
    }
}

impl fmt::Display for SearchReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (states, depth) = (self.states, self.depth);
        write!(f, "{states} states, depth {depth}, {:.1?}", self.elapsed)?;
        if self.truncated {
            write!(f, ", cut off")?;
        }
        match &self.counterexample {
            None => write!(f, ", every property holds"),
            Some(counterexample) => write!(f, "\n{counterexample}"),
        }
    }
}

impl fmt::Display for SearchCounterexample {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.violation.name, self.violation.observed)?;
        self.trace
            .iter()
            .enumerate()
            .try_for_each(|(index, action)| write!(f, "\n{:3}. {action}", index + 1))
    }
}

/// Visits every state that is reachable from `start` within `bound`.
///
/// The search stops at the first violation, whose trace is a shortest one.
pub fn search<W: ModelWorld>(start: W, bound: SearchBound) -> SearchReport {
    let (mut report, path) = explore(start, bound, |world| world.violation().is_some());
    report.counterexample = path.as_deref().and_then(counterexample_of);
    report
}

/// Returns a shortest trace from `start` to a state where `goal` holds; `None` if there is none.
///
/// A trace shows that the relevant states are reachable, so a property does not hold vacuously.
pub fn find_trace<W: ModelWorld>(
    start: W,
    bound: SearchBound,
    goal: impl Fn(&W) -> bool,
) -> Option<Vec<String>> {
    let (_, path) = explore(start, bound, goal);
    path.as_deref().map(action_names)
}

fn explore<W: ModelWorld>(
    start: W,
    bound: SearchBound,
    goal: impl Fn(&W) -> bool,
) -> (SearchReport, Option<Vec<SearchNode<W>>>) {
    let started = Instant::now();
    let states = Cell::new(0);
    let depth = Cell::new(0);
    let truncated = Cell::new(false);
    let path = bfs(
        &SearchNode::start(start),
        |node| {
            if node.depth >= bound.max_depth {
                return Vec::new();
            }
            if states.get() >= bound.max_states {
                truncated.set(true);
                return Vec::new();
            }
            states.set(states.get() + 1);
            depth.set(depth.get().max(node.depth));
            node.successors()
        },
        |node| goal(&node.world),
    );
    let report = SearchReport {
        states: states.get(),
        depth: depth.get(),
        truncated: truncated.get(),
        elapsed: started.elapsed(),
        counterexample: None,
    };
    (report, path)
}

fn action_names<W: ModelWorld>(path: &[SearchNode<W>]) -> Vec<String> {
    let actions = path.iter().filter_map(|node| node.action.as_ref());
    actions.map(|action| format!("{action:?}")).collect()
}

fn counterexample_of<W: ModelWorld>(path: &[SearchNode<W>]) -> Option<SearchCounterexample> {
    let violation = path.last()?.world.violation()?;
    let trace = action_names(path);
    Some(SearchCounterexample { violation, trace })
}

/// State with the action that first led to it; nodes with equal keys are equal.
struct SearchNode<W: ModelWorld> {
    key: W::Key,
    world: Rc<W>,
    action: Option<W::Action>,
    depth: usize,
}

impl<W: ModelWorld> SearchNode<W> {
    fn start(world: W) -> Self {
        Self {
            key: world.key(),
            world: Rc::new(world),
            action: None,
            depth: 0,
        }
    }

    fn successors(&self) -> Vec<Self> {
        let actions = self.world.actions();
        actions
            .into_iter()
            .map(|action| {
                let mut world = W::clone(&self.world);
                world.apply(&action);
                Self {
                    key: world.key(),
                    world: Rc::new(world),
                    action: Some(action),
                    depth: self.depth + 1,
                }
            })
            .collect()
    }
}

impl<W: ModelWorld> Clone for SearchNode<W> {
    fn clone(&self) -> Self {
        Self {
            key: self.key.clone(),
            world: Rc::clone(&self.world),
            action: self.action.clone(),
            depth: self.depth,
        }
    }
}

impl<W: ModelWorld> PartialEq for SearchNode<W> {
    fn eq(&self, other: &Self) -> bool {
        self.key == other.key
    }
}

impl<W: ModelWorld> Eq for SearchNode<W> {}

impl<W: ModelWorld> Hash for SearchNode<W> {
    fn hash<H: Hasher>(&self, state: &mut H) {
        self.key.hash(state);
    }
}
