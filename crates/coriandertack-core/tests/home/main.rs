//! Tests of the home's queues, of membership and of charges.

mod charges;
mod membership;
mod queues;
mod support;
