//! Benchmark of all dispatcher decisions for one request: admission, instance selection, and evaluation of the outcome.

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
        address: "127.0.0.1:1".parse().expect("a valid address"),
        zone: ["split", "zadar", "dubrovnik"][at % 3].into(),
        open: true,
    };
    (0..count).map(instance).collect()
}

fn bench_dispatch(criterion: &mut Criterion) {
    for count in [50, 1_000] {
        let mut dispatcher = Dispatcher::new("split".into());
        dispatcher.shares.take_all();
        dispatcher.update(&instances(count));
        let now = Instant::now();
        let ended = now + Duration::from_millis(10);
        let until = now + Duration::from_millis(500);
        let request_info =
            RequestInfo { service: "vukic.quotes", class: "", until, repeatable: true };
        criterion.bench_function(&format!("one request, {count} instances"), |bencher| {
            bencher.iter(|| {
                let request = dispatcher.admit(&request_info, now).expect("admitted");
                let attempt = dispatcher.start_for(request, now).expect("a free slot");
                black_box(dispatcher.end_attempt(attempt.request, AttemptOutcome::Answered, ended))
            });
        });
    }
}

criterion_group!(benches, bench_dispatch);
criterion_main!(benches);
