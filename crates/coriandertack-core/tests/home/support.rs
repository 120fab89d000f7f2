//! A state with two VMs and one team, and the queues of its home.

use coriandertack_core::{
    home::Homes,
    keys::{Incarnation, JobId, Offset, Version, VmKey},
    learn::Learner,
    message::{EndCause, News, Notice},
    record::{Batch, Entry, JobSpec, Join, Kind, Record, TeamChange, TeamSpec},
    resources::Resources,
    state::{Applied, State, Verdict},
};
use tokio::time::Instant;

pub struct Bed {
    pub state: State,
    pub homes: Homes,
    pub learner: Learner,
    pub now: Instant,
    seq: u64,
}

impl Bed {
    /// Returns a bed whose team may hold two cores.
    pub fn new() -> Self {
        let mut bed = Self {
            state: State::default(),
            homes: Homes::default(),
            learner: Learner::default(),
            now: Instant::now(),
            seq: 0,
        };
        bed.apply(join("one")).unwrap();
        let spec = TeamSpec { quota: Resources::new(2_000, 8_192, 0), tokens: Vec::new() };
        let change = TeamChange { name: "vans".into(), expect: Version(0), spec: Some(spec) };
        bed.apply(Record::Team(change)).unwrap();
        bed.sync();
        bed
    }

    pub fn me(&self) -> VmKey {
        self.state.vm_of(Incarnation(1)).unwrap()
    }

    pub fn apply(&mut self, record: Record) -> Verdict {
        self.apply_as(Incarnation(1), record)
    }

    pub fn apply_as(&mut self, author: Incarnation, record: Record) -> Verdict {
        self.seq += 1;
        let entries = vec![Entry { actor: "test".into(), at_ms: 0, record }];
        let batch = Batch { author, seq: self.seq, entries };
        let verdicts = self.state.apply(Offset(self.seq), &batch, self.now);
        verdicts.into_iter().next().unwrap_or(Err(coriandertack_core::code::Code::Fenced))
    }

    pub fn sync(&mut self) {
        let me = self.me();
        self.homes.sync(&self.state, me, self.now);
    }

    pub fn submit(&mut self, name: &str, kind: Kind, tasks: u32, retries: u32) -> JobId {
        let spec = JobSpec {
            team: "vans".into(),
            name: name.into(),
            kind,
            tasks,
            need: Resources::new(500, 256, 0),
            run_ms: 0,
            urgent: false,
            retries,
            command: String::new(),
            key: None,
        };
        let Ok(Applied::Job(job)) = self.apply(Record::Accept(spec)) else {
            panic!("the job is accepted");
        };
        self.sync();
        job
    }

    /// Picks what may be placed now, and returns how many tasks each pick has.
    pub fn pick(&mut self) -> Vec<Vec<coriandertack_core::keys::LeaseId>> {
        let picks = self.homes.pick(&self.learner, self.now, 100);
        picks.into_iter().map(|pick| pick.asks.iter().map(|ask| ask.lease).collect()).collect()
    }

    /// Picks, and counts all tasks as placed here.
    pub fn place(&mut self) -> Vec<coriandertack_core::keys::LeaseId> {
        let leases = self.pick().concat();
        let me = self.me();
        for &lease in &leases {
            self.homes.asked(lease, me, self.now);
            let granted = coriandertack_core::message::Placed::Granted;
            self.homes.placed(lease, me, granted, self.now, self.now);
        }
        leases
    }

    pub fn end(
        &mut self,
        lease: coriandertack_core::keys::LeaseId,
        cause: EndCause,
    ) -> coriandertack_core::home::Verdict {
        let news = News::Ended { cause, run_ms: 10, peak: Resources::ZERO };
        let me = self.me();
        self.homes.notice(me, &Notice { lease, worker: "w".into(), news }, self.now)
    }
}

pub fn join(name: &str) -> Record {
    let address = "127.0.0.1:1".parse().unwrap();
    Record::Join(Join { name: name.into(), zone: "split".into(), link: address, http: address })
}
