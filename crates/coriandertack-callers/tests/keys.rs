//! Tests of idempotency keys across several entry VMs.

mod support;

use std::{sync::Arc, time::Duration};

use {
    coriandertack_core::{
        code::Code,
        keys::{Offset, Session},
        routing::idempotency::{key_id, primary_and_backup},
    },
    coriandertack_standins::serving::{Action, Reply},
    futures::future::join_all,
    support::{
        SERVICE, Vm, call, echo_worker, fence, keyed_call, new_key, response_text, scripted_worker,
        start_vms,
    },
    tokio::{sync::Semaphore, time::Instant},
};

/// Returns the indexes of the primary and the backup of a key among all VMs.
fn primary_and_backup_of(vms: &[Vm], key: &str) -> (usize, usize) {
    let sessions: Vec<Session> = vms.iter().map(|vm| Session(vm.node.author.0)).collect();
    let (primary, backup) = primary_and_backup(key_id(&format!("{SERVICE}/{key}")), &sessions);
    let index = |session: Option<Session>| {
        sessions.iter().position(|&known| Some(known) == session).expect("not a member")
    };
    (index(primary), index(backup))
}

/// Returns the index of a VM that is neither the primary nor the backup.
fn other_vm(vms: &[Vm], primary: usize, backup: usize) -> usize {
    (0..vms.len()).find(|&at| at != primary && at != backup).expect("fewer than three VMs")
}

/// Guards against running a request again when it is repeated through another VM, at the same time
/// or later.
#[tokio::test]
async fn repeats_through_all_vms_run_once() {
    let worker = echo_worker(Duration::from_millis(5)).await;
    let vms = start_vms(4, &[&worker]).await;
    for round in 0..10 {
        let (body, key) = (format!("booking {round}"), new_key(Duration::ZERO));
        for _ in 0..2 {
            let calls = vms.iter().map(|vm| vm.router.call(keyed_call(&body, &key)));
            for result in join_all(calls).await {
                assert_eq!(response_text(result).as_deref(), Ok(&body[..]));
            }
        }
        assert_eq!(worker.tally().ran[body.as_bytes()], 1);
    }
}

/// Guards against responding to a request with the response to another one that has the same key.
#[tokio::test]
async fn key_of_another_request_is_refused() {
    let worker = echo_worker(Duration::ZERO).await;
    let vms = start_vms(3, &[&worker]).await;
    let key = new_key(Duration::ZERO);
    assert!(vms[0].router.call(keyed_call("first", &key)).await.is_ok());
    for vm in &vms {
        assert_eq!(vm.router.call(keyed_call("second", &key)).await, Err(Code::KeyReused));
        assert_eq!(
            response_text(vm.router.call(keyed_call("first", &key)).await).as_deref(),
            Ok("first")
        );
    }
    assert_eq!(worker.tally().ran.len(), 1);
}

/// Guards against losing the response together with the primary.
#[tokio::test]
async fn backup_responds_after_loss_of_the_primary() {
    let worker = echo_worker(Duration::ZERO).await;
    let vms = start_vms(3, &[&worker]).await;
    let key = new_key(Duration::ZERO);
    let (primary, backup) = primary_and_backup_of(&vms, &key);
    let other = other_vm(&vms, primary, backup);
    assert!(vms[other].router.call(keyed_call("a", &key)).await.is_ok());
    fence(&vms, backup, primary, 10);
    // The primary sends the response to the backup in the background. Until it arrives, the outcome
    // is unknown.
    let result = loop {
        match vms[other].router.call(keyed_call("a", &key)).await {
            Err(Code::OutcomeUnknown) => tokio::task::yield_now().await,
            result => break response_text(result),
        }
    };
    assert_eq!(result.as_deref(), Ok("a"));
    assert_eq!(worker.tally().ran[&b"a"[..]], 1);
}

/// Guards against running a request again that was in flight when the primary of its key was lost.
#[tokio::test]
async fn request_in_flight_at_a_lost_primary_is_unknown() {
    let gate = Arc::new(Semaphore::new(0));
    let worker_gate = Arc::clone(&gate);
    let worker = scripted_worker(move |_| Action::behind(&worker_gate)).await;
    let vms = start_vms(3, &[&worker]).await;
    let key = new_key(Duration::ZERO);
    let (primary, backup) = primary_and_backup_of(&vms, &key);
    let other = other_vm(&vms, primary, backup);
    let first = tokio::spawn({
        let (router, call) = (Arc::clone(&vms[primary].router), keyed_call("a", &key));
        async move { router.call(call).await }
    });
    while worker.tally().in_use == 0 {
        tokio::task::yield_now().await;
    }
    fence(&vms, backup, primary, 10);
    let second = tokio::spawn({
        let (router, call) = (Arc::clone(&vms[other].router), keyed_call("a", &key));
        async move { router.call(call).await }
    });
    while !second.is_finished() {
        assert!(worker.tally().in_use < 2, "the request runs twice");
        tokio::task::yield_now().await;
    }
    assert_eq!(second.await.expect("the call panicked"), Err(Code::OutcomeUnknown));
    gate.add_permits(1);
    assert!(first.await.expect("the call panicked").is_ok());
    assert_eq!(worker.tally().ran[&b"a"[..]], 1);
}

/// Guards against running a request again after both VMs that had recorded its key were lost.
#[tokio::test]
async fn key_is_unknown_after_loss_of_primary_and_backup() {
    let worker = echo_worker(Duration::ZERO).await;
    let vms = start_vms(4, &[&worker]).await;
    let key = new_key(Duration::ZERO);
    let (primary, backup) = primary_and_backup_of(&vms, &key);
    let other = other_vm(&vms, primary, backup);
    assert!(vms[other].router.call(keyed_call("a", &key)).await.is_ok());
    fence(&vms, other, primary, 10);
    fence(&vms, other, backup, 11);
    assert_eq!(vms[other].router.call(keyed_call("a", &key)).await, Err(Code::OutcomeUnknown));
    assert_eq!(worker.tally().ran[&b"a"[..]], 1);
}

/// Guards against running requests whose keys are malformed, or too old for any VM to tell whether
/// they were used.
#[tokio::test]
async fn old_and_malformed_keys_are_refused() {
    let worker = echo_worker(Duration::ZERO).await;
    let vms = start_vms(2, &[&worker]).await;
    let call = async |key: &str| vms[0].router.call(keyed_call("a", key)).await;
    assert_eq!(call(&new_key(Duration::from_secs(601))).await, Err(Code::KeyExpired));
    // The VMs have been running for less than a minute.
    assert_eq!(call(&new_key(Duration::from_secs(60))).await, Err(Code::OutcomeUnknown));
    assert_eq!(call("no uuid").await, Err(Code::Malformed));
    assert_eq!(call("67e55044-10b1-426f-9247-bb680e5fe0c8").await, Err(Code::Malformed));
    assert!(worker.tally().ran.is_empty());
}

/// Guards against a refusal that prevents the key from being used again although the request was
/// not run.
#[tokio::test]
async fn refused_request_may_use_its_key_again() {
    let refusals = Arc::new(Semaphore::new(8));
    let remaining = Arc::clone(&refusals);
    let worker = scripted_worker(move |_| match remaining.try_acquire() {
        Ok(permit) => {
            permit.forget();
            Action::reply(Reply::NotRun)
        }
        Err(_) => Action::after(Duration::ZERO),
    });
    let worker = worker.await;
    let vms = start_vms(3, &[&worker]).await;
    let key = new_key(Duration::ZERO);
    let result = loop {
        match vms[0].router.call(keyed_call("a", &key)).await {
            Err(code) => assert!(code.guarantees_not_run(), "{code}"),
            result => break response_text(result),
        }
    };
    assert_eq!(result.as_deref(), Ok("a"));
    assert_eq!(worker.tally().ran[&b"a"[..]], 1);
}

/// Guards against running a request twice: at a primary and backup that are disconnected from the
/// log, and at their successors.
#[tokio::test]
async fn keyed_request_needs_a_valid_membership() {
    let worker = echo_worker(Duration::ZERO).await;
    let vms = start_vms(2, &[&worker]).await;
    for vm in &vms {
        vm.node.with(|shared| shared.validity.revoke(Instant::now()));
    }
    let key = new_key(Duration::ZERO);
    let result = vms[0].router.call(keyed_call("a", &key)).await;
    assert_eq!(result, Err(Code::LogUnavailable));
    assert!(worker.tally().ran.is_empty());
    // Requests without a key are routed while the log is down.
    assert!(vms[0].router.call(call("b")).await.is_ok());
    // A VM that alone is disconnected learns from its links that the others have applied more of
    // the log.
    vms[0].node.with(|shared| {
        for link in shared.links.values_mut() {
            link.offset = Offset(99);
        }
    });
    assert_eq!(vms[0].router.call(call("c")).await, Err(Code::NotReady));
}
