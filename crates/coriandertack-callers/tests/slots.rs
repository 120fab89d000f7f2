//! Tests of how VMs share the workers' slots and connections while VMs join and leave.

mod support;

use std::{sync::Arc, time::Duration};

use {
    coriandertack_standins::serving::Serving,
    futures::future::join_all,
    support::{Vm, call, echo_worker, fence, join, start_vms, start_vms_with_members},
    tokio::task::JoinHandle,
};

/// Sends `count` concurrent requests through a VM. The task returns how many got a response.
fn send_burst(vm: &Vm, count: usize) -> JoinHandle<usize> {
    let router = Arc::clone(&vm.router);
    tokio::spawn(async move {
        let calls = (0..count).map(|number| router.call(call(&number.to_string())));
        join_all(calls).await.into_iter().filter(Result::is_ok).count()
    })
}

/// Checks that no worker had to use more than its 8 slots and 64 connections.
fn assert_within_limits(workers: &[Serving]) {
    for worker in workers {
        let tally = worker.tally();
        assert!(tally.most_in_use <= 8, "{} slots were in use", tally.most_in_use);
        assert!(tally.most_connections <= 64, "{} connections were open", tally.most_connections);
        assert_eq!(tally.refused, 0);
    }
}

async fn start_workers(count: usize) -> Vec<Serving> {
    let delay = Duration::from_millis(2);
    join_all((0..count).map(|_| echo_worker(delay))).await
}

/// Guards against VMs that together use more slots or connections of a worker than it has.
#[tokio::test]
async fn shares_stay_within_the_limits_of_the_workers() {
    for vms in [1, 3, 8, 11] {
        let workers = start_workers(5).await;
        let vms = start_vms(vms, &workers.iter().collect::<Vec<_>>()).await;
        let bursts: Vec<_> = vms.iter().map(|vm| send_burst(vm, 60)).collect();
        for burst in bursts {
            assert_eq!(burst.await.expect("the burst panicked"), 60);
        }
        assert_within_limits(&workers);
    }
}

/// Guards against a VM that uses a larger share before the other VMs have given it up.
#[tokio::test]
async fn shares_stay_within_the_limits_while_vms_join_and_leave() {
    let workers = start_workers(3).await;
    let vms = start_vms_with_members(4, 2, &workers.iter().collect::<Vec<_>>());
    let mut bursts = vec![send_burst(&vms[0], 200), send_burst(&vms[1], 200)];
    tokio::task::yield_now().await;
    join(&vms, 3);
    bursts.push(send_burst(&vms[2], 200));
    tokio::task::yield_now().await;
    join(&vms, 4);
    bursts.push(send_burst(&vms[3], 200));
    for burst in bursts {
        assert_eq!(burst.await.expect("the burst panicked"), 200);
    }
    // A VM without requests in flight is fenced, and the others take over its share.
    fence(&vms, 0, 3, 5);
    let bursts: Vec<_> = vms[..3].iter().map(|vm| send_burst(vm, 200)).collect();
    for burst in bursts {
        assert_eq!(burst.await.expect("the burst panicked"), 200);
    }
    assert_within_limits(&workers);
}
