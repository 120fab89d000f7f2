//! Decisions of the leader: placement, ends, takeover, advice.

mod adopt;
mod advice;
mod colocation;
mod ends;
mod gangs;
mod orders;
mod queue;
mod random;
mod replica;
mod speed;
mod support;
mod timed;
mod upkeep;
