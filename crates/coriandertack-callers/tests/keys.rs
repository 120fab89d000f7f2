//! Idempotency keys across entry VMs.

mod support;

use std::{sync::Arc, time::Duration};

use {
    coriandertack_core::{
        code::Code,
        keys::{Offset, Session},
        routing::idempotency::{key_id, primary_and_backup},
    },
    coriandertack_standins::serving::{Act, Reply},
    futures::future::join_all,
    support::{SERVICE, Vm, call, echo, fence, key, keyed, scripted, start, text},
    tokio::{sync::Semaphore, time::Instant},
};

/// Returns the indexes of the primary and the backup of a key among all VMs.
fn pair_of(vms: &[Vm], key: &str) -> (usize, usize) {
    let sessions: Vec<Session> = vms.iter().map(|vm| Session(vm.node.author.0)).collect();
    let (primary, backup) = primary_and_backup(key_id(&format!("{SERVICE}/{key}")), &sessions);
    let index = |session: Option<Session>| {
        sessions.iter().position(|&known| Some(known) == session).expect("a member")
    };
    (index(primary), index(backup))
}

/// Returns an index that is none of the given ones.
fn third(vms: &[Vm], primary: usize, backup: usize) -> usize {
    (0..vms.len()).find(|&at| at != primary && at != backup).expect("three VMs")
}

/// Guards against running a repeat that comes through another VM, at the same time or later.
#[tokio::test]
async fn repeats_through_all_vms_run_once() {
    let worker = echo(Duration::from_millis(5)).await;
    let vms = start(4, &[&worker]).await;
    for round in 0..10 {
        let (body, key) = (format!("booking {round}"), key(Duration::ZERO));
        for _ in 0..2 {
            let calls = vms.iter().map(|vm| vm.router.call(keyed(&body, &key)));
            for answer in join_all(calls).await {
                assert_eq!(text(answer).as_deref(), Ok(&body[..]));
            }
        }
        assert_eq!(worker.tally().ran[body.as_bytes()], 1);
    }
}

/// Guards against answering a request with the answer to another one under the same key.
#[tokio::test]
async fn key_of_another_request_is_refused() {
    let worker = echo(Duration::ZERO).await;
    let vms = start(3, &[&worker]).await;
    let key = key(Duration::ZERO);
    assert!(vms[0].router.call(keyed("first", &key)).await.is_ok());
    for vm in &vms {
        assert_eq!(vm.router.call(keyed("second", &key)).await, Err(Code::KeyReused));
        assert_eq!(text(vm.router.call(keyed("first", &key)).await).as_deref(), Ok("first"));
    }
    assert_eq!(worker.tally().ran.len(), 1);
}

/// Guards against losing the answer together with the primary.
#[tokio::test]
async fn backup_answers_after_loss_of_the_keeper() {
    let worker = echo(Duration::ZERO).await;
    let vms = start(3, &[&worker]).await;
    let key = key(Duration::ZERO);
    let (primary, backup) = pair_of(&vms, &key);
    let other = third(&vms, primary, backup);
    assert!(vms[other].router.call(keyed("a", &key)).await.is_ok());
    fence(&vms, backup, primary, 10);
    // The primary tells the backup the answer on its own time; until then the outcome is unknown.
    let answer = loop {
        match vms[other].router.call(keyed("a", &key)).await {
            Err(Code::OutcomeUnknown) => tokio::task::yield_now().await,
            answer => break text(answer),
        }
    };
    assert_eq!(answer.as_deref(), Ok("a"));
    assert_eq!(worker.tally().ran[&b"a"[..]], 1);
}

/// Guards against running a request again that was in flight when its primary was lost.
#[tokio::test]
async fn request_of_a_lost_keeper_is_unknown() {
    let gate = Arc::new(Semaphore::new(0));
    let behind = Arc::clone(&gate);
    let worker = scripted(move |_| Act::behind(&behind)).await;
    let vms = start(3, &[&worker]).await;
    let key = key(Duration::ZERO);
    let (primary, backup) = pair_of(&vms, &key);
    let other = third(&vms, primary, backup);
    let first = tokio::spawn({
        let (router, call) = (Arc::clone(&vms[primary].router), keyed("a", &key));
        async move { router.call(call).await }
    });
    while worker.tally().in_use == 0 {
        tokio::task::yield_now().await;
    }
    fence(&vms, backup, primary, 10);
    let second = tokio::spawn({
        let (router, call) = (Arc::clone(&vms[other].router), keyed("a", &key));
        async move { router.call(call).await }
    });
    while !second.is_finished() {
        assert!(worker.tally().in_use < 2, "the request runs a second time");
        tokio::task::yield_now().await;
    }
    assert_eq!(second.await.expect("no panic"), Err(Code::OutcomeUnknown));
    gate.add_permits(1);
    assert!(first.await.expect("no panic").is_ok());
    assert_eq!(worker.tally().ran[&b"a"[..]], 1);
}

/// Guards against running a request again after both VMs that knew its key were lost.
#[tokio::test]
async fn key_is_unknown_after_loss_of_the_pair() {
    let worker = echo(Duration::ZERO).await;
    let vms = start(4, &[&worker]).await;
    let key = key(Duration::ZERO);
    let (primary, backup) = pair_of(&vms, &key);
    let other = third(&vms, primary, backup);
    assert!(vms[other].router.call(keyed("a", &key)).await.is_ok());
    fence(&vms, other, primary, 10);
    fence(&vms, other, backup, 11);
    assert_eq!(vms[other].router.call(keyed("a", &key)).await, Err(Code::OutcomeUnknown));
    assert_eq!(worker.tally().ran[&b"a"[..]], 1);
}

/// Guards against running requests whose keys nobody can know any more.
#[tokio::test]
async fn old_and_malformed_keys_are_refused() {
    let worker = echo(Duration::ZERO).await;
    let vms = start(2, &[&worker]).await;
    let call = async |key: &str| vms[0].router.call(keyed("a", key)).await;
    assert_eq!(call(&key(Duration::from_secs(601))).await, Err(Code::KeyExpired));
    // The VMs have not been there for a minute yet.
    assert_eq!(call(&key(Duration::from_secs(60))).await, Err(Code::OutcomeUnknown));
    assert_eq!(call("no uuid").await, Err(Code::Malformed));
    assert_eq!(call("67e55044-10b1-426f-9247-bb680e5fe0c8").await, Err(Code::Malformed));
    assert!(worker.tally().ran.is_empty());
}

/// Guards against a key that is used up by a refusal.
#[tokio::test]
async fn refused_request_may_use_its_key_again() {
    let refusals = Arc::new(Semaphore::new(8));
    let left = Arc::clone(&refusals);
    let worker = scripted(move |_| match left.try_acquire() {
        Ok(refusal) => {
            refusal.forget();
            Act::reply(Reply::NotRun)
        }
        Err(_) => Act::after(Duration::ZERO),
    });
    let worker = worker.await;
    let vms = start(3, &[&worker]).await;
    let key = key(Duration::ZERO);
    let answer = loop {
        match vms[0].router.call(keyed("a", &key)).await {
            Err(code) => assert!(code.guarantees_not_run(), "{code}"),
            answer => break text(answer),
        }
    };
    assert_eq!(answer.as_deref(), Ok("a"));
    assert_eq!(worker.tally().ran[&b"a"[..]], 1);
}

/// Guards against running a request twice: by a pair of VMs that is cut off, and by their successors.
#[tokio::test]
async fn pair_without_a_valid_membership_runs_nothing_once_only() {
    let worker = echo(Duration::ZERO).await;
    let vms = start(2, &[&worker]).await;
    for vm in &vms {
        vm.node.with(|shared| shared.validity.revoke(Instant::now()));
    }
    let key = key(Duration::ZERO);
    let answer = vms[0].router.call(keyed("a", &key)).await;
    assert_eq!(answer, Err(Code::LogUnavailable));
    assert!(worker.tally().ran.is_empty());
    // Other requests are routed while the log is down.
    assert!(vms[0].router.call(call("b")).await.is_ok());
    // A VM that alone is cut off notices by its links that the others have gone on.
    vms[0].node.with(|shared| {
        for link in shared.links.values_mut() {
            link.offset = Offset(99);
        }
    });
    assert_eq!(vms[0].router.call(call("c")).await, Err(Code::NotReady));
}
