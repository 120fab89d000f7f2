//! Applies batches of records to the state.

use {derive_more::Display, tokio::time::Instant};

use crate::{
    code::Code,
    keys::{Incarnation, JobId, Offset, Session, Version},
    record::{Batch, Cordon, Entry, Record, SettingChange, SnapshotPart, TeamChange},
    state::{AuthorState, Ownership, Setting, State, Team},
    validity::HOLD_OFF,
};

/// Effect of a record that was valid.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
pub enum ApplyEffect {
    /// The change was made.
    #[display("done")]
    Done,
    /// There was nothing to change.
    #[display("unchanged")]
    Unchanged,
    /// The author became a member with this session.
    #[display("session {_0}")]
    Session(Session),
    /// The team or setting now has this version.
    #[display("version {_0}")]
    Version(Version),
    /// The job was accepted, now or by an earlier submission with the same key, under this identifier.
    #[display("job {_0}")]
    Job(JobId),
}

/// Result of a record: its effect, or the reason why it is void.
pub type ApplyResult = Result<ApplyEffect, Code>;

impl State {
    /// Applies the batch at `offset`, which was read at the local time `now`.
    ///
    /// Returns one result for each entry, or none if the whole batch is void because it is a duplicate or
    /// its author is not a member.
    pub fn apply(&mut self, offset: Offset, batch: &Batch, now: Instant) -> Vec<ApplyResult> {
        self.offset = offset;
        if !self.admit(batch) {
            return Vec::new();
        }
        let entries = batch.entries.iter().enumerate();
        entries
            .map(|(index, entry)| self.apply_entry(offset, index, batch.author, entry, now))
            .collect()
    }

    /// Returns whether the batch is valid, and records its sequence number if so.
    fn admit(&mut self, batch: &Batch) -> bool {
        let is_join = matches!(batch.entries.first(), Some(Entry { record: Record::Join(_), .. }));
        let unknown_author = AuthorState { seq: 0, session: None, ended: false };
        let author = self.authors.get(&batch.author).copied().unwrap_or(unknown_author);
        if author.ended || batch.seq <= author.seq || author.session.is_none() != is_join {
            return false;
        }
        // A void batch leaves no trace, so that batches of unknown authors cannot fill the memory.
        self.authors.insert(batch.author, AuthorState { seq: batch.seq, ..author });
        true
    }

    fn apply_entry(
        &mut self,
        offset: Offset,
        index: usize,
        author: Incarnation,
        entry: &Entry,
        now: Instant,
    ) -> ApplyResult {
        let before = self.audited_value_before(&entry.record);
        let result = match &entry.record {
            _ if self.authors[&author].ended => Err(Code::Fenced),
            Record::Join(join) => self.join(author, join, offset, now),
            Record::Leave => self.leave(author, offset, now),
            Record::Fence(session) => self.fence(*session, offset, now),
            Record::Workers(infos) => self.observe_workers(infos, offset, now),
            Record::WorkersGone(names) => self.remove_workers(names, offset, now),
            Record::Cordon(cordon) => self.cordon(cordon),
            Record::Team(change) => self.change_team(change, offset, now),
            Record::Setting(change) => self.change_setting(change),
            Record::Accept(spec) => self.accept(JobId::new(offset, index), spec, entry.at_ms),
            Record::Cancel(job) => self.cancel(*job),
            Record::Ended(ends) => self.end_tasks(ends),
            Record::Usage(spans) => self.charge(spans),
            Record::Refused(refusal) => Err(refusal.code),
            Record::Snapshot(part) => self.record_snapshot(part),
        };
        self.push_audit_entry(offset, index, entry, before, result);
        result
    }

    /// Records a snapshot once its last part is read; its author appends the parts in order.
    fn record_snapshot(&mut self, part: &SnapshotPart) -> ApplyResult {
        if part.part + 1 == part.parts {
            self.snapshot_base = self.snapshot_base.max(part.base);
        }
        Ok(ApplyEffect::Done)
    }

    fn cordon(&mut self, cordon: &Cordon) -> ApplyResult {
        let key = *self.worker_names.get(&cordon.worker).ok_or(Code::NotFound)?;
        let worker = &mut self.workers[key];
        if worker.cordoned == cordon.cordoned {
            return Ok(ApplyEffect::Unchanged);
        }
        worker.cordoned = cordon.cordoned;
        Ok(ApplyEffect::Done)
    }

    fn change_team(&mut self, change: &TeamChange, offset: Offset, now: Instant) -> ApplyResult {
        let known = self.team_names.get(&change.name).copied();
        let version = match known {
            Some(key) => self.teams[key].version,
            None => Version(0),
        };
        if version != change.expect {
            return Err(Code::Conflict);
        }
        let last = self.removed_teams.get(&change.name).copied().unwrap_or(version);
        let version = last.max(version).next();
        match (known, &change.spec) {
            (None, None) => return Err(Code::NotFound),
            (Some(key), None) => self.remove_team(key, version)?,
            (Some(key), Some(spec)) => {
                self.teams[key].spec = spec.clone();
                self.teams[key].version = version;
            }
            (None, Some(spec)) => {
                self.removed_teams.remove(&change.name);
                let home = Ownership::vacant(now);
                let name = change.name.clone();
                let team = Team { name: name.clone(), version, spec: spec.clone(), home };
                let key = self.teams.insert(team);
                self.team_names.insert(name, key);
                self.rebalance(offset, now + HOLD_OFF);
            }
        }
        Ok(ApplyEffect::Version(version))
    }

    /// Removes a team. A team with live jobs cannot be removed, because its jobs would have no home.
    fn remove_team(&mut self, key: crate::keys::TeamKey, version: Version) -> Result<(), Code> {
        let name = self.teams[key].name.clone();
        if self.jobs.live_jobs_of(&name).next().is_some() {
            return Err(Code::Conflict);
        }
        self.teams.remove(key);
        self.team_names.remove(&name);
        self.removed_teams.insert(name, version);
        Ok(())
    }

    fn change_setting(&mut self, change: &SettingChange) -> ApplyResult {
        let current = self.settings.get(&change.name);
        let version = current.map_or(Version(0), |setting| setting.version);
        if version != change.expect {
            return Err(Code::Conflict);
        }
        let version = version.next();
        let setting = Setting { version, value: change.value.clone() };
        self.settings.insert(change.name.clone(), setting);
        Ok(ApplyEffect::Version(version))
    }
}
