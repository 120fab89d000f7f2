//! The cells of the matrix: what callers of the workers meet, for how long, and what else fails meanwhile.

use {
    coriandertack_standins::platform::{
        link::Link,
        machines::{self, RowFault},
        store,
    },
    nix::sys::signal::Signal,
};

/// Durations of a cut, in milliseconds: shorter and longer than a lease.
const LENGTHS_MS: [u64; 2] = [2_000, 8_000];

/// Moments of a cut at which a caller submits a job, in milliseconds.
const SUBMISSIONS_MS: [u64; 4] = [200, 1_100, 2_600, 5_000];

/// Time for which the leader is paused, and for which the store is silent, in milliseconds.
const PAUSE_MS: u64 = 2_500;
const STORE_SILENCE_MS: u64 = 3_000;

/// Time after which the entry of a worker lapses that cannot reach the store either, in milliseconds.
const LAPSE_MS: u64 = 3_000;

/// Age of the listings of a machine API that lags, in milliseconds. A worker is cut off while they are from before it
/// joined.
const LAG_MS: u64 = 6_000;

/// When a worker starts again under its id.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Restart {
    Never,
    /// Shortly before the cut, so that a start for its former incarnation may reach it.
    Before,
    /// Behind the cut.
    Behind,
}

/// What callers of the workers meet.
#[derive(Clone, Copy, Debug)]
pub struct Kind {
    pub name: &'static str,
    pub link: Link,
    pub restart: Restart,
}

const KINDS: [Kind; 11] = [
    Kind { name: "refuse", link: Link::Refuse, restart: Restart::Never },
    Kind { name: "reset", link: Link::Reset, restart: Restart::Never },
    Kind { name: "close", link: Link::Close, restart: Restart::Never },
    Kind { name: "silent", link: Link::Silent, restart: Restart::Never },
    Kind { name: "lost-answers", link: Link::LostAnswers, restart: Restart::Never },
    Kind { name: "full", link: Link::Full, restart: Restart::Never },
    Kind { name: "half-silent", link: Link::HalfSilent, restart: Restart::Never },
    Kind { name: "half-reset", link: Link::HalfReset, restart: Restart::Never },
    Kind { name: "reborn", link: Link::Refuse, restart: Restart::Behind },
    Kind { name: "reborn-before", link: Link::Silent, restart: Restart::Before },
    Kind { name: "reborn-half", link: Link::HalfSilent, restart: Restart::Before },
];

/// What the machines of the workers had before the workers joined.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Former {
    Nothing,
    Worker,
    Down,
}

/// What else fails during a cut.
#[derive(Clone, Copy, Debug)]
pub struct Beside {
    pub name: &'static str,
    pub leader: Option<Signal>,
    pub store: store::Faults,
    pub machines: machines::Faults,
    /// Whether the machine API fails from the cut on. Otherwise it does so from before the workers join.
    pub late: bool,
    pub former: Former,
}

impl Beside {
    fn new(name: &'static str) -> Self {
        Self {
            name,
            leader: None,
            store: store::Faults::default(),
            machines: machines::Faults::default(),
            late: false,
            former: Former::Nothing,
        }
    }

    fn machines(name: &'static str, machines: machines::Faults) -> Self {
        Self { machines, ..Self::new(name) }
    }

    fn row(name: &'static str, fault: RowFault) -> Self {
        Self::machines(name, machines::Faults { row: Some(fault), ..Default::default() })
    }

    fn lag(name: &'static str, former: Former) -> Self {
        let lagging = machines::Faults { lag_ms: LAG_MS, ..Default::default() };
        Self { former, ..Self::machines(name, lagging) }
    }
}

/// Returns what may fail beside a cut, except for the machine API.
pub fn events() -> Vec<Beside> {
    let silent = store::Faults { silent: true, ..Default::default() };
    vec![
        Beside::new("alone"),
        Beside { leader: Some(Signal::SIGKILL), ..Beside::new("leader-killed") },
        Beside { leader: Some(Signal::SIGSTOP), ..Beside::new("leader-paused") },
        Beside { store: silent, ..Beside::new("store-silent") },
    ]
}

/// Returns the faults of the machine API.
pub fn listings() -> Vec<Beside> {
    let faults = machines::Faults::default;
    let late = |beside: Beside| Beside { late: true, ..beside };
    vec![
        late(Beside::machines("late-empty", machines::Faults { empty: true, ..faults() })),
        late(Beside::lag("late-lag-no-row", Former::Nothing)),
        late(Beside::lag("late-lag-former-worker", Former::Worker)),
        late(Beside::lag("late-lag-down", Former::Down)),
        late(Beside::row("late-row-missing", RowFault::Missing)),
        late(Beside::row("late-row-unknown-state", RowFault::UnknownState)),
        late(Beside::row("late-row-null-id", RowFault::NullId)),
        Beside::machines("machines-down", machines::Faults { down: true, ..faults() }),
        Beside::machines("machines-silent", machines::Faults { silent: true, ..faults() }),
        Beside::machines("machines-empty", machines::Faults { empty: true, ..faults() }),
        Beside::lag("lag-no-row", Former::Nothing),
        Beside::lag("lag-former-worker", Former::Worker),
        Beside::lag("lag-down", Former::Down),
        Beside::row("row-missing", RowFault::Missing),
        Beside::row("row-unknown-state", RowFault::UnknownState),
        Beside::row("row-null-id", RowFault::NullId),
        Beside::row("row-number-id", RowFault::NumberId),
        Beside::row("row-empty-id", RowFault::EmptyId),
        Beside::row("row-former-id", RowFault::FormerId),
        Beside::row("row-doubled", RowFault::Doubled),
    ]
}

#[derive(Clone, Copy, Debug)]
pub struct Cell {
    pub kind: Kind,
    length_ms: u64,
    pub beside: Beside,
}

impl Cell {
    pub fn name(&self) -> String {
        format!("{}/{}ms/{}", self.kind.name, self.length_ms, self.beside.name)
    }
}

pub fn all_cells() -> Vec<Cell> {
    let mut cells = Vec::new();
    for kind in KINDS {
        for length_ms in LENGTHS_MS {
            let besides = events().into_iter().chain(listings());
            cells.extend(besides.map(|beside| Cell { kind, length_ms, beside }));
        }
    }
    cells
}

/// Returns cells that contain each kind and each fault at least once.
pub fn short_cells() -> Vec<Cell> {
    // Listings count only while a worker does not answer at all.
    let (cut, partly) = KINDS.split_at(6);
    let of_events = partly.iter().zip(events().into_iter().cycle());
    let of_listings = cut.iter().cycle().zip(listings());
    let cells = of_events.chain(of_listings).map(|(&kind, beside)| {
        // The lease of a worker that starts again counts only in a cut that is longer.
        let longest = kind.restart == Restart::Before;
        Cell { kind, length_ms: LENGTHS_MS[usize::from(longest)], beside }
    });
    cells.collect()
}

/// Something that happens during a cut.
#[derive(Clone, Copy, Debug)]
pub enum Event {
    Submit,
    SignalLeader(Signal),
    ResumeLeader,
    StoreReturns,
    Restart,
    EntryLapses,
    Reconnect,
}

/// Returns what happens during the cut of a cell, with the milliseconds since it began.
pub fn timeline(cell: &Cell) -> Vec<(u64, Event)> {
    let mut events = vec![(cell.length_ms, Event::Reconnect)];
    let submissions = SUBMISSIONS_MS.iter().filter(|at_ms| **at_ms < cell.length_ms);
    events.extend(submissions.map(|at_ms| (*at_ms, Event::Submit)));
    events.extend(cell.beside.leader.map(|signal| (300, Event::SignalLeader(signal))));
    if cell.beside.leader == Some(Signal::SIGSTOP) {
        events.push((300 + PAUSE_MS, Event::ResumeLeader));
    }
    if cell.beside.store.silent {
        events.push((STORE_SILENCE_MS, Event::StoreReturns));
    }
    if cell.kind.restart == Restart::Behind {
        events.push((cell.length_ms / 2, Event::Restart));
    }
    if cell.length_ms > LAPSE_MS {
        events.push((LAPSE_MS, Event::EntryLapses));
    }
    events.sort_by_key(|(at_ms, _)| *at_ms);
    events
}
