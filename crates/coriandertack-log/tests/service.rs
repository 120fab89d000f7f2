//! The client, tested against the stand-in log service.

mod common;

use std::time::Duration;

use {
    bytes::Bytes,
    coriandertack_core::keys::Offset,
    coriandertack_log::client::{AppendError, Client, Page, Read},
    coriandertack_standins::log::{LogConfig, LogService, Outage},
    tokio::time::Instant,
};

const FIRST: Offset = Offset(1);

async fn append(client: &Client, body: &'static str) -> Result<Offset, AppendError> {
    let until = Instant::now() + Duration::from_secs(60);
    client.append(Bytes::from_static(body.as_bytes()), until).await
}

async fn read(client: &Client, from: Offset, wait: Duration) -> Page {
    match client.read(from, wait).await.unwrap() {
        Read::Page(page) => page,
        Read::Gone(page) => panic!("gone: {page:?}"),
    }
}

fn bodies(page: &Page) -> Vec<&[u8]> {
    page.records.iter().map(|record| &record.body[..]).collect()
}

/// Guards against records shared between streams, and against a wrong tail offset.
#[tokio::test]
async fn streams_are_separate_and_numbered_from_one() {
    let service = common::service().await;
    let control = Client::new(service.address(), "control", "one").unwrap();
    let config = Client::new(service.address(), "config", "one").unwrap();
    assert_eq!(append(&control, "a").await.unwrap(), FIRST);
    assert_eq!(append(&control, "b").await.unwrap(), Offset(2));
    assert_eq!(append(&config, "c").await.unwrap(), FIRST);
    let page = read(&control, FIRST, Duration::ZERO).await;
    assert_eq!(bodies(&page), [b"a", b"b"]);
    assert_eq!((page.earliest, page.tail), (FIRST, Offset(3)));
    assert_eq!(bodies(&read(&config, FIRST, Duration::ZERO).await), [b"c"]);
    assert!(read_fails(&control, Offset(4)).await, "offset 4 is beyond the tail");
}

async fn read_fails(client: &Client, from: Offset) -> bool {
    client.read(from, Duration::ZERO).await.is_err()
}

/// Guards against a long poll that misses a record appended while it waits.
#[tokio::test]
async fn a_long_poll_returns_a_new_record() {
    let service = common::service().await;
    let client = common::client(&service, "one");
    let hour = Duration::from_secs(3_600);
    let (page, offset) = tokio::join!(read(&client, FIRST, hour), append(&client, "a"));
    assert_eq!(offset.unwrap(), FIRST);
    assert_eq!(bodies(&page), [b"a"]);
}

/// Guards against records that remain readable after their retention, and against their removal
/// from `LogService::records`, which audits read.
#[tokio::test]
async fn expired_records_are_gone() {
    let service = common::service().await;
    let client = common::client(&service, "one");
    append(&client, "a").await.unwrap();
    // Shorter than the idle timeout of the service's connections.
    common::jump(Duration::from_secs(20)).await;
    append(&client, "b").await.unwrap();
    service.set_retention(100, Duration::from_secs(10));
    let Read::Gone(page) = client.read(FIRST, Duration::ZERO).await.unwrap() else {
        panic!("offset 1 is still retained");
    };
    assert_eq!((page.earliest, page.tail), (Offset(2), Offset(3)));
    assert_eq!(bodies(&read(&client, page.earliest, Duration::ZERO).await), [b"b"]);
    assert_eq!(service.records(common::STREAM).len(), 2);
}

/// Guards against a refusal reported as an indeterminate outcome, and vice versa.
#[tokio::test]
async fn only_a_certain_refusal_counts_as_refused() {
    let config = LogConfig { rate: 1, ..LogConfig::default() };
    let service = LogService::start(config, 1).await.unwrap();
    let client = common::client(&service, "one");
    service.drop_responses(1);
    assert!(matches!(append(&client, "a").await, Err(AppendError::Indeterminate(_))));
    assert_eq!(service.records(common::STREAM).len(), 1, "the append took effect");
    assert!(matches!(append(&client, "b").await, Err(AppendError::Refused(_))));
    service.set_outage(Outage::Appends);
    assert!(matches!(append(&client, "b").await, Err(AppendError::Indeterminate(_))));
    service.set_slow(Duration::from_secs(3_600));
    let timed_out = client.append(Bytes::new(), Instant::now() + Duration::from_millis(1)).await;
    assert!(matches!(timed_out, Err(AppendError::Indeterminate(_))));
    let address = service.address();
    drop(service);
    let disconnected = Client::new(address, common::STREAM, "two").unwrap();
    assert!(matches!(append(&disconnected, "b").await, Err(AppendError::Refused(_))));
    assert!(read_fails(&disconnected, FIRST).await);
}

/// Guards against a one-client outage that affects other clients, or that does not affect reads.
#[tokio::test]
async fn an_outage_can_affect_one_client_only() {
    let service = common::service().await;
    let (one, two) = (common::client(&service, "one"), common::client(&service, "two"));
    service.set_outage(Outage::Client("one".into()));
    assert!(append(&one, "a").await.is_err());
    assert!(read_fails(&one, FIRST).await);
    assert_eq!(append(&two, "b").await.unwrap(), FIRST);
    assert_eq!(bodies(&read(&two, FIRST, Duration::ZERO).await), [b"b"]);
    service.set_outage(Outage::Reads);
    assert!(read_fails(&two, FIRST).await);
    assert_eq!(append(&two, "c").await.unwrap(), Offset(2));
}

/// Guards against a loss of responses that is not reproducible from the seed.
#[tokio::test]
async fn lost_responses_are_determined_by_the_seed() {
    let mut runs = Vec::new();
    for seed in [1, 1, 2] {
        let service = LogService::start(LogConfig::default(), seed).await.unwrap();
        let client = common::client(&service, "one");
        service.set_loss(0.5);
        let mut lost = Vec::new();
        for _ in 0..32 {
            lost.push(append(&client, "a").await.is_err());
        }
        assert_eq!(service.records(common::STREAM).len(), 32);
        runs.push(lost);
    }
    assert_eq!(runs[0], runs[1]);
    assert_ne!(runs[0], runs[2]);
}
