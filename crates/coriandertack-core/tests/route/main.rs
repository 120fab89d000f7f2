//! Decisions on the path of a request, without I/O and with made-up times.

mod admission;
mod ejection;
mod keys;
mod lanes;
mod retries;
mod shares;
mod support;
mod table;
