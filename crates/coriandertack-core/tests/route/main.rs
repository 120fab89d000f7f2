//! Decisions on the path of a request, without I/O and with made-up times.

mod admission;
mod ejection;
mod endpoint_table;
mod idempotency;
mod request_length;
mod retries;
mod shares;
mod support;
