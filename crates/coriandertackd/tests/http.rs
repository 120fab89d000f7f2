//! Limits of the HTTP server on connections and headers, and the end of connections on a stop.

use std::{future::pending, net::SocketAddr, sync::Arc, time::Duration};

use {
    coriandertack_callers::{bodies::Bodies, budget::NEW_TIME},
    coriandertack_jobs::config::Limits,
    coriandertackd::{
        connections::Connections,
        http::{LIMITS, serve},
    },
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::{TcpListener, TcpStream},
        sync::{Notify, oneshot},
        task::JoinHandle,
        time::{Instant, sleep, timeout},
    },
    viz::{Request, Router},
};

/// Most concurrent connections of the servers of these tests.
const MAX_CONNECTIONS: usize = 4;

/// Time within which an ordinary request must be answered.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(10);

/// Time limits that end a test soon.
const SHORT_LIMITS: Limits = Limits { header_ms: 400, idle_ms: 900, ..LIMITS };

fn connections() -> Arc<Connections> {
    Arc::new(Connections::new(MAX_CONNECTIONS, Bodies::new(1 << 20)))
}

async fn listen(limits: Limits) -> (SocketAddr, JoinHandle<()>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let routes = Router::new().get("/", |_: Request| async { Ok::<_, viz::Error>("hello") });
    (address, tokio::spawn(serve(listener, routes, connections(), limits, pending())))
}

/// Sends bytes, and returns everything that the server sends until it closes the connection.
async fn exchange(address: SocketAddr, sent: &[u8]) -> String {
    let mut stream = TcpStream::connect(address).await.unwrap();
    // The write fails if the server closes the connection before it has read everything.
    let _ = stream.write_all(sent).await;
    let mut answer = Vec::new();
    let _ = stream.read_to_end(&mut answer).await;
    String::from_utf8(answer).unwrap()
}

/// Guards against connections that hold a task and a socket for ever because their headers never arrive.
#[tokio::test]
async fn missing_headers_close_the_connection_after_the_timeout() {
    let (address, _server) = listen(SHORT_LIMITS).await;
    let Limits { header_ms, idle_ms, .. } = SHORT_LIMITS;
    for (sent, limit_ms) in [
        ("", idle_ms),
        ("GET", header_ms),
        ("GET / HTTP/1.1\r\nhost: a\r\n", header_ms),
        ("GET / HTTP/1.1\r\nhost: a\r\n\r\n", idle_ms),
    ] {
        let start = Instant::now();
        let answer = exchange(address, sent.as_bytes()).await;
        assert!(start.elapsed() >= Duration::from_millis(limit_ms), "{sent:?}");
        let is_complete = sent.ends_with("\r\n\r\n");
        assert_eq!(answer.starts_with("HTTP/1.1 200"), is_complete, "{sent:?}: {answer}");
    }
}

/// Guards against a server that closes an idle connection before a load balancer does, which may lose a request.
#[test]
fn idle_connections_outlive_those_of_load_balancers() {
    const { assert!(LIMITS.idle_ms > 60_000) };
}

/// Guards against headers that use unbounded memory.
#[tokio::test]
async fn oversized_headers_are_refused() {
    let (address, _server) = listen(LIMITS).await;
    let headers =
        format!("GET / HTTP/1.1\r\nhost: a\r\nx: {}\r\n\r\n", "x".repeat(8 * LIMITS.header_bytes));
    let answer = exchange(address, headers.as_bytes()).await;
    // Closing a connection with unread bytes resets it, which can discard the answer before it is read.
    assert!(answer.is_empty() || answer.starts_with("HTTP/1.1 431"), "{answer}");
}

/// Guards against connections that outlive the session of the VM that serves them.
#[tokio::test]
async fn dropping_the_server_closes_all_connections() {
    let (address, server) = listen(LIMITS).await;
    let mut stream = TcpStream::connect(address).await.unwrap();
    stream.write_all(b"GET / HTTP/1.1\r\nhost: a\r\n\r\n").await.unwrap();
    let mut start = [0; 12];
    stream.read_exact(&mut start).await.unwrap();
    assert_eq!(&start, b"HTTP/1.1 200");
    server.abort();
    let mut rest = Vec::new();
    let _ = stream.read_to_end(&mut rest).await;
    assert!(TcpStream::connect(address).await.is_err());
}

/// Guards against a planned stop that aborts a request in flight, or that waits for idle connections.
#[tokio::test]
async fn a_planned_stop_finishes_requests_in_flight() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let (arrived, finish) = (Arc::new(Notify::new()), Arc::new(Notify::new()));
    let signals = (Arc::clone(&arrived), Arc::clone(&finish));
    let routes = Router::new().get("/", move |_: Request| {
        let (arrived, finish) = signals.clone();
        async move {
            arrived.notify_one();
            finish.notified().await;
            Ok::<_, viz::Error>("finished")
        }
    });
    let (stop, stopped) = oneshot::channel::<()>();
    let server = tokio::spawn(serve(listener, routes, connections(), LIMITS, async {
        let _ = stopped.await;
    }));
    let mut idle = TcpStream::connect(address).await.unwrap();
    let request =
        tokio::spawn(async move { exchange(address, b"GET / HTTP/1.1\r\nhost: a\r\n\r\n").await });
    arrived.notified().await;
    stop.send(()).unwrap();
    // The idle connection is closed while the request is still in flight.
    assert_eq!(idle.read(&mut [0; 1]).await.unwrap(), 0);
    assert!(!server.is_finished());
    assert!(TcpStream::connect(address).await.is_err());
    finish.notify_one();
    server.await.unwrap();
    let answer = request.await.unwrap();
    assert!(answer.starts_with("HTTP/1.1 200") && answer.ends_with("finished"), "{answer}");
}

/// Guards against clients that connect and send no request, or only a part of one, and so keep all others out.
#[tokio::test]
async fn clients_without_a_request_do_not_keep_others_out() {
    for sent in ["", "GET / HTTP/1.1\r\nhost: a\r\n"] {
        let (address, _server) = listen(LIMITS).await;
        let mut crowd = Vec::new();
        for _ in 0..MAX_CONNECTIONS {
            let mut stream = TcpStream::connect(address).await.unwrap();
            stream.write_all(sent.as_bytes()).await.unwrap();
            crowd.push(stream);
        }
        sleep(NEW_TIME).await;
        let request = exchange(address, b"GET / HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n");
        let answer = timeout(ANSWER_TIMEOUT, request).await.expect("the request is not answered");
        assert!(answer.starts_with("HTTP/1.1 200"), "{sent:?}: {answer}");
    }
}
