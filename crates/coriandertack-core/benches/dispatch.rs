//! Time of all decisions on one request: admission, choice of an instance, verdict on its answer.

use std::{hint::black_box, time::Duration};

use {
    coriandertack_core::{
        message::Instance,
        route::dispatch::{Dispatch, Ending, Offer},
    },
    criterion::{Criterion, criterion_group, criterion_main},
    tokio::time::Instant,
};

fn instances(count: usize) -> Vec<Instance> {
    let instance = |at: usize| Instance {
        service: "vukic.quotes".into(),
        worker: format!("w{at}").into(),
        address: "127.0.0.1:1".parse().expect("an address"),
        zone: ["split", "zadar", "dubrovnik"][at % 3].into(),
        open: true,
    };
    (0..count).map(instance).collect()
}

fn decide(criterion: &mut Criterion) {
    for count in [50, 1_000] {
        let mut dispatch = Dispatch::new("split".into());
        dispatch.shares.join_alone();
        dispatch.update(&instances(count));
        let now = Instant::now();
        let took = now + Duration::from_millis(10);
        let until = now + Duration::from_millis(500);
        let offer = Offer { service: "vukic.quotes", class: "", until, repeatable: true };
        criterion.bench_function(&format!("one request, {count} instances"), |bencher| {
            bencher.iter(|| {
                let request = dispatch.offer(&offer, now).expect("admitted");
                let start = dispatch.start_for(request, now).expect("a free slot");
                black_box(dispatch.end(start.request, Ending::Answered, took))
            });
        });
    }
}

criterion_group!(benches, decide);
criterion_main!(benches);
