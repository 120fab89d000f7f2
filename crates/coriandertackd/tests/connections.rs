//! Which connection is closed at the maximum number, and heads for which there is no room.

use std::time::Duration;

use {
    coriandertack_callers::{
        bodies::{Bodies, Limit},
        budget::NEW_TIME,
    },
    coriandertack_jobs::config::Limits,
    coriandertackd::connections::{Activity, Connections, TrackedStream},
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::{TcpListener, TcpStream},
        time::{sleep, timeout},
    },
};

/// Time within which an eviction is noticed.
const NOTICE_TIME: Duration = Duration::from_millis(500);

/// Waits until a connection is to be closed; `None` if it is not.
async fn expires(activity: &Activity) -> Option<Option<Limit>> {
    timeout(NOTICE_TIME, activity.wait_until_expired(Limits::default())).await.ok()
}

/// Guards against a client that has just connected and is closed for another one, while a client that holds a body for
/// longer stays.
#[tokio::test]
async fn a_new_connection_is_not_evicted_before_a_stalled_body() {
    let bodies = Bodies::new(1 << 20);
    let open = Connections::new(2, bodies.clone());
    let (_, stalled) = open.add().unwrap();
    stalled.begin();
    let body = bodies.open();
    body.reserve(50_000).unwrap();
    sleep(NEW_TIME).await;
    let (_, new) = open.add().unwrap();
    assert!(open.add().is_some());
    assert_eq!((body.held_bytes(), bodies.closed(Limit::Connections)), (0, 1));
    assert_eq!(expires(&new).await, None, "the new connection was evicted");
}

/// Guards against connections beyond the maximum that nothing can close: one that receives a request as it is evicted is
/// no longer in the table, and must not stay open after the answer.
#[tokio::test]
async fn an_eviction_is_not_lost_to_a_request() {
    let open = Connections::new(1, Bodies::new(1 << 20));
    let (_, evicted) = open.add().unwrap();
    assert!(open.add().is_some());
    evicted.begin();
    assert_eq!(expires(&evicted).await, Some(Some(Limit::Connections)));
}

/// Guards against descriptors that grow without bound: a connection whose body was closed stays open until its client has
/// taken the response, which one that reads nothing never does.
#[tokio::test]
async fn connections_that_do_not_end_are_limited_too() {
    const MAX_OPEN: usize = 16;
    let bodies = Bodies::new(1 << 20);
    let open = Connections::new(MAX_OPEN, bodies.clone());
    let mut stalled = Vec::new();
    for _round in 0..3 {
        for _client in 0..MAX_OPEN {
            let Some((_, activity)) = open.add() else { break };
            activity.begin();
            stalled.push((activity, bodies.open()));
        }
        sleep(NEW_TIME).await;
    }
    assert!(stalled.len() <= MAX_OPEN + MAX_OPEN / 8, "{} connections are open", stalled.len());
}

/// Guards against a refusal that no counter shows: a head for which there is no room.
#[tokio::test]
async fn a_head_without_room_is_counted() {
    let bodies = Bodies::new(0);
    let open = Connections::new(1, bodies.clone());
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let mut client = TcpStream::connect(listener.local_addr().unwrap()).await.unwrap();
    let (stream, _) = listener.accept().await.unwrap();
    let (_, activity) = open.add().unwrap();
    client.write_all(b"GET /").await.unwrap();
    assert!(TrackedStream::new(stream, activity).read_u8().await.is_err());
    assert_eq!(bodies.refused(Limit::Bytes), 1);
}
