//! Benchmark of the choice of a route, by the number of routes. The last route takes longest to find without an index.

use std::{hint::black_box, sync::Arc};

use {
    coriandertack_jobs::config::{Config, Route},
    criterion::{Criterion, criterion_group, criterion_main},
};

fn config(routes: usize) -> Config {
    let route = |number: usize| {
        let (name, prefix) = (format!("r{number}").into(), format!("/q{number:04x}/").into());
        Arc::new(Route { name, prefix, host: "vans.example".into(), ..Route::default() })
    };
    Config { routes: (0..routes).map(route).collect(), ..Config::default() }
}

fn lookups(c: &mut Criterion) {
    for routes in [45, 4_247] {
        let config = config(routes);
        let (name, path) = (format!("r{}", routes - 1), format!("/q{:04x}/0123", routes - 1));
        c.bench_function(&format!("route_of_request/{routes}"), |b| {
            b.iter(|| {
                black_box(&config).route(black_box("vans.example"), black_box(&path)).is_some()
            })
        });
        c.bench_function(&format!("route_named/{routes}"), |b| {
            b.iter(|| black_box(&config).route_named(black_box(&name)).is_some())
        });
    }
}

criterion_group!(benches, lookups);
criterion_main!(benches);
