//! Test fixtures: nodes and a stand-in log service.

#![allow(dead_code, reason = "each test program uses only some of the helpers")]

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
        snapshot::{self, SnapshotInterval},
        tail::{self, TailEnd},
    },
    coriandertack_standins::log::{LogConfig, LogService},
    tokio::task::JoinHandle,
};

/// Log stream of the nodes.
pub const STREAM: &str = "control";

/// A node and its running tasks.
pub struct Running {
    pub node: Arc<Node>,
    pub tail: JoinHandle<anyhow::Result<TailEnd>>,
    pub commit: JoinHandle<()>,
}

pub async fn service() -> LogService {
    LogService::start(LogConfig::default(), 1).await.unwrap()
}

pub fn client(service: &LogService, name: &str) -> Client {
    Client::new(service.address(), STREAM, name).unwrap()
}

/// Starts the tasks of a node without joining.
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

/// Starts a node and joins it.
pub async fn joined(service: &LogService, name: &str, author: u64) -> Running {
    let running = start(service, name, author);
    join(&running.node).await.unwrap();
    running
}

/// Starts the snapshot task of a node, with a snapshot due every `records` records.
pub fn with_snapshots(running: &Running, records: u64) {
    let interval = SnapshotInterval { records, period: Duration::from_secs(3_600) };
    tokio::spawn(snapshot::run(Arc::clone(&running.node), interval));
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

/// Waits until the state of a node satisfies a condition.
pub async fn until_state(node: &Node, mut condition: impl FnMut(&State) -> bool) {
    let mut applied = node.applied_offset.subscribe();
    while !node.with(|shared| condition(&shared.state)) {
        applied.changed().await.unwrap();
    }
}

/// Appends `count` changes of one setting in sequence, each of which must succeed.
pub async fn append_settings(node: &Node, count: u64) {
    for version in 0..count {
        node.submit_one("operator", setting("counter", version, &version.to_string()))
            .await
            .unwrap();
    }
}

/// Waits until two nodes have applied the same offset and returns their state images.
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

/// Advances the clock. The clock is resumed afterwards, because a paused clock jumps to the next
/// timer whenever the runtime waits for a socket.
pub async fn jump(by: Duration) {
    tokio::time::pause();
    tokio::time::advance(by).await;
    tokio::time::resume();
}

/// Advances the clock until the node's validity has lapsed. The log service must be unavailable.
pub async fn lapse(node: &Node) {
    while node.is_valid() {
        jump(VALIDITY_PERIOD).await;
    }
}
