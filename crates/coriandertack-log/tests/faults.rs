//! Faults of the log service, and records that must be void.

mod common;

use std::{collections::BTreeSet, sync::Arc, time::Duration};

use {
    bytes::Bytes,
    coriandertack_core::{
        code::Code,
        keys::Version,
        node::{Node, Stage},
        record::{JobSpec, Kind, Record},
        resources::Resources,
        state::{ApplyEffect, ApplyResult},
        validity::VALIDITY_PERIOD,
    },
    coriandertack_log::{codec, commit::OUTCOME_TIMEOUT, tail::TailEnd},
    coriandertack_standins::log::{LogConfig, LogService, Outage},
    tokio::{task::JoinHandle, time::Instant},
};

use common::{STREAM, setting, team};

fn job() -> Record {
    Record::Accept(JobSpec {
        team: "vans".into(),
        name: "routes".into(),
        kind: Kind::Batch,
        tasks: 1,
        need: Resources::new(100, 100, 0),
        run_ms: 0,
        urgent: false,
        retries: 0,
        command: String::new(),
        key: None,
    })
}

fn submit(node: &Arc<Node>, record: Record) -> JoinHandle<ApplyResult> {
    let node = Arc::clone(node);
    tokio::spawn(async move { node.submit_one("operator", record).await })
}

async fn wait_until_valid(node: &Node) {
    let mut valid = node.valid_until.subscribe();
    valid.wait_for(|until| Instant::now() < *until).await.unwrap();
}

/// Returns the number of records that a client has appended.
fn appended_by(service: &LogService, client: &str) -> usize {
    service.records(STREAM).iter().filter(|kept| kept.client == client).count()
}

/// Guards against a job that is duplicated or reported as failed because the response to its append
/// was lost.
#[tokio::test]
async fn a_lost_response_neither_loses_nor_duplicates_a_job() {
    let service = common::service().await;
    let one = common::joined(&service, "one", 1).await;
    one.node.submit_one("operator", team("vans", 0, 1_000)).await.unwrap();
    service.drop_responses(1);
    let result = one.node.submit_one("operator", job()).await;
    assert!(matches!(result, Ok(ApplyEffect::Job(_))));
    one.node.submit_one("operator", setting("after", 0, "1")).await.unwrap();
    assert_eq!(one.node.with(|shared| shared.state.jobs.ids.len()), 1);
}

/// Guards against a batch that takes effect twice when a duplicate is appended, immediately or
/// later.
#[tokio::test]
async fn duplicates_of_a_batch_are_void() {
    let service = common::service().await;
    let one = common::joined(&service, "one", 1).await;
    one.node.submit_one("operator", team("vans", 0, 1_000)).await.unwrap();
    one.node.submit_one("operator", job()).await.unwrap();
    let duplicate = service.records(STREAM).last().unwrap().body.clone();
    service.inject(STREAM, duplicate.clone());
    one.node.submit_one("operator", setting("between", 0, "1")).await.unwrap();
    service.inject(STREAM, duplicate);
    one.node.submit_one("operator", setting("after", 0, "1")).await.unwrap();
    assert_eq!(one.node.with(|shared| shared.state.jobs.ids.len()), 1);
}

/// Guards against three faults in an outage of appends: a submitter that waits forever, a batch
/// that is abandoned after its submitters were told that the outcome is unknown, and a batch that
/// is reported as "not run" although it was sent.
#[tokio::test]
async fn an_outage_of_appends_makes_the_outcome_unknown() {
    let service = common::service().await;
    let one = common::joined(&service, "one", 1).await;
    service.set_outage(Outage::Appends);
    let sent = submit(&one.node, setting("sent", 0, "1"));
    service.wait_refused(1).await;
    let queued = submit(&one.node, setting("queued", 0, "1"));
    // After the next refusal the commit task has received both, and neither is answered.
    service.wait_refused(service.refused() + 1).await;
    assert!(!sent.is_finished() && !queued.is_finished());
    common::jump(OUTCOME_TIMEOUT).await;
    assert_eq!(sent.await.unwrap(), Err(Code::OutcomeUnknown));
    assert_eq!(queued.await.unwrap(), Err(Code::LogUnavailable));
    service.set_outage(Outage::None);
    common::until_state(&one.node, |state| state.settings.contains_key("sent")).await;
    assert!(!one.node.with(|shared| shared.state.settings.contains_key("queued")));
}

/// Guards against a submission that is appended although its submitter was told that it did not
/// run.
#[tokio::test]
async fn nothing_is_sent_without_validity() {
    let service = common::service().await;
    let one = common::joined(&service, "one", 1).await;
    service.set_outage(Outage::All);
    common::lapse(&one.node).await;
    let result = one.node.submit_one("operator", setting("late", 0, "1")).await;
    assert_eq!(result, Err(Code::LogUnavailable));
    service.set_outage(Outage::None);
    wait_until_valid(&one.node).await;
    one.node.submit_one("operator", setting("after", 0, "1")).await.unwrap();
    assert!(!one.node.with(|shared| shared.state.settings.contains_key("late")));
    assert_eq!(appended_by(&service, "one"), 2);
}

/// Guards against a batch that is reported as "not run" although it may have been appended before
/// the log service became unavailable.
#[tokio::test]
async fn an_indeterminate_batch_is_retried_without_validity() {
    let service = common::service().await;
    let one = common::joined(&service, "one", 1).await;
    service.set_outage(Outage::Appends);
    let sent = submit(&one.node, setting("sent", 0, "1"));
    service.wait_refused(1).await;
    service.set_outage(Outage::All);
    common::lapse(&one.node).await;
    service.wait_refused(service.refused() + 2).await;
    common::jump(OUTCOME_TIMEOUT).await;
    assert_eq!(sent.await.unwrap(), Err(Code::OutcomeUnknown));
    service.set_outage(Outage::None);
    common::until_state(&one.node, |state| state.settings.contains_key("sent")).await;
}

/// Guards against a batch whose outcome is reported as unknown although the service has refused
/// each of its appends.
#[tokio::test]
async fn a_rate_limited_batch_is_cancelled_in_an_outage() {
    let service = common::service().await;
    let one = common::joined(&service, "one", 1).await;
    service.set_rate(0);
    let refused = submit(&one.node, setting("refused", 0, "1"));
    service.wait_refused(1).await;
    service.set_outage(Outage::Reads);
    common::lapse(&one.node).await;
    assert_eq!(refused.await.unwrap(), Err(Code::LogUnavailable));
    assert_eq!(appended_by(&service, "one"), 1);
}

/// Guards against a replay that continues past a corrupt record, and against a stopped node that
/// owns its workers until its peers suspect it.
#[tokio::test]
async fn a_corrupt_record_stops_and_fences_the_node() {
    let service = common::service().await;
    let one = common::joined(&service, "one", 1).await;
    let session = one.node.session().unwrap();
    service.inject(STREAM, Bytes::from_static(b"garbage"));
    let error = one.tail.await.unwrap().unwrap_err();
    assert!(error.to_string().contains("offset 2"), "{error}");
    assert_eq!(*one.node.stage.borrow(), Stage::Stopped);
    assert!(!one.node.is_valid());
    one.commit.await.unwrap();
    let result = one.node.submit_one("operator", setting("after", 0, "1")).await;
    assert_eq!(result, Err(Code::Stopping));
    let fence = codec::decode(&service.records(STREAM)[2].body).unwrap();
    assert_eq!((fence.author, fence.seq), (one.node.author, 2));
    assert_eq!(fence.entries[0].record, Record::Fence(session));
}

/// Guards against a fenced VM that continues to act, and against records that it appends afterwards
/// taking effect.
#[tokio::test]
async fn records_of_a_fenced_author_are_void() {
    let service = common::service().await;
    let one = common::joined(&service, "one", 1).await;
    let two = common::joined(&service, "two", 2).await;
    service.set_outage(Outage::Client("one".into()));
    let late = submit(&one.node, setting("late", 0, "1"));
    let session = one.node.session().unwrap();
    two.node.submit_one("system", Record::Fence(session)).await.unwrap();
    service.set_outage(Outage::None);
    assert!(late.await.unwrap().unwrap_err().guarantees_not_run());
    assert_eq!(one.tail.await.unwrap().unwrap(), TailEnd::Session);
    assert!(!one.node.is_valid());
    two.node.submit_one("operator", setting("after", 0, "1")).await.unwrap();
    assert!(!two.node.with(|shared| shared.state.settings.contains_key("late")));
}

/// Guards against a restarted VM whose previous session is still a member.
#[tokio::test]
async fn a_restart_of_a_vm_ends_its_previous_session() {
    let service = common::service().await;
    let previous = common::joined(&service, "one", 1).await;
    let current = common::joined(&service, "one", 2).await;
    assert_eq!(previous.tail.await.unwrap().unwrap(), TailEnd::Session);
    assert!(!previous.node.is_valid());
    assert_eq!(current.node.with(|shared| shared.state.sessions.len()), 1);
}

/// Guards against submissions that are lost or split when they share batches, and against batches
/// above the size limit.
#[tokio::test]
async fn many_submissions_share_a_few_batches_within_the_size_limit() {
    let service = common::service().await;
    let one = common::joined(&service, "one", 1).await;
    let large = "x".repeat(100 << 10);
    let names: Vec<String> = (0..9).map(|index| format!("large-{index}")).collect();
    let changes =
        names.iter().map(|name| one.node.submit_one("operator", setting(name, 0, &large)));
    let results = futures::future::join_all(changes).await;
    assert_eq!(results, vec![Ok(ApplyEffect::Version(Version(1))); 9]);
    let bodies = service.records(STREAM).into_iter().map(|kept| kept.body.len());
    assert!(bodies.max().unwrap() <= 256 << 10);
    let huge = one.node.submit_one("operator", setting("huge", 0, &large.repeat(3))).await;
    assert_eq!(huge, Err(Code::TooLarge));
    let small = (0..1_000).map(|index| {
        let record = setting(&format!("small-{index}"), 0, "1");
        let node = &one.node;
        async move { node.submit_one("operator", record).await }
    });
    let before = service.records(STREAM).len();
    let results = futures::future::join_all(small).await;
    assert!(results.iter().all(Result::is_ok));
    assert!(service.records(STREAM).len() - before < 100);
}

/// Guards against a record that is appended by a VM before it is a member.
#[tokio::test]
async fn a_submission_before_the_join_is_not_run() {
    let service = common::service().await;
    let one = common::start(&service, "one", 1);
    wait_until_valid(&one.node).await;
    let result = one.node.submit_one("operator", setting("early", 0, "1")).await;
    assert_eq!(result, Err(Code::NotReady));
    assert_eq!(service.records(STREAM).len(), 0);
}

/// Guards against validity that is counted from the response of a slow read instead of its request.
#[tokio::test]
async fn validity_counts_from_the_start_of_a_read() {
    let service = common::service().await;
    let one = common::joined(&service, "one", 1).await;
    let delay = Duration::from_millis(400);
    service.set_slow(delay);
    let mut valid = one.node.valid_until.subscribe();
    valid.changed().await.unwrap();
    // This read was sent after the delay was set, so its response took at least the delay.
    valid.changed().await.unwrap();
    let left = valid.borrow_and_update().duration_since(Instant::now());
    assert!(left <= VALIDITY_PERIOD - delay, "{left:?}");
}

/// Guards against jobs that are lost, duplicated or misreported when many responses are lost and
/// duplicates of batches interleave with the batches of other nodes.
#[tokio::test]
async fn reported_outcomes_are_correct_when_responses_are_lost() {
    let service = LogService::start(LogConfig::default(), 11).await.unwrap();
    let mut nodes = Vec::new();
    for author in 1..=3 {
        nodes.push(common::joined(&service, &format!("vm-{author}"), author).await.node);
    }
    nodes[0].submit_one("operator", team("vans", 0, 1_000)).await.unwrap();
    service.set_loss(0.4);
    let mut submitted = Vec::new();
    for node in nodes.iter().cycle().take(150) {
        submitted.push(submit(node, job()));
        // Duplicates the newest batch, as if an earlier attempt had been delayed.
        let duplicate = service.records(STREAM).pop().unwrap().body;
        service.inject(STREAM, duplicate);
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
    let mut ids = BTreeSet::new();
    for result in futures::future::join_all(submitted).await {
        let Ok(ApplyEffect::Job(id)) = result.unwrap() else { panic!("job not accepted") };
        assert!(ids.insert(id), "job {id} was returned to two submitters");
    }
    for node in &nodes {
        common::until_state(node, |state| state.jobs.ids.len() >= ids.len()).await;
        let known: BTreeSet<_> =
            node.with(|shared| shared.state.jobs.ids.keys().copied().collect());
        assert_eq!(known, ids);
    }
}
