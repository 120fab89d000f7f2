//! Exhaustive model checking of the protocol.
//!
//! Each module models one part of the protocol with a few VMs, workers and messages. Its step function returns every
//! possible successor of a state, and a breadth-first search visits all reachable states. Delays, pauses, crashes and
//! message losses are steps like any other. Where the product makes a decision, the model calls the product's code.
//! Each safeguard can be disabled, and a test shows that the search then finds a counterexample. Without these tests,
//! a model too weak to reach an unsafe state would go unnoticed. docs/FAULTS.md lists the numbers of states.

mod append;
mod binding;
mod lease;
mod settings;

use std::{collections::HashSet, fmt::Debug, hash::Hash, time::Duration};

use {pathfinding::prelude::bfs_reach, tokio::time::Instant};

/// Length of a tick. The hold-off lasts three ticks, and the validity ends within the third one.
const TICK: Duration = Duration::from_millis(1_100);

/// Returns the instant at which a tick starts.
fn at(base: Instant, tick: u8) -> Instant {
    base + TICK * u32::from(tick)
}

/// Visits every reachable state. Returns the number of states, or the first unsafe one as an error.
fn explore<W, S, I>(
    start: W,
    mut steps: impl FnMut(&W) -> S,
    is_safe: impl Fn(&W) -> bool,
) -> Result<usize, W>
where
    W: Clone + Eq + Hash + Debug,
    S: IntoIterator<Item = W, IntoIter = I>,
    I: Iterator<Item = W>,
{
    let mut count = 0;
    for state in bfs_reach(start, |state| steps(state)) {
        if !is_safe(&state) {
            return Err(state);
        }
        count += 1;
    }
    Ok(count)
}

/// Possible next steps, as changes of a state.
type Changes<'a, W> = Vec<Box<dyn Fn(&mut W) + 'a>>;

/// Returns the distinct successors of a state, without those equal to it.
fn successors<W: Clone + Eq + Hash>(state: &W, changes: Changes<'_, W>) -> Vec<W> {
    let mut seen = HashSet::new();
    let changed = changes.into_iter().map(|change| {
        let mut next = state.clone();
        change(&mut next);
        next
    });
    changed.filter(|next| next != state && seen.insert(next.clone())).collect()
}
