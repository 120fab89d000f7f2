//! Tests of the home's team queues, of cluster membership and of usage charging.

mod charges;
mod membership;
mod queues;
mod support;
