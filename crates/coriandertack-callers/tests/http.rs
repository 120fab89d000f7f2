//! Tests of the HTTP interface for callers.

mod support;

use std::{net::SocketAddr, sync::Arc, time::Duration};

use {
    bytes::Bytes,
    coriandertack_callers::routes,
    coriandertack_core::{code::Code, node::Stage},
    coriandertack_standins::serving::Action,
    http_body_util::{BodyExt, Full},
    hyper::{Request, StatusCode, client::conn::http1},
    hyper_util::rt::TokioIo,
    support::{SERVICE, Vm, echo_worker, new_key, scripted_worker, start_vms},
    tokio::{
        net::{TcpListener, TcpStream},
        sync::Semaphore,
    },
};

/// Serves the HTTP interface of a VM on a free port.
async fn serve(vm: &Vm) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("could not bind a port");
    let address = listener.local_addr().expect("no local address");
    let routes = routes(Arc::clone(&vm.node), Arc::clone(&vm.router));
    tokio::spawn(async move { viz::serve(listener, routes).await });
    address
}

/// Sends a request and returns the status and body of the response.
async fn post(
    address: SocketAddr,
    service: &str,
    headers: &[(&str, &str)],
    body: Vec<u8>,
) -> (StatusCode, String) {
    let stream = TcpStream::connect(address).await.expect("could not connect");
    let (mut sender, driver) =
        http1::handshake(TokioIo::new(stream)).await.expect("HTTP handshake failed");
    tokio::spawn(driver);
    let mut request = Request::post(format!("/call/{service}")).header("host", "vm");
    for (name, value) in headers {
        request = request.header(*name, *value);
    }
    let request = request.body(Full::new(Bytes::from(body))).expect("invalid request");
    let response = sender.send_request(request).await.expect("no response");
    let status = response.status();
    let body = response.into_body().collect().await.expect("incomplete response").to_bytes();
    (status, String::from_utf8_lossy(&body).into_owned())
}

type Headers = &'static [(&'static str, &'static str)];

/// Returns the status and body with which a request is refused.
fn refusal(code: Code) -> (StatusCode, String) {
    let body = format!("{{\"code\":{},\"text\":\"{}\"}}", code.number(), code.text());
    (StatusCode::from_u16(code.http_status()).expect("invalid status"), body)
}

/// Guards against modified responses of the service, and refusals without the numbered code of
/// their cause.
#[tokio::test]
async fn responses_and_refusals_are_encoded_as_specified() {
    let worker = echo_worker(Duration::ZERO).await;
    let vms = start_vms(1, &[&worker]).await;
    let address = serve(&vms[0]).await;
    let response = post(address, SERVICE, &[("x-deadline-ms", "60000")], b"quote".to_vec()).await;
    assert_eq!(response, (StatusCode::OK, "quote".to_owned()));
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
        let response = post(address, service, headers, b"a".to_vec()).await;
        assert_eq!(response, refusal(*code), "{service} {headers:?}");
    }
    let long = "x".repeat(200);
    let response = post(address, SERVICE, &[("x-class", &long)], b"a".to_vec()).await;
    assert_eq!(response, refusal(Code::Malformed));
    let response = post(address, SERVICE, &[], vec![b'x'; (1 << 20) + 1]).await;
    assert_eq!(response, refusal(Code::TooLarge));
    let key = new_key(Duration::ZERO);
    for _ in 0..2 {
        let response = post(address, SERVICE, &[("idempotency-key", &key)], b"once".to_vec()).await;
        assert_eq!(response, (StatusCode::OK, "once".to_owned()));
    }
    assert_eq!(worker.tally().ran[&b"once"[..]], 1);
    vms[0].node.stage.send_replace(Stage::Draining);
    assert_eq!(post(address, SERVICE, &[], b"a".to_vec()).await, refusal(Code::Stopping));
}

/// Guards against request bodies that in total take more memory than is allowed for them.
#[tokio::test]
async fn body_beyond_the_total_limit_is_refused() {
    let gate = Arc::new(Semaphore::new(0));
    let worker_gate = Arc::clone(&gate);
    let worker = scripted_worker(move |_| Action::behind(&worker_gate)).await;
    let vms = start_vms(1, &[&worker]).await;
    let address = serve(&vms[0]).await;
    // The limit allows 32 bodies of 1 MiB.
    let admitted: Vec<_> =
        (0..32).map(|_| tokio::spawn(post(address, SERVICE, &[], vec![b'x'; 1 << 20]))).collect();
    while vms[0].router.calls_in_progress() < 32 {
        tokio::task::yield_now().await;
    }
    assert_eq!(post(address, SERVICE, &[], vec![b'x'; 1 << 20]).await, refusal(Code::Overloaded));
    gate.add_permits(32);
    for call in admitted {
        assert_eq!(call.await.expect("the call panicked").0, StatusCode::OK);
    }
}
