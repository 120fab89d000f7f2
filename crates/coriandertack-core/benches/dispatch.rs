//! Time of all decisions on one request: admission, choice of an instance, verdict on its answer.

use std::{hint::black_box, time::Duration};

use {
    coriandertack_core::{
        message::Instance,
        routing::dispatcher::{AttemptOutcome, Dispatcher, RequestInfo},
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
        let mut dispatcher = Dispatcher::new("split".into());
        dispatcher.shares.claim_all();
        dispatcher.update(&instances(count));
        let now = Instant::now();
        let took = now + Duration::from_millis(10);
        let until = now + Duration::from_millis(500);
        let request_info =
            RequestInfo { service: "vukic.quotes", class: "", until, repeatable: true };
        criterion.bench_function(&format!("one request, {count} instances"), |bencher| {
            bencher.iter(|| {
                let request = dispatcher.admit(&request_info, now).expect("admitted");
                let attempt = dispatcher.start_for(request, now).expect("a free slot");
                black_box(dispatcher.end_attempt(attempt.request, AttemptOutcome::Answered, took))
            });
        });
    }
}

criterion_group!(benches, decide);
criterion_main!(benches);
