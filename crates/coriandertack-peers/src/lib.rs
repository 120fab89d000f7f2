//! Links between the entry VMs.
//!
//! Each VM keeps one outgoing connection to each other VM for its own requests ([`dial`]) and
//! serves the incoming connections of the others ([`serve`]). Frames are length-delimited protobuf
//! messages. Both sides must prove that they know the shared key before they accept any other frame
//! ([`handshake`]). The leader additionally keeps one connection to each VM ([`leader`]).

pub mod codec;
pub mod dial;
pub mod handshake;
pub mod leader;
pub mod serve;

mod frames;

/// Messages generated from `proto/peers.proto`. A test checks that they are up to date.
#[allow(missing_docs, clippy::all)]
mod proto {
    include!("generated/peers.rs");
}

/// Messages generated from `proto/leader.proto`. A test checks that they are up to date.
#[allow(missing_docs, clippy::all)]
mod leader_proto {
    include!("generated/leader.rs");
}

pub use self::handshake::SharedKey;
