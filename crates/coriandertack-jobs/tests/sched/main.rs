//! Decisions of the leader: placement, ends, takeover, advice.

mod adopt;
mod advice;
mod board;
mod colocation;
mod ends;
mod gangs;
mod orders;
mod queue;
mod random;
mod speed;
mod support;
mod timed;
mod upkeep;
