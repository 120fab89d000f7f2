//! Tests of the VM list poller against the stand-in, in virtual time.

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
        time::{Instant, sleep, timeout},
    },
};

/// Time within which a difference is submitted, in virtual time.
const RECORDS_TIMEOUT: Duration = Duration::from_secs(60);

const POLL_INTERVAL: Duration = Duration::from_millis(500);

/// Three entry VMs, one of them under test, without a log: records are applied immediately.
struct Harness {
    node: Arc<Node>,
    list: VmList,
    submissions: mpsc::Receiver<Submission>,
    missing: watch::Receiver<BTreeSet<Session>>,
    offset: u64,
}

impl Harness {
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
        let validity_node = Arc::clone(&node);
        tokio::spawn(async move {
            loop {
                validity_node.extend_validity(Instant::now());
                sleep(POLL_INTERVAL).await;
            }
        });
        tokio::spawn(poll::run(Arc::clone(&node), client, POLL_INTERVAL, sender));
        Self { node, list, submissions, missing, offset: 3 }
    }

    /// Waits for the next submission, applies it and returns its records.
    async fn next_records(&mut self) -> Vec<Record> {
        let submission = timeout(RECORDS_TIMEOUT, self.submissions.recv()).await;
        let submission = submission.expect("records are submitted").unwrap();
        self.offset += 1;
        let seq = self.offset;
        let entries = submission.entries.clone();
        let batch = Batch { author: self.node.author, seq, entries };
        self.node.apply(Offset(self.offset), &batch);
        submission.reply.send(Ok(Vec::new())).unwrap();
        submission.entries.into_iter().map(|entry| entry.record).collect()
    }

    /// Returns whether the list is read at least once within ten intervals and nothing is submitted.
    async fn submits_nothing(&mut self) -> bool {
        let reads = self.list.reads();
        sleep(POLL_INTERVAL * 10).await;
        self.list.reads() > reads && self.submissions.try_recv().is_err()
    }
}

async fn start_worker(name: &str) -> Worker {
    Worker::start(WorkerConfig::new(name, "split", "r1"), 7).await.unwrap()
}

fn names_and_presence(records: &[Record]) -> Vec<(&str, Presence)> {
    let [Record::Workers(infos)] = records else {
        panic!("unexpected records {records:?}");
    };
    infos.iter().map(|info| (info.name.as_str(), info.presence)).collect()
}

/// Guards against listed workers that are not recorded, and against records without a change.
#[tokio::test(start_paused = true)]
async fn only_differences_are_submitted() {
    let mut harness = Harness::start(1, Lag::default()).await;
    assert!(harness.submits_nothing().await);
    harness.list.add_workers(&[start_worker("w1").await, start_worker("w2").await]);
    let records = harness.next_records().await;
    assert_eq!(names_and_presence(&records), [("w1", Presence::Live), ("w2", Presence::Live)]);
    assert!(harness.submits_nothing().await);
    harness.list.set_state("w2", VmState::Leaving);
    assert_eq!(names_and_presence(&harness.next_records().await), [("w2", Presence::Leaving)]);
    assert!(harness.submits_nothing().await);
}

/// Guards against removing a worker that is missing from a single response.
#[tokio::test(start_paused = true)]
async fn single_response_without_worker_is_ignored() {
    let mut harness = Harness::start(1, Lag::default()).await;
    let worker = start_worker("w1").await;
    harness.list.add_workers(std::slice::from_ref(&worker));
    harness.next_records().await;
    let reads = harness.list.reads();
    harness.list.remove("w1");
    while harness.list.reads() == reads {
        sleep(Duration::from_millis(1)).await;
    }
    harness.list.add_workers(&[worker]);
    assert!(harness.submits_nothing().await);
    harness.list.remove("w1");
    assert_eq!(harness.next_records().await, [Record::WorkersGone(vec!["w1".into()])]);
    assert!(harness.submits_nothing().await);
}

/// Guards against every VM submitting the same records.
#[tokio::test(start_paused = true)]
async fn only_lowest_session_submits_records() {
    let mut harness = Harness::start(2, Lag::default()).await;
    harness.list.add_workers(&[start_worker("w1").await]);
    assert!(harness.submits_nothing().await);
    let record = Record::Fence(Session(1));
    let entries = vec![Entry { actor: "test".into(), at_ms: 0, record }];
    let batch = Batch { author: Incarnation(3), seq: 2, entries };
    harness.offset += 1;
    harness.node.apply(Offset(harness.offset), &batch);
    assert_eq!(names_and_presence(&harness.next_records().await), [("w1", Presence::Live)]);
}

/// Guards against a lost entry VM that is not published as missing, and one that stays missing once listed again.
#[tokio::test(start_paused = true)]
async fn missing_members_are_published_until_listed_again() {
    let mut harness = Harness::start(2, Lag { delay_ms: 2_000, jitter_ms: 500 }).await;
    sleep(Duration::from_secs(5)).await;
    assert!(harness.missing.borrow_and_update().is_empty());
    harness.list.remove("split-3");
    let removed = Instant::now();
    harness.missing.changed().await.unwrap();
    assert_eq!(*harness.missing.borrow_and_update(), BTreeSet::from([Session(3)]));
    assert!(Instant::now() >= removed + Duration::from_secs(2));
    harness.list.set(VmEntry::entry("split-3", "split", "127.0.0.1:1".parse().unwrap()));
    harness.missing.changed().await.unwrap();
    assert!(harness.missing.borrow().is_empty());
}

/// Guards against publishing a member as missing because of a single response.
#[tokio::test(start_paused = true)]
async fn single_response_without_member_is_ignored() {
    let mut harness = Harness::start(2, Lag::default()).await;
    assert!(harness.submits_nothing().await);
    let reads = harness.list.reads();
    harness.list.remove("split-3");
    while harness.list.reads() == reads {
        sleep(Duration::from_millis(1)).await;
    }
    harness.list.set(VmEntry::entry("split-3", "split", "127.0.0.1:1".parse().unwrap()));
    assert!(harness.submits_nothing().await);
    assert!(!harness.missing.has_changed().unwrap());
}

/// Guards against treating failed requests as an empty list.
#[tokio::test(start_paused = true)]
async fn failed_requests_change_nothing() {
    let mut harness = Harness::start(1, Lag::default()).await;
    harness.list.add_workers(&[start_worker("w1").await]);
    harness.next_records().await;
    harness.list.set_down(true);
    sleep(POLL_INTERVAL * 10).await;
    assert!(harness.submissions.try_recv().is_err());
    assert!(harness.missing.borrow().is_empty());
    harness.list.set_down(false);
    assert!(harness.submits_nothing().await);
}

/// Returns odd items that name `name`, or nothing at all.
fn odd_items(name: &str) -> Vec<String> {
    let item = |address: &str, state: &str, millicores: &str| {
        format!(
            r#"{{"name":"{name}","kind":"worker","address":"{address}","zone":"split","state":"{state}","millicores":{millicores},"memory_mib":1}}"#
        )
    };
    // Deeper than the JSON library follows; a longer response would be polled less often.
    let nested = format!("{}{}", "[".repeat(500), "]".repeat(500));
    let mut items =
        vec![String::from("7"), String::from("null"), String::from("{}"), nested.clone()];
    items.push(String::from(r#"{"name":7,"kind":"worker"}"#));
    items.push(item("127.0.0.1:65536", "live", "1000"));
    items.push(item("127.0.0.1:0", "live", "1000"));
    items.push(item("127.0.0.1:1", "asleep", "1000"));
    for number in ["1e400", "18446744073709551616", "4294967295", "-1", "null", &nested] {
        items.push(item("127.0.0.1:1", "live", number));
    }
    items
}

/// Guards against one odd item that hides all others, so that the list is no longer followed, and against a worker that
/// counts as gone because its own item is odd.
#[tokio::test(start_paused = true)]
async fn odd_items_hide_no_others() {
    let mut harness = Harness::start(1, Lag::default()).await;
    harness.list.add_workers(&[start_worker("w1").await]);
    harness.next_records().await;
    harness.list.set_odd(odd_items("odd"));
    harness.list.add_workers(&[start_worker("w2").await]);
    assert_eq!(names_and_presence(&harness.next_records().await), [("w2", Presence::Live)]);
    for item in odd_items("w1").split_off(5) {
        harness.list.remove("w1");
        harness.list.set_odd(vec![item.clone()]);
        assert!(harness.submits_nothing().await, "{item}");
    }
    harness.list.set_odd(Vec::new());
    assert_eq!(harness.next_records().await, [Record::WorkersGone(vec!["w1".into()])]);
}

/// Guards against a worker whose tasks run again because the name of its item cannot be read.
#[tokio::test]
async fn items_without_a_name_prove_no_absence() {
    let mut harness = Harness::start(1, Lag::default()).await;
    harness.list.add_workers(&[start_worker("w1").await]);
    harness.next_records().await;
    for item in ["null", "{}", r#"{"name":7,"kind":"worker"}"#] {
        harness.list.remove("w1");
        harness.list.set_odd(vec![item.into()]);
        assert!(harness.submits_nothing().await, "{item}");
    }
    harness.list.set_odd(Vec::new());
    assert_eq!(harness.next_records().await, [Record::WorkersGone(vec!["w1".into()])]);
}
