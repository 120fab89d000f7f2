//! The HTTP interface for callers.

mod support;

use std::{net::SocketAddr, sync::Arc, time::Duration};

use {
    bytes::Bytes,
    coriandertack_callers::routes,
    coriandertack_core::{code::Code, node::Stage},
    coriandertack_standins::serving::Act,
    http_body_util::{BodyExt, Full},
    hyper::{Request, StatusCode, client::conn::http1},
    hyper_util::rt::TokioIo,
    support::{SERVICE, Vm, echo, key, scripted, start},
    tokio::{
        net::{TcpListener, TcpStream},
        sync::Semaphore,
    },
};

/// Serves a VM's callers on a free port.
async fn serve(vm: &Vm) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("an address");
    let routes = routes(Arc::clone(&vm.node), Arc::clone(&vm.router));
    tokio::spawn(async move { viz::serve(listener, routes).await });
    address
}

/// Sends a request and returns status and content of the answer.
async fn post(
    address: SocketAddr,
    service: &str,
    headers: &[(&str, &str)],
    body: Vec<u8>,
) -> (StatusCode, String) {
    let stream = TcpStream::connect(address).await.expect("a connection");
    let (mut sender, driver) = http1::handshake(TokioIo::new(stream)).await.expect("a handshake");
    tokio::spawn(driver);
    let mut request = Request::post(format!("/call/{service}")).header("host", "vm");
    for (name, value) in headers {
        request = request.header(*name, *value);
    }
    let request = request.body(Full::new(Bytes::from(body))).expect("a request");
    let response = sender.send_request(request).await.expect("an answer");
    let status = response.status();
    let content = response.into_body().collect().await.expect("a complete answer").to_bytes();
    (status, String::from_utf8_lossy(&content).into_owned())
}

type Headers = &'static [(&'static str, &'static str)];

fn refusal(code: Code) -> (StatusCode, String) {
    let body = format!("{{\"code\":{},\"text\":\"{}\"}}", code.number(), code.text());
    (StatusCode::from_u16(code.http_status()).expect("a status"), body)
}

/// Guards against answers that are changed, and against refusals without a numbered code.
#[tokio::test]
async fn answers_and_refusals_have_their_form() {
    let worker = echo(Duration::ZERO).await;
    let vms = start(1, &[&worker]).await;
    let address = serve(&vms[0]).await;
    let answer = post(address, SERVICE, &[("x-deadline-ms", "60000")], b"quote".to_vec()).await;
    assert_eq!(answer, (StatusCode::OK, "quote".to_owned()));
    let cases: &[(&str, Headers, Code)] = &[
        ("vukic.other", &[], Code::NoUpstream),
        ("no-team", &[], Code::Malformed),
        (SERVICE, &[("x-deadline-ms", "soon")], Code::Malformed),
        (SERVICE, &[("x-deadline-ms", "0")], Code::OutOfRange),
        (SERVICE, &[("x-deadline-ms", "600001")], Code::OutOfRange),
        (SERVICE, &[("x-repeatable", "maybe")], Code::Malformed),
        (SERVICE, &[("x-class", "a b")], Code::Malformed),
        (SERVICE, &[("x-class", "a"), ("x-class", "b")], Code::Malformed),
        (SERVICE, &[("idempotency-key", "7")], Code::Malformed),
    ];
    for (service, headers, code) in cases {
        let answer = post(address, service, headers, b"a".to_vec()).await;
        assert_eq!(answer, refusal(*code), "{service} {headers:?}");
    }
    let long = "x".repeat(200);
    let answer = post(address, SERVICE, &[("x-class", &long)], b"a".to_vec()).await;
    assert_eq!(answer, refusal(Code::Malformed));
    let answer = post(address, SERVICE, &[], vec![b'x'; (1 << 20) + 1]).await;
    assert_eq!(answer, refusal(Code::TooLarge));
    let key = key(Duration::ZERO);
    for _ in 0..2 {
        let answer = post(address, SERVICE, &[("idempotency-key", &key)], b"once".to_vec()).await;
        assert_eq!(answer, (StatusCode::OK, "once".to_owned()));
    }
    assert_eq!(worker.tally().ran[&b"once"[..]], 1);
    vms[0].node.stage.send_replace(Stage::Draining);
    assert_eq!(post(address, SERVICE, &[], b"a".to_vec()).await, refusal(Code::Stopping));
}

/// Guards against content that together takes more memory than the VM may use.
#[tokio::test]
async fn content_beyond_the_budget_is_refused() {
    let gate = Arc::new(Semaphore::new(0));
    let behind = Arc::clone(&gate);
    let worker = scripted(move |_| Act::behind(&behind)).await;
    let vms = start(1, &[&worker]).await;
    let address = serve(&vms[0]).await;
    // 32 requests of 1 MiB fit.
    let held: Vec<_> =
        (0..32).map(|_| tokio::spawn(post(address, SERVICE, &[], vec![b'x'; 1 << 20]))).collect();
    while vms[0].router.in_progress() < 32 {
        tokio::task::yield_now().await;
    }
    assert_eq!(post(address, SERVICE, &[], vec![b'x'; 1 << 20]).await, refusal(Code::Overloaded));
    gate.add_permits(32);
    for held in held {
        assert_eq!(held.await.expect("no panic").0, StatusCode::OK);
    }
}
