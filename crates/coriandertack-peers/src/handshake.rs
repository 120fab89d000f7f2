//! Mutual proof that both sides of a connection know the shared key.
//!
//! Each side sends a random nonce and then a MAC over both nonces, its role and both names. A recorded
//! proof is of no use on another connection, since the nonces differ, and a proof cannot be returned to
//! its sender, since the roles differ. Frames are not encrypted; the links run on the VMs' own network.

use std::{fmt, sync::Arc};

use {
    anyhow::{Context, Result, bail, ensure},
    coriandertack_core::keys::Session,
    hmac::{Hmac, KeyInit, Mac},
    rand::Rng,
    sha2::Sha256,
};

use crate::{
    frames::{self, Frames},
    proto::{Hello, Proof, frame::Body},
};

/// Version of the frames. Versions that differ refuse each other, and both sides log it.
const VERSION: u32 = 1;

const NONCE_BYTES: usize = 32;

/// The key that all entry VMs of a deployment have in their settings.
#[derive(Clone)]
pub struct SharedKey(Arc<[u8]>);

impl SharedKey {
    /// Wraps the bytes of a key.
    #[must_use]
    pub fn new(bytes: &[u8]) -> Self {
        Self(bytes.into())
    }
}

impl fmt::Debug for SharedKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        // The key must not reach a log.
        f.write_str("SharedKey(..)")
    }
}

/// Who is at an end of a connection.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Identity {
    /// Name of the VM.
    pub name: String,
    /// Its session.
    pub session: Session,
}

#[derive(Clone, Copy)]
enum Role {
    Dialer,
    Listener,
}

/// Proves the key as the side that opened the connection and returns the other side's identity.
///
/// # Errors
///
/// Fails if the other side does not prove the key, speaks another version or closes the connection.
pub async fn as_dialer(frames: &mut Frames, key: &SharedKey, me: &Identity) -> Result<Identity> {
    exchange(frames, key, me, Role::Dialer).await
}

/// Proves the key as the side that accepted the connection and returns the other side's identity.
///
/// # Errors
///
/// Fails as [`as_dialer`] does.
pub async fn as_listener(frames: &mut Frames, key: &SharedKey, me: &Identity) -> Result<Identity> {
    exchange(frames, key, me, Role::Listener).await
}

async fn exchange(
    frames: &mut Frames,
    key: &SharedKey,
    me: &Identity,
    role: Role,
) -> Result<Identity> {
    let mine = hello(me);
    frames::send(frames, 0, Body::Hello(mine.clone())).await?;
    let theirs = match frames::receive(frames).await? {
        Some((_, Body::Hello(hello))) => hello,
        _ => bail!("the peer sent no hello"),
    };
    ensure!(theirs.version == VERSION, "the peer speaks version {}", theirs.version);
    ensure!(theirs.nonce.len() == NONCE_BYTES, "the peer sent a nonce of the wrong length");

    let (dialer, listener) = match role {
        Role::Dialer => (&mine, &theirs),
        Role::Listener => (&theirs, &mine),
    };
    let own = mac(key, role, dialer, listener)?.finalize().into_bytes();
    let proof = Proof { mac: own.to_vec().into() };
    frames::send(frames, 0, Body::Proof(proof)).await?;
    let proof = match frames::receive(frames).await? {
        Some((_, Body::Proof(proof))) => proof,
        _ => bail!("the peer sent no proof"),
    };
    let other = match role {
        Role::Dialer => Role::Listener,
        Role::Listener => Role::Dialer,
    };
    // The comparison takes constant time.
    mac(key, other, dialer, listener)?
        .verify_slice(&proof.mac)
        .context("the peer does not know the shared key")?;
    Ok(Identity { name: theirs.name, session: Session(theirs.session) })
}

fn hello(me: &Identity) -> Hello {
    let mut nonce = [0; NONCE_BYTES];
    rand::rng().fill_bytes(&mut nonce);
    Hello {
        version: VERSION,
        name: me.name.clone(),
        session: me.session.0,
        nonce: nonce.to_vec().into(),
    }
}

fn mac(key: &SharedKey, role: Role, dialer: &Hello, listener: &Hello) -> Result<Hmac<Sha256>> {
    let mut mac = Hmac::<Sha256>::new_from_slice(&key.0).context("unusable shared key")?;
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
