//! Tests of the home's queues, of membership and of charges.

mod charges;
mod members;
mod queues;
mod support;
