//! Tests of the task that reads the VM list, against the stand-in in virtual time.

use std::{collections::BTreeSet, sync::Arc, time::Duration};

use {
    coriandertack_core::{
        keys::{Incarnation, Offset, Session},
        message::Submission,
        node::Node,
        record::{Batch, Entry, Presence, Record, VmInfo},
    },
    coriandertack_standins::{
        vmlist::{Lag, VmEntry, VmList, VmState},
        worker::{Worker, WorkerConfig},
    },
    coriandertack_vms::{client::Client, poll},
    tokio::{
        sync::{mpsc, watch},
        time::{Instant, sleep},
    },
};

const EVERY: Duration = Duration::from_millis(500);

/// Some VMs, of which `author` is the one under test, without a log: records are applied at once.
struct Bench {
    node: Arc<Node>,
    list: VmList,
    submissions: mpsc::Receiver<Submission>,
    missing: watch::Receiver<BTreeSet<Session>>,
    offset: u64,
}

impl Bench {
    async fn start(author: u64, lag: Lag) -> Self {
        let list = VmList::start(lag, 7).await.unwrap();
        let any = "127.0.0.1:1".parse().unwrap();
        let info = |number| VmInfo {
            name: format!("split-{number}"),
            zone: "split".into(),
            link: any,
            http: any,
        };
        let (node, submissions) = Node::new(info(author), Incarnation(author));
        for number in 1..=3 {
            list.set(VmEntry::entry(&format!("split-{number}"), "split", any));
            let entry =
                Entry { actor: "test".into(), at_ms: 0, record: Record::Join(info(number)) };
            let batch = Batch { author: Incarnation(number), seq: 1, entries: vec![entry] };
            node.apply(Offset(number), &batch);
        }
        let (sender, missing) = watch::channel(BTreeSet::new());
        let client = Client::new(list.address());
        let reading = Arc::clone(&node);
        tokio::spawn(async move {
            loop {
                reading.extend_validity(Instant::now());
                sleep(EVERY).await;
            }
        });
        tokio::spawn(poll::run(Arc::clone(&node), client, EVERY, sender));
        Self { node, list, submissions, missing, offset: 3 }
    }

    /// Waits for the next records and applies them.
    async fn records(&mut self) -> Vec<Record> {
        let submission = self.submissions.recv().await.unwrap();
        self.offset += 1;
        let seq = self.offset;
        let entries = submission.entries.clone();
        let batch = Batch { author: self.node.author, seq, entries };
        self.node.apply(Offset(self.offset), &batch);
        submission.reply.send(Ok(Vec::new())).unwrap();
        submission.entries.into_iter().map(|entry| entry.record).collect()
    }

    async fn is_quiet(&mut self) -> bool {
        let reads = self.list.reads();
        sleep(EVERY * 10).await;
        self.list.reads() > reads && self.submissions.try_recv().is_err()
    }
}

async fn worker(name: &str) -> Worker {
    Worker::start(WorkerConfig::new(name, "split", "r1"), 7).await.unwrap()
}

fn names(records: &[Record]) -> Vec<(&str, Presence)> {
    let [Record::Workers(infos)] = records else {
        panic!("unexpected records {records:?}");
    };
    infos.iter().map(|info| (info.name.as_str(), info.presence)).collect()
}

/// Guards against workers that are not found, and against records that repeat what is known.
#[tokio::test(start_paused = true)]
async fn only_differences_become_records() {
    let mut bench = Bench::start(1, Lag::default()).await;
    assert!(bench.is_quiet().await);
    bench.list.add_workers(&[worker("w1").await, worker("w2").await]);
    let records = bench.records().await;
    assert_eq!(names(&records), [("w1", Presence::Live), ("w2", Presence::Live)]);
    assert!(bench.is_quiet().await);
    bench.list.set_state("w2", VmState::Leaving);
    assert_eq!(names(&bench.records().await), [("w2", Presence::Leaving)]);
    assert!(bench.is_quiet().await);
}

/// Guards against a worker that is dropped because one answer lacks it.
#[tokio::test(start_paused = true)]
async fn one_answer_without_a_worker_changes_nothing() {
    let mut bench = Bench::start(1, Lag::default()).await;
    let worker = worker("w1").await;
    bench.list.add_workers(std::slice::from_ref(&worker));
    bench.records().await;
    let reads = bench.list.reads();
    bench.list.remove("w1");
    while bench.list.reads() == reads {
        sleep(Duration::from_millis(1)).await;
    }
    bench.list.add_workers(&[worker]);
    assert!(bench.is_quiet().await);
    bench.list.remove("w1");
    assert_eq!(bench.records().await, [Record::WorkersGone(vec!["w1".into()])]);
    assert!(bench.is_quiet().await);
}

/// Guards against every VM writing the same records.
#[tokio::test(start_paused = true)]
async fn only_the_lowest_session_writes() {
    let mut bench = Bench::start(2, Lag::default()).await;
    bench.list.add_workers(&[worker("w1").await]);
    assert!(bench.is_quiet().await);
    let record = Record::Fence(Session(1));
    let entries = vec![Entry { actor: "test".into(), at_ms: 0, record }];
    let batch = Batch { author: Incarnation(3), seq: 2, entries };
    bench.offset += 1;
    bench.node.apply(Offset(bench.offset), &batch);
    assert_eq!(names(&bench.records().await), [("w1", Presence::Live)]);
}

/// Guards against a lost entry VM that nobody suspects, and against suspicion that stays.
#[tokio::test(start_paused = true)]
async fn missing_members_are_suspected() {
    let mut bench = Bench::start(2, Lag { delay_ms: 2_000, jitter_ms: 500 }).await;
    sleep(Duration::from_secs(5)).await;
    assert!(bench.missing.borrow_and_update().is_empty());
    bench.list.remove("split-3");
    let removed = Instant::now();
    bench.missing.changed().await.unwrap();
    assert_eq!(*bench.missing.borrow_and_update(), BTreeSet::from([Session(3)]));
    assert!(Instant::now() >= removed + Duration::from_secs(2));
    bench.list.set(VmEntry::entry("split-3", "split", "127.0.0.1:1".parse().unwrap()));
    bench.missing.changed().await.unwrap();
    assert!(bench.missing.borrow().is_empty());
}

/// Guards against a member that is suspected because one answer lacks it.
#[tokio::test(start_paused = true)]
async fn one_answer_without_a_member_is_no_suspicion() {
    let mut bench = Bench::start(2, Lag::default()).await;
    assert!(bench.is_quiet().await);
    let reads = bench.list.reads();
    bench.list.remove("split-3");
    while bench.list.reads() == reads {
        sleep(Duration::from_millis(1)).await;
    }
    bench.list.set(VmEntry::entry("split-3", "split", "127.0.0.1:1".parse().unwrap()));
    assert!(bench.is_quiet().await);
    assert!(!bench.missing.has_changed().unwrap());
}

/// Guards against a list that is down being taken for an empty list.
#[tokio::test(start_paused = true)]
async fn failed_answers_change_nothing() {
    let mut bench = Bench::start(1, Lag::default()).await;
    bench.list.add_workers(&[worker("w1").await]);
    bench.records().await;
    bench.list.set_down(true);
    sleep(EVERY * 10).await;
    assert!(bench.submissions.try_recv().is_err());
    assert!(bench.missing.borrow().is_empty());
    bench.list.set_down(false);
    assert!(bench.is_quiet().await);
}
