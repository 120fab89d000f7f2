//! The leader's input queue: records read from the intake topic, and records forwarded by VMs.

use std::{mem, pin::pin, time::Duration};

use {
    coriandertack_jobs::{boot_time::BootTime, replica::ReplicaRecord},
    coriandertack_peers::leader::{ForwardOutcome, ForwardedRecord},
    tokio::{sync::mpsc, time::sleep},
};

use super::clock;

/// Age of an append beyond which records that are not part of it are refused, in milliseconds. A slow store takes about
/// 500 ms: the append and its response each take 60 times as long as usual.
const STALLED_MS: u64 = 800;

/// A record for the leader to apply.
#[derive(Debug)]
pub enum Arrival {
    /// A record read from the intake topic, which is durable.
    Read(ReplicaRecord),
    /// A record forwarded by a VM, which is not durable yet.
    Forwarded(ForwardedRecord),
}

/// The receiving end of the leader's input queue.
pub struct Arrivals {
    queue: mpsc::UnboundedReceiver<Arrival>,
    /// Arrivals received while an append was in flight.
    deferred: Vec<Arrival>,
}

impl Arrivals {
    /// Creates the receiving end for a queue.
    #[must_use]
    pub const fn new(queue: mpsc::UnboundedReceiver<Arrival>) -> Self {
        Self { queue, deferred: Vec::new() }
    }

    /// Takes all arrivals without waiting.
    pub fn drain(&mut self) -> Vec<Arrival> {
        let mut arrivals = mem::take(&mut self.deferred);
        while let Ok(arrival) = self.queue.try_recv() {
            arrivals.push(arrival);
        }
        arrivals
    }

    /// Waits for an append. Once it has stalled, forwarded records that are not part of it are refused, so that callers
    /// learn in time that their jobs were not accepted.
    pub async fn refuse_during<T>(
        &mut self,
        append: impl Future<Output = T>,
        started: BootTime,
    ) -> T {
        let mut append = pin!(append);
        loop {
            let left = started.plus_ms(STALLED_MS).ms_since(clock::now());
            if left == 0 {
                for arrival in self.drain() {
                    self.refuse_forwarded(arrival);
                }
            }
            tokio::select! {
                result = &mut append => return result,
                Some(arrival) = self.queue.recv() => match left {
                    0 => self.refuse_forwarded(arrival),
                    _ => self.deferred.push(arrival),
                },
                () = sleep(Duration::from_millis(left)), if left > 0 => {}
            }
        }
    }

    fn refuse_forwarded(&mut self, arrival: Arrival) {
        match arrival {
            Arrival::Forwarded(forwarded) => {
                // The receiver is gone if the VM's link has closed.
                let _disconnected = forwarded.outcome.send(ForwardOutcome::Refused);
            }
            Arrival::Read(record) => self.deferred.push(Arrival::Read(record)),
        }
    }
}
