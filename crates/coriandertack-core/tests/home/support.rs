//! A replicated state with one VM and one team, and the team queues of that VM as the team's home.

use coriandertack_core::{
    class_profiles::ClassProfiles,
    home::TeamQueues,
    keys::{Incarnation, JobId, Offset, Version, VmKey},
    message::{EndCause, Notice, TaskEvent},
    record::{Batch, Entry, JobSpec, Kind, Record, TeamChange, TeamSpec, VmInfo},
    resources::Resources,
    state::{ApplyEffect, ApplyResult, State},
};
use tokio::time::Instant;

pub struct TestHome {
    pub state: State,
    pub team_queues: TeamQueues,
    pub profiles: ClassProfiles,
    pub now: Instant,
    seq: u64,
}

impl TestHome {
    /// Returns a home with the team `vans`, whose quota is two cores.
    pub fn new() -> Self {
        let mut home = Self {
            state: State::default(),
            team_queues: TeamQueues::default(),
            profiles: ClassProfiles::default(),
            now: Instant::now(),
            seq: 0,
        };
        home.apply(join("one")).unwrap();
        let spec = TeamSpec { quota: Resources::new(2_000, 8_192, 0), tokens: Vec::new() };
        let change = TeamChange { name: "vans".into(), expect: Version(0), spec: Some(spec) };
        home.apply(Record::Team(change)).unwrap();
        home.sync();
        home
    }

    pub fn this_vm(&self) -> VmKey {
        self.state.vm_of(Incarnation(1)).unwrap()
    }

    pub fn apply(&mut self, record: Record) -> ApplyResult {
        self.apply_as(Incarnation(1), record)
    }

    pub fn apply_as(&mut self, author: Incarnation, record: Record) -> ApplyResult {
        self.seq += 1;
        let entries = vec![Entry { actor: "test".into(), at_ms: 0, record }];
        let batch = Batch { author, seq: self.seq, entries };
        let results = self.state.apply(Offset(self.seq), &batch, self.now);
        results.into_iter().next().unwrap_or(Err(coriandertack_core::code::Code::Fenced))
    }

    pub fn sync(&mut self) {
        let this_vm = self.this_vm();
        self.team_queues.sync(&self.state, this_vm, self.now);
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
        let Ok(ApplyEffect::Job(job)) = self.apply(Record::Accept(spec)) else {
            panic!("the job was not accepted");
        };
        self.sync();
        job
    }

    /// Picks the work that can be placed now, and returns the leases of each pick.
    pub fn pick(&mut self) -> Vec<Vec<coriandertack_core::keys::LeaseId>> {
        let picks = self.team_queues.pick_work(&self.profiles, self.now, 100);
        picks.into_iter().map(|pick| pick.specs.iter().map(|spec| spec.lease).collect()).collect()
    }

    /// Picks work and marks all its tasks as granted by this VM.
    pub fn place(&mut self) -> Vec<coriandertack_core::keys::LeaseId> {
        let leases = self.pick().concat();
        let this_vm = self.this_vm();
        for &lease in &leases {
            self.team_queues.mark_asked(lease, this_vm, self.now);
            let granted = coriandertack_core::message::PlacementOutcome::Granted;
            self.team_queues.handle_placement(lease, this_vm, granted, self.now, self.now);
        }
        leases
    }

    pub fn end(
        &mut self,
        lease: coriandertack_core::keys::LeaseId,
        cause: EndCause,
    ) -> coriandertack_core::home::NoticeAction {
        let event = TaskEvent::Ended { cause, run_ms: 10, peak: Resources::ZERO };
        let this_vm = self.this_vm();
        self.team_queues.handle_notice(
            this_vm,
            &Notice { lease, worker: "w".into(), event },
            self.now,
        )
    }
}

pub fn join(name: &str) -> Record {
    let address = "127.0.0.1:1".parse().unwrap();
    Record::Join(VmInfo { name: name.into(), zone: "split".into(), link: address, http: address })
}
