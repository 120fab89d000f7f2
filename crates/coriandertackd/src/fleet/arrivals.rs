//! What arrives for the leader: records that were read from the intake, and records that VMs handed in.

use std::{mem, pin::pin, time::Duration};

use {
    coriandertack_jobs::{boot_time::BootTime, replica::ReplicaRecord},
    coriandertack_peers::leader::{Handed, Taken},
    tokio::{sync::mpsc, time::sleep},
};

use super::clock;

/// Age of an append from which records that are no part of it are refused, in milliseconds. A slow store takes some
/// 500 ms: 60 times as long for the append and for its answer.
const STALLED_MS: u64 = 800;

/// Something that callers want.
#[derive(Debug)]
pub enum Arrival {
    /// It was read from the intake.
    Read(ReplicaRecord),
    /// A VM handed it in. It is not durable yet.
    Handed(Handed),
}

/// What has arrived for the leader's loop.
pub struct Arrivals {
    queue: mpsc::UnboundedReceiver<Arrival>,
    /// Arrivals that were looked at while an append was under way.
    kept: Vec<Arrival>,
}

impl Arrivals {
    /// Returns the arrivals of a queue.
    #[must_use]
    pub const fn new(queue: mpsc::UnboundedReceiver<Arrival>) -> Self {
        Self { queue, kept: Vec::new() }
    }

    /// Takes what has arrived.
    pub fn take(&mut self) -> Vec<Arrival> {
        let mut arrivals = mem::take(&mut self.kept);
        while let Ok(arrival) = self.queue.try_recv() {
            arrivals.push(arrival);
        }
        arrivals
    }

    /// Waits for an append. Once it has stalled, records of callers that are no part of it are refused, so that
    /// the callers hear in time that their jobs were not accepted.
    pub async fn refuse_during<T>(
        &mut self,
        append: impl Future<Output = T>,
        started: BootTime,
    ) -> T {
        let mut append = pin!(append);
        loop {
            let left = started.plus_ms(STALLED_MS).ms_since(clock::now());
            if left == 0 {
                for arrival in self.take() {
                    self.refuse(arrival);
                }
            }
            tokio::select! {
                result = &mut append => return result,
                Some(arrival) = self.queue.recv() => match left {
                    0 => self.refuse(arrival),
                    _ => self.kept.push(arrival),
                },
                () = sleep(Duration::from_millis(left)), if left > 0 => {}
            }
        }
    }

    fn refuse(&mut self, arrival: Arrival) {
        match arrival {
            Arrival::Handed(handed) => {
                // The VM may have lost its link.
                let _gone = handed.outcome.send(Taken::Refused);
            }
            Arrival::Read(note) => self.kept.push(Arrival::Read(note)),
        }
    }
}
