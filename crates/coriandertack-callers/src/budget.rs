//! Budget of the bytes of unfinished requests, and the rule that decides whose request is given up when it is exhausted.
//!
//! Each head or body that is being received is a receiver in an arena. Bytes are reserved for a receiver before they are
//! kept. If they do not fit, the receivers that have held the most for the longest are closed: those with the highest
//! product of bytes and time. A client that sends at a usual speed is finished before it is [`NEW_TIME`] old, and is never
//! chosen before that; a client that holds little, or has not held it for long, comes after those that hold much and do
//! not go on. If nobody can be chosen, the request that asks is refused.
//!
//! Large bodies cannot use the whole budget: a part is left for the first [`SMALL_BYTES`] of each receiver, so that
//! ordinary submissions are accepted while large bodies arrive faster than the rule may close them.
//!
//! The load that this handles: as many receivers as a process has connections, a few thousand, of which all may ask for
//! room again and again. A request for room costs constant time while there is room, and a pass over all receivers when
//! there is none.

use std::{cmp::Reverse, time::Duration};

use {
    slotmap::{SlotMap, new_key_type},
    tokio::time::Instant,
};

/// Age below which a receiver is never closed for room. It is a third of the time for which callers wait for a response,
/// and many times what a body of the largest size takes on a link of 10 Mbit/s.
pub const NEW_TIME: Duration = Duration::from_millis(1_000);

/// Bytes of each receiver that may use the whole budget: a submission with a payload of 4,000 bytes and its steps.
pub const SMALL_BYTES: usize = 8 * 1_024;

/// Part of the budget that is added for the first [`SMALL_BYTES`] of receivers, as a divisor.
const SMALL_SHARE: usize = 4;

new_key_type! {
    /// Key of a head or body that is being received.
    pub struct ReceiverKey;
}

/// There is no room for a request: it is refused, or its connection is closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, derive_more::Display, derive_more::Error)]
#[display("no room")]
pub struct NoRoom;

/// A receiver that was closed to make room.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Closed {
    /// Its former key.
    pub key: ReceiverKey,
    /// What it held.
    pub bytes: usize,
    /// Since when it had been open.
    pub since: Instant,
}

/// A head or body, and what is reserved for it.
#[derive(Clone, Copy, Debug)]
struct Holding {
    bytes: usize,
    since: Instant,
    /// Whether bytes are still to come. A finished request is being served, so it cannot be closed.
    receiving: bool,
}

impl Holding {
    /// Returns whether the rule may close this receiver.
    fn can_close(&self, now: Instant) -> bool {
        self.receiving && now.saturating_duration_since(self.since) >= NEW_TIME
    }

    /// Returns the product of bytes and milliseconds. A receiver without bytes still takes a connection.
    fn rank(&self, now: Instant) -> u128 {
        now.saturating_duration_since(self.since).as_millis() * (self.bytes as u128 + 1)
    }
}

/// Bytes reserved for all requests that are being received.
#[derive(Debug)]
pub struct Budget {
    /// Bytes for bodies of any size.
    large_bytes: usize,
    held_bytes: usize,
    receivers: SlotMap<ReceiverKey, Holding>,
}

impl Budget {
    /// Creates a budget of `bytes` for bodies of any size, and a quarter more for the first bytes of each.
    #[must_use]
    pub fn new(bytes: usize) -> Self {
        Self { large_bytes: bytes, held_bytes: 0, receivers: SlotMap::default() }
    }

    /// Raises the budget to one body of the maximum size, so that a single request is served however small the memory
    /// is.
    pub fn admit_body(&mut self, max_bytes: usize) {
        self.large_bytes = self.large_bytes.max(max_bytes);
    }

    /// Returns the number of reserved bytes.
    #[must_use]
    pub const fn held_bytes(&self) -> usize {
        self.held_bytes
    }

    /// Returns what is reserved for a receiver, or `None` if it was closed.
    #[must_use]
    pub fn bytes_of(&self, key: ReceiverKey) -> Option<usize> {
        self.receivers.get(key).map(|holding| holding.bytes)
    }

    /// Adds a receiver that holds nothing.
    pub fn add(&mut self, now: Instant) -> ReceiverKey {
        self.receivers.insert(Holding { bytes: 0, since: now, receiving: true })
    }

    /// Removes a receiver and releases its bytes.
    pub fn remove(&mut self, key: ReceiverKey) {
        let _removed = self.close(key);
    }

    fn close(&mut self, key: ReceiverKey) -> Option<Closed> {
        let Holding { bytes, since, .. } = self.receivers.remove(key)?;
        self.held_bytes -= bytes;
        Some(Closed { key, bytes, since })
    }

    /// Starts the next message of a receiver, which holds nothing yet. Its age counts from `now`.
    pub fn restart(&mut self, key: ReceiverKey, now: Instant) {
        if let Some(holding) = self.receivers.get_mut(key) {
            self.held_bytes -= holding.bytes;
            *holding = Holding { bytes: 0, since: now, receiving: true };
        }
    }

    /// Marks a receiver as finished with `bytes` in all. It holds them until it is removed, and is not closed.
    pub fn finish(&mut self, key: ReceiverKey, bytes: usize) {
        if let Some(holding) = self.receivers.get_mut(key) {
            self.held_bytes = self.held_bytes - holding.bytes + bytes;
            holding.bytes = bytes;
            holding.receiving = false;
        }
    }

    /// Reserves `bytes` in all for a receiver. Returns the receivers that are closed for it, which have been removed.
    ///
    /// # Errors
    ///
    /// Fails if the receiver was closed, or would not fit after all that come before it in the order were closed. No
    /// receiver is closed then.
    pub fn reserve(
        &mut self,
        key: ReceiverKey,
        bytes: usize,
        now: Instant,
    ) -> Result<Vec<Closed>, NoRoom> {
        let held = self.receivers.get(key).ok_or(NoRoom)?.bytes;
        let limit = match bytes <= SMALL_BYTES {
            true => self.large_bytes + self.large_bytes / SMALL_SHARE,
            false => self.large_bytes,
        };
        let total = self.held_bytes - held + bytes;
        let chosen = if bytes <= held || total <= limit {
            Vec::new()
        } else {
            self.choose(key, total - limit, now)?
        };
        let closed = chosen.into_iter().filter_map(|key| self.close(key)).collect();
        if let Some(holding) = self.receivers.get_mut(key) {
            self.held_bytes = self.held_bytes - held + bytes;
            holding.bytes = bytes;
        }
        Ok(closed)
    }

    /// Chooses receivers that hold at least `bytes` together, for the receiver `asking`.
    fn choose(
        &self,
        asking: ReceiverKey,
        bytes: usize,
        now: Instant,
    ) -> Result<Vec<ReceiverKey>, NoRoom> {
        let closable = self.receivers.iter().filter(|(_, holding)| holding.can_close(now));
        let mut ranked: Vec<_> = closable
            .filter(|(_, holding)| holding.bytes > 0)
            .map(|(key, holding)| (Reverse(holding.rank(now)), key, holding.bytes))
            .collect();
        ranked.sort_unstable();
        let mut freed = 0;
        let mut chosen = Vec::new();
        // Those that come after the one that asks are not closed for it.
        for (_, key, held) in ranked.into_iter().take_while(|(_, key, _)| *key != asking) {
            freed += held;
            chosen.push(key);
            if freed >= bytes {
                return Ok(chosen);
            }
        }
        Err(NoRoom)
    }

    /// Chooses and removes the first receiver to be closed because its connection is needed, if there is one.
    pub fn close_first(&mut self, now: Instant) -> Option<Closed> {
        let closable = self.receivers.iter().filter(|(_, holding)| holding.can_close(now));
        let (key, _) = closable.max_by_key(|(_, holding)| holding.rank(now))?;
        self.close(key)
    }
}
