//! A small specification of the protocol, explored exhaustively.
//!
//! Each module states one part as a world of a few VMs, workers and messages, lists every step that can
//! happen next, and visits all worlds by breadth-first search. Delays, pauses, crashes and losses are steps
//! like all others. Where a decision is the product's own, the specification calls it. Each safeguard can be
//! left out, and a test shows that the search then finds a counterexample; otherwise the search would
//! prove nothing. docs/FAULTS.md lists the numbers of worlds.

mod append;
mod binding;
mod lease;
mod settings;

use std::{collections::HashSet, fmt::Debug, hash::Hash, time::Duration};

use {pathfinding::prelude::bfs_reach, tokio::time::Instant};

/// Length of a tick. Three ticks are the hold-off, and the validity ends within the third one.
const TICK: Duration = Duration::from_millis(1_100);

/// Returns the instant of a tick.
fn at(base: Instant, tick: u8) -> Instant {
    base + TICK * u32::from(tick)
}

/// Visits every world that can be reached. Returns their number, or the first one that is unsafe.
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
    for world in bfs_reach(start, |world| steps(world)) {
        if !is_safe(&world) {
            return Err(world);
        }
        count += 1;
    }
    Ok(count)
}

/// Steps that can happen next, as changes of the world.
type Changes<'a, W> = Vec<Box<dyn Fn(&mut W) + 'a>>;

/// Returns a world for each change, without those that change nothing.
fn each<W: Clone + Eq + Hash>(world: &W, changes: Changes<'_, W>) -> Vec<W> {
    let mut seen = HashSet::new();
    let changed = changes.into_iter().map(|change| {
        let mut next = world.clone();
        change(&mut next);
        next
    });
    changed.filter(|next| next != world && seen.insert(next.clone())).collect()
}
