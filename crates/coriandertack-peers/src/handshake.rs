//! Mutual authentication of both sides of a connection by a shared key.
//!
//! Each side sends a random nonce and then a MAC over its role and both sides' nonces, sessions and
//! names. The nonces prevent the replay of a proof on another connection, and the roles prevent
//! reflecting a proof back to its sender. Frames are not encrypted, since the links run on the VMs'
//! private network.

use std::{fmt, sync::Arc};

use {
    anyhow::{Context, Result, bail, ensure},
    coriandertack_core::keys::Session,
    hmac::{Hmac, KeyInit, Mac},
    rand::Rng,
    sha2::Sha256,
};

use crate::{
    frames::{self, FrameStream},
    proto::{Hello, Proof, frame::Body},
};

/// Version of the frame protocol. Each side rejects a peer with another version and logs it.
const PROTOCOL_VERSION: u32 = 1;

const NONCE_BYTES: usize = 32;

/// Secret that the settings of all entry VMs of a deployment hold.
#[derive(Clone)]
pub struct SharedKey(Arc<[u8]>);

impl SharedKey {
    /// Copies the bytes of a key.
    #[must_use]
    pub fn new(bytes: &[u8]) -> Self {
        Self(bytes.into())
    }
}

impl fmt::Debug for SharedKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        // The key must not appear in logs.
        f.write_str("SharedKey(..)")
    }
}

/// Identity of the VM at one end of a connection.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Identity {
    /// Name of the VM.
    pub name: String,
    /// Session of the VM, which distinguishes restarts of the same name.
    pub session: Session,
}

/// Side of a connection.
#[derive(Clone, Copy)]
enum Role {
    Dialer,
    Listener,
}

/// Performs the handshake as the side that opened the connection and returns the peer's identity.
///
/// # Errors
///
/// Fails if the peer does not prove that it knows the key, has another protocol version, or closes
/// the connection.
pub async fn as_dialer(
    frames: &mut FrameStream,
    key: &SharedKey,
    local: &Identity,
) -> Result<Identity> {
    perform_handshake(frames, key, local, Role::Dialer).await
}

/// Performs the handshake as the side that accepted the connection and returns the peer's identity.
///
/// # Errors
///
/// Fails as [`as_dialer`] does.
pub async fn as_listener(
    frames: &mut FrameStream,
    key: &SharedKey,
    local: &Identity,
) -> Result<Identity> {
    perform_handshake(frames, key, local, Role::Listener).await
}

async fn perform_handshake(
    frames: &mut FrameStream,
    key: &SharedKey,
    local: &Identity,
    role: Role,
) -> Result<Identity> {
    let local_hello = new_hello(local);
    frames::send(frames, 0, Body::Hello(local_hello.clone())).await?;
    let peer_hello = match frames::receive(frames).await? {
        Some((_, Body::Hello(hello))) => hello,
        _ => bail!("expected a Hello frame from the peer"),
    };
    ensure!(
        peer_hello.version == PROTOCOL_VERSION,
        "unsupported protocol version {} of the peer",
        peer_hello.version
    );
    ensure!(peer_hello.nonce.len() == NONCE_BYTES, "nonce of the peer has the wrong length");

    let (dialer, listener) = match role {
        Role::Dialer => (&local_hello, &peer_hello),
        Role::Listener => (&peer_hello, &local_hello),
    };
    let local_mac = compute_mac(key, role, dialer, listener)?.finalize().into_bytes();
    let proof = Proof { mac: local_mac.to_vec().into() };
    frames::send(frames, 0, Body::Proof(proof)).await?;
    let proof = match frames::receive(frames).await? {
        Some((_, Body::Proof(proof))) => proof,
        _ => bail!("expected a Proof frame from the peer"),
    };
    let peer_role = match role {
        Role::Dialer => Role::Listener,
        Role::Listener => Role::Dialer,
    };
    // `verify_slice` compares in constant time.
    compute_mac(key, peer_role, dialer, listener)?
        .verify_slice(&proof.mac)
        .context("peer proof does not match the shared key")?;
    Ok(Identity { name: peer_hello.name, session: Session(peer_hello.session) })
}

fn new_hello(local: &Identity) -> Hello {
    let mut nonce = [0; NONCE_BYTES];
    rand::rng().fill_bytes(&mut nonce);
    Hello {
        version: PROTOCOL_VERSION,
        name: local.name.clone(),
        session: local.session.0,
        nonce: nonce.to_vec().into(),
    }
}

fn compute_mac(
    key: &SharedKey,
    role: Role,
    dialer: &Hello,
    listener: &Hello,
) -> Result<Hmac<Sha256>> {
    let mut mac = Hmac::<Sha256>::new_from_slice(&key.0).context("invalid shared key")?;
    mac.update(match role {
        Role::Dialer => b"dialer",
        Role::Listener => b"listen",
    });
    for hello in [dialer, listener] {
        mac.update(&hello.nonce);
        mac.update(&hello.session.to_be_bytes());
        mac.update(&(hello.name.len() as u64).to_be_bytes());
        mac.update(hello.name.as_bytes());
    }
    Ok(mac)
}
