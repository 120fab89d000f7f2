//! Nodes and a log service for the tests.

#![allow(dead_code, reason = "each test file uses a part of it")]

use std::{sync::Arc, time::Duration};

use {
    coriandertack_core::{
        keys::{Incarnation, Version},
        node::{Node, now_ms},
        record::{Entry, Record, SettingChange, TeamChange, TeamSpec, VmInfo},
        resources::Resources,
        state::{State, StateImage},
        validity::VALIDITY_PERIOD,
    },
    coriandertack_log::{
        client::Client,
        commit, join,
        snapshot::{self, Every},
        tail::{self, Ended},
    },
    coriandertack_standins::log::{LogConfig, LogService},
    tokio::task::JoinHandle,
};

/// Stream that the nodes use.
pub const STREAM: &str = "control";

/// A node with its tasks.
pub struct Running {
    pub node: Arc<Node>,
    pub tail: JoinHandle<anyhow::Result<Ended>>,
    pub commit: JoinHandle<()>,
}

pub async fn service() -> LogService {
    LogService::start(LogConfig::default(), 1).await.unwrap()
}

pub fn client(service: &LogService, name: &str) -> Client {
    Client::new(service.address(), STREAM, name).unwrap()
}

/// Starts the tasks of a node that has not joined yet.
pub fn start(service: &LogService, name: &str, author: u64) -> Running {
    let info = VmInfo {
        name: name.into(),
        zone: "split".into(),
        link: "127.0.0.1:1".parse().unwrap(),
        http: "127.0.0.1:2".parse().unwrap(),
    };
    let (node, submissions) = Node::new(info, Incarnation(author));
    let commit = tokio::spawn(commit::run(Arc::clone(&node), submissions, client(service, name)));
    let tail = tokio::spawn(tail::run(Arc::clone(&node), client(service, name)));
    Running { node, tail, commit }
}

/// Starts a node and waits until it has joined.
pub async fn joined(service: &LogService, name: &str, author: u64) -> Running {
    let running = start(service, name, author);
    join(&running.node).await.unwrap();
    running
}

/// Starts the snapshot task of a node.
pub fn with_snapshots(running: &Running, records: u64) {
    let every = Every { records, period: Duration::from_secs(3_600) };
    tokio::spawn(snapshot::run(Arc::clone(&running.node), every));
}

pub fn setting(name: &str, expect: u64, value: &str) -> Record {
    Record::Setting(SettingChange {
        name: name.into(),
        expect: Version(expect),
        value: Some(value.into()),
    })
}

pub fn team(name: &str, expect: u64, millicores: u32) -> Record {
    let quota = Resources::new(millicores, 1_024, 0);
    let spec = TeamSpec { quota, tokens: vec!["00".into()] };
    Record::Team(TeamChange { name: name.into(), expect: Version(expect), spec: Some(spec) })
}

pub fn entry(record: Record) -> Entry {
    Entry { actor: "operator".into(), at_ms: now_ms(), record }
}

/// Waits until the state of a node fulfils a condition.
pub async fn until_state(node: &Node, mut holds: impl FnMut(&State) -> bool) {
    let mut applied = node.applied_offset.subscribe();
    while !node.with(|shared| holds(&shared.state)) {
        applied.changed().await.unwrap();
    }
}

/// Appends records one after the other; each must take effect.
pub async fn append_settings(node: &Node, count: u64) {
    for at in 0..count {
        node.submit_one("operator", setting("counter", at, &at.to_string())).await.unwrap();
    }
}

/// Waits until two nodes have applied the same offset, and returns their images.
pub async fn same_images(one: &Node, two: &Node) -> [StateImage; 2] {
    let mut applied = [one.applied_offset.subscribe(), two.applied_offset.subscribe()];
    loop {
        let images = [one, two].map(|node| node.with(|shared| shared.state.image()));
        if images[0].base == images[1].base {
            return images;
        }
        let [first, second] = &mut applied;
        tokio::select! {
            changed = first.changed() => changed.unwrap(),
            changed = second.changed() => changed.unwrap(),
        }
    }
}

/// Moves the clock forward. It is not left paused, because a paused clock jumps to the next timer
/// whenever the runtime waits for a socket.
pub async fn jump(by: Duration) {
    tokio::time::pause();
    tokio::time::advance(by).await;
    tokio::time::resume();
}

/// Moves the clock until the permission to act has lapsed; the log must be out of reach.
pub async fn lapse(node: &Node) {
    while node.is_valid() {
        jump(VALIDITY_PERIOD).await;
    }
}
