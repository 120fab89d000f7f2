//! Division of the workers' slots and connections while VMs come and go.

mod support;

use std::{sync::Arc, time::Duration};

use {
    coriandertack_standins::serving::Serving,
    futures::future::join_all,
    support::{Vm, call, echo, fence, join, start, start_some},
    tokio::task::JoinHandle,
};

/// Sends `count` requests at once through a VM.
fn burst(vm: &Vm, count: usize) -> JoinHandle<usize> {
    let router = Arc::clone(&vm.router);
    tokio::spawn(async move {
        let calls = (0..count).map(|number| router.call(call(&number.to_string())));
        join_all(calls).await.into_iter().filter(Result::is_ok).count()
    })
}

fn assert_within_limits(workers: &[Serving]) {
    for worker in workers {
        let tally = worker.tally();
        assert!(tally.most_in_use <= 8, "{} slots in use", tally.most_in_use);
        assert!(tally.most_connections <= 64, "{} connections", tally.most_connections);
        assert_eq!(tally.refused, 0);
    }
}

async fn workers(count: usize) -> Vec<Serving> {
    let delay = Duration::from_millis(2);
    join_all((0..count).map(|_| echo(delay))).await
}

/// Guards against VMs that together use more of a worker than it has.
#[tokio::test]
async fn shares_of_all_vms_fit() {
    for vms in [1, 3, 8, 11] {
        let workers = workers(5).await;
        let vms = start(vms, &workers.iter().collect::<Vec<_>>()).await;
        let bursts: Vec<_> = vms.iter().map(|vm| burst(vm, 60)).collect();
        for burst in bursts {
            assert_eq!(burst.await.expect("no panic"), 60);
        }
        assert_within_limits(&workers);
    }
}

/// Guards against a VM that takes its larger share before the others have given it up.
#[tokio::test]
async fn shares_fit_while_vms_join_and_go() {
    let workers = workers(3).await;
    let vms = start_some(4, 2, &workers.iter().collect::<Vec<_>>());
    let mut bursts = vec![burst(&vms[0], 200), burst(&vms[1], 200)];
    tokio::task::yield_now().await;
    join(&vms, 3);
    bursts.push(burst(&vms[2], 200));
    tokio::task::yield_now().await;
    join(&vms, 4);
    bursts.push(burst(&vms[3], 200));
    for burst in bursts {
        assert_eq!(burst.await.expect("no panic"), 200);
    }
    // A VM without requests in flight goes; the others take over its share.
    fence(&vms, 0, 3, 5);
    let bursts: Vec<_> = vms[..3].iter().map(|vm| burst(vm, 200)).collect();
    for burst in bursts {
        assert_eq!(burst.await.expect("no panic"), 200);
    }
    assert_within_limits(&workers);
}
