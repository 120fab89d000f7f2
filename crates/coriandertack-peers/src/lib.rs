//! Links between the entry VMs.
//!
//! Each VM keeps one outgoing connection to each other VM for its own requests ([`dial`]) and serves
//! the connections of the others ([`serve`]). Frames are length-delimited prost messages; both sides
//! prove that they know the shared key before anything else is read ([`handshake`]).

pub mod codec;
pub mod dial;
pub mod handshake;
pub mod leader;
pub mod serve;

mod frames;

/// Messages generated from `proto/peers.proto`; a test holds them to that file.
#[allow(missing_docs, clippy::all)]
mod proto {
    include!("generated/peers.rs");
}

/// Messages generated from `proto/leader.proto`; a test holds them to that file.
#[allow(missing_docs, clippy::all)]
mod leader_proto {
    include!("generated/leader.rs");
}

pub use self::handshake::SharedKey;
