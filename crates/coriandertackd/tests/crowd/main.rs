//! Tests of one entry VM process that many clients connect to without ever finishing their requests.
//!
//! Each test starts a real process with stand-ins for the platform's services, states a small memory and few file
//! descriptors in its settings, and opens more connections than fit. The checks do not depend on the speed of the
//! machine: the process lives, its peak memory and its descriptors stay within what the settings state, and an ordinary
//! submission is accepted while the clients are still connected. The tests run one at a time, since each measures a
//! process under load.
//!
//! `VM_PROGRAM` names the program to test in place of the one that was built with the tests, for example one that was built
//! with optimizations.

mod clients;
mod own;
mod vm;

use std::time::Duration;

use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    sync::Mutex,
    time::{sleep, timeout},
};

use self::{
    clients::{Client, Crowd, closes_within},
    own::OwnVm,
    vm::{MAX_BODY_BYTES, Vm},
};

/// Number of connections of a crowd. They exceed the descriptors that the settings leave for connections, and their
/// bodies of 64 KiB exceed the memory.
const CONNECTIONS: usize = 600;

/// Memory of the VM in MB, and the part of it that the process alone needs, built with optimizations. Built without, it has
/// 23 MB resident before any load, so only what a crowd adds is checked then.
const MEMORY_MB: u64 = 24;
const OWN_MB: u64 = 9;

/// File descriptors of the VM, and those that are reserved for files.
const MAX_FDS: usize = 700;
const FILE_FDS: usize = 200;

/// File descriptors of a process with the product's own interface, fewer than the connections of the crowd.
const MAX_OWN_FDS: usize = 400;

/// Time within which a connection without a request must be closed. The configured time-outs are 2 s, and the time
/// allows for a slow machine.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(30);

/// Held by the test that runs.
static RUNNING: Mutex<()> = Mutex::const_new(());

/// Opens a crowd and checks the process and an ordinary submission beside it.
async fn withstands(client: Client) {
    let _running = RUNNING.lock().await;
    let mut vm =
        Vm::start(&format!("[limits]\nmemory_mb = {MEMORY_MB}\nmax_fds = {MAX_FDS}\n")).await;
    let own_kb = vm.peak_memory_kb();
    let crowd = Crowd::open(vm.callers(), client, CONNECTIONS);
    let peak_fds = vm.peak_descriptors_until(crowd.settled()).await;
    assert!(vm.is_running(), "the process has ended");
    let accepted = vm.submits_job().await;
    let (peak_kb, running) = (vm.peak_memory_kb(), vm.is_running());
    let added_kb = peak_kb - own_kb;
    eprintln!(
        "{client:?}: peak memory {peak_kb} kB, added {added_kb} kB, {peak_fds} descriptors, accepted {accepted}"
    );
    assert!(running, "the process has ended");
    if vm::is_optimized() {
        assert!(peak_kb <= MEMORY_MB * 1_024, "peak memory {peak_kb} kB exceeds {MEMORY_MB} MB");
    }
    let room_mb = MEMORY_MB - OWN_MB;
    assert!(added_kb <= room_mb * 1_024, "the crowd added {added_kb} kB, more than {room_mb} MB");
    assert!(peak_fds <= MAX_FDS - FILE_FDS, "{peak_fds} descriptors were open");
    assert!(accepted, "an ordinary submission was not accepted");
    drop(crowd);
}

/// Guards against memory that grows with the sum of all bodies whose last byte never arrives.
#[tokio::test]
async fn bodies_that_lack_a_byte_stay_within_memory() {
    withstands(Client::Lacking).await;
}

/// Guards against memory that grows with the sum of all bodies in large chunks without an end.
#[tokio::test]
async fn large_chunks_without_an_end_stay_within_memory() {
    withstands(Client::Chunks { chunk: 32 * 1_024, total: MAX_BODY_BYTES - 1 }).await;
}

/// Guards against a cost for each chunk, which multiplies the size of a body in small chunks.
#[tokio::test]
async fn small_chunks_without_an_end_stay_within_memory() {
    withstands(Client::Chunks { chunk: 16, total: MAX_BODY_BYTES - 1 }).await;
}

/// Guards against a cost for each chunk at its worst: a kept chunk of a byte took more than 32 bytes.
#[tokio::test]
async fn chunks_of_a_byte_without_an_end_stay_within_memory() {
    withstands(Client::Chunks { chunk: 1, total: 4_096 }).await;
}

/// Guards against memory and descriptors that grow with the number of unfinished heads.
#[tokio::test]
async fn unfinished_heads_stay_within_memory() {
    withstands(Client::Head { bytes: 16_000 }).await;
}

/// Guards against connections of clients that send requests and read no response: they must not take the memory and the
/// descriptors of the process, and each is closed after the idle time-out.
#[tokio::test]
async fn responses_that_are_never_read_stay_within_memory() {
    withstands(Client::Unread { requests: 2_000 }).await;
}

/// Guards against clients that keep all others from the product's own interface, since their unfinished heads take all its
/// descriptors.
#[tokio::test]
async fn own_interface_withstands_unfinished_heads() {
    let _running = RUNNING.lock().await;
    let mut vm = OwnVm::start(MAX_OWN_FDS).await;
    let own_kb = vm::peak_memory_kb(vm.id());
    let crowd = Crowd::open(vm.address(), Client::Head { bytes: 16_000 }, CONNECTIONS);
    crowd.settled().await;
    let answers = vm.answers().await;
    assert!(vm.is_running(), "the process has ended");
    let added_kb = vm::peak_memory_kb(vm.id()) - own_kb;
    let room_mb = MEMORY_MB - OWN_MB;
    assert!(added_kb <= room_mb * 1_024, "the crowd added {added_kb} kB, more than {room_mb} MB");
    assert!(answers, "an ordinary request was not answered");
    drop(crowd);
}

/// Guards against a connection that stays open although its client reads none of its responses.
#[tokio::test]
async fn a_connection_with_unread_responses_is_closed() {
    let _running = RUNNING.lock().await;
    let vm = Vm::start_with("", 2_000).await;
    let crowd = Crowd::open(vm.callers(), Client::Unread { requests: 100_000 }, 1);
    let streams = crowd.settle().await;
    for mut stream in streams {
        assert!(closes_within(&mut stream, CLOSE_TIMEOUT).await, "the connection was not closed");
    }
}

/// Guards against limits that refuse a request within the limits although there is no other load: the largest body, in
/// the smallest usual chunks, at a VM whose memory does not hold two of them.
#[tokio::test]
async fn the_largest_body_in_small_chunks_is_accepted() {
    let _running = RUNNING.lock().await;
    for limits in ["", "[limits]\nmemory_mb = 1\nmax_fds = 250\n"] {
        let mut vm = Vm::start(limits).await;
        let mut body = vm::job_body().into_bytes();
        body.resize(MAX_BODY_BYTES, b' ');
        assert_eq!(vm.post_in_chunks(&body, 16).await, Some(200), "with the settings {limits:?}");
    }
}

/// Guards against a refusal for room that is not true, or does not tell when to return: two bodies that do not fit
/// together are sent, and the job of the one that is refused or closed must not exist.
#[tokio::test]
async fn a_submission_refused_for_room_has_not_run() {
    let _running = RUNNING.lock().await;
    let vm = Vm::start("[limits]\nmemory_mb = 1\nmax_fds = 250\n").await;
    let mut streams = Vec::new();
    for job in 0..2 {
        let mut stream = TcpStream::connect(vm.callers()).await.unwrap();
        let head = format!(
            "POST /plans/{job:016x} HTTP/1.1\r\nhost: vans.example\r\n\
             content-length: {MAX_BODY_BYTES}\r\n\r\n"
        );
        stream.write_all(head.as_bytes()).await.unwrap();
        // The second write fails if the first one was answered already.
        let _refused = stream.write_all(&[b' '; MAX_BODY_BYTES - 1]).await;
        streams.push(stream);
    }
    let mut refused = 0;
    for (job, stream) in streams.iter_mut().enumerate() {
        let mut answer = vec![0; 1_024];
        let bytes = stream.read(&mut answer).await.unwrap_or(0);
        let answer = String::from_utf8_lossy(&answer[..bytes]).to_lowercase();
        // The other one is answered at the deadline of its body.
        if answer.starts_with("http/1.1 503") {
            refused += 1;
            assert!(answer.contains("retry-after: 1"), "{answer}");
        }
        assert_eq!(vm.state_status(job as u64).await, 410);
    }
    assert_eq!(refused, 1);
}

/// Guards against a refused client that is cut off while it still sends its body, and may lose the response: the rest of
/// the body is dropped, so it needs no room. Two stalled bodies leave too little of it.
#[tokio::test]
async fn a_body_refused_for_room_is_read_to_its_end() {
    let _running = RUNNING.lock().await;
    let vm = Vm::start("[limits]\nmemory_mb = 1\nmax_fds = 250\n").await;
    // An attempt does not count if the machine is so slow that the stalled bodies are old enough to be closed.
    for _ in 0..10 {
        let mut streams = Vec::new();
        for (job, sent) in [MAX_BODY_BYTES - 1, MAX_BODY_BYTES / 2, 0].into_iter().enumerate() {
            let mut stream = TcpStream::connect(vm.callers()).await.unwrap();
            let mut request = format!(
                "POST /plans/{job:016x} HTTP/1.1\r\nhost: vans.example\r\n\
                 content-length: {MAX_BODY_BYTES}\r\n\r\n"
            )
            .into_bytes();
            request.resize(request.len() + sent, b' ');
            stream.write_all(&request).await.unwrap();
            sleep(Duration::from_millis(50)).await;
            streams.push(stream);
        }
        let (mut refused, mut answer) = (streams.pop().unwrap(), Vec::new());
        let mut sent = Ok(());
        for _ in 0..32 {
            sent = sent.and(refused.write_all(&[b' '; MAX_BODY_BYTES / 32]).await);
            // The process reads each part on its own.
            sleep(Duration::from_millis(2)).await;
        }
        let ended = refused.read_to_end(&mut answer).await;
        if !answer.starts_with(b"HTTP/1.1 200") && !answer.starts_with(b"HTTP/1.1 400") {
            assert!(
                sent.is_ok() && ended.is_ok(),
                "the connection was cut off: {sent:?}, {ended:?}"
            );
            assert!(answer.starts_with(b"HTTP/1.1 503"));
            return;
        }
    }
    panic!("no body was refused");
}

/// Guards against a connection that stays open for the idle time-out although its only request was refused and the rest of
/// the body never comes.
#[tokio::test]
async fn a_refused_client_that_stalls_is_closed() {
    let _running = RUNNING.lock().await;
    let limits = "[limits]\nmemory_mb = 1\nmax_fds = 250\n";
    let vm = Vm::start_with(limits, 10 * CLOSE_TIMEOUT.as_millis() as u64).await;
    let mut streams = Vec::new();
    for job in 0..2 {
        let mut stream = TcpStream::connect(vm.callers()).await.unwrap();
        let mut request = format!(
            "POST /plans/{job:016x} HTTP/1.1\r\nhost: vans.example\r\n\
             content-length: {MAX_BODY_BYTES}\r\n\r\n"
        )
        .into_bytes();
        request.resize(request.len() + MAX_BODY_BYTES - 1, b' ');
        stream.write_all(&request).await.unwrap();
        streams.push(stream);
    }
    for mut stream in streams {
        // One is refused for room, and the other one at the deadline of its body.
        let mut answer = Vec::new();
        let ended = timeout(CLOSE_TIMEOUT, stream.read_to_end(&mut answer)).await;
        assert!(ended.is_ok(), "still open after {:?}", String::from_utf8_lossy(&answer));
    }
}
