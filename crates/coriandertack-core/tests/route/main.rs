//! Tests of the routing decisions, without I/O and with simulated times.

mod admission;
mod ejection;
mod endpoint_table;
mod idempotency;
mod request_length;
mod retries;
mod shares;
mod support;
