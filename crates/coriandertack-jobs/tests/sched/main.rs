//! Decisions of the leader: placement, ends, takeover, advice.

mod advice;
mod colocation;
mod commands;
mod ends;
mod gangs;
mod maintenance;
mod queue;
mod random;
mod replica;
mod speed;
mod support;
mod takeover;
mod timed;
