//! Which route of a configuration a request and a job belong to.

use std::sync::Arc;

use coriandertack_jobs::{config::Route, routes::Routes};

fn routes(rows: &[(&str, &str, &str)]) -> Routes {
    let route = |&(name, host, prefix): &(&str, &str, &str)| {
        let (name, host, prefix) = (name.into(), host.into(), prefix.into());
        Arc::new(Route { name, host, prefix, ..Route::default() })
    };
    rows.iter().map(route).collect()
}

/// Guards against an index that chooses another route than a comparison with each one.
#[test]
fn longest_prefix_of_the_host_is_chosen() {
    let routes = routes(&[
        ("all", "vans.example", "/"),
        ("plans", "vans.example", "/plans/"),
        ("more", "vans.example", "/plans/more/"),
        ("trains", "trains.example", "/plans/"),
        ("upper", "UPPER.example", "/é/"),
    ]);
    let chosen = |host, path| routes.matching(host, path).map(|(route, rest)| (&*route.name, rest));
    assert_eq!(chosen("vans.example", "/plans/1"), Some(("plans", "1")));
    assert_eq!(chosen("vans.example", "/plans/more/1"), Some(("more", "1")));
    assert_eq!(chosen("Vans.Example", "/plans/mor"), Some(("plans", "mor")));
    assert_eq!(chosen("vans.example", "/p"), Some(("all", "p")));
    assert_eq!(chosen("trains.example", "/p"), None);
    assert_eq!(chosen("other.example", "/plans/1"), None);
    assert_eq!(chosen("upper.example", "/é/1"), Some(("upper", "1")));
    // A prefix may end in the middle of a character of another path.
    assert_eq!(chosen("upper.example", "/aé/"), None);
}

/// Guards against another choice than before among equal routes: the last one for a request, the first one for a name.
#[test]
fn order_decides_among_equal_routes() {
    let rows = [("a", "vans.example", "/plans/"), ("b", "VANS.example", "/plans/")];
    let by_path = routes(&rows);
    let (route, _) = by_path.matching("vans.example", "/plans/").unwrap();
    assert_eq!(&*route.name, "b");
    let by_name = routes(&[("a", "vans.example", "/x/"), ("a", "vans.example", "/y/")]);
    assert_eq!(&*by_name.named("a").unwrap().prefix, "/x/");
    assert!(by_name.named("b").is_none());
    let order: Vec<&str> = by_name.iter().map(|route| &*route.prefix).collect();
    assert_eq!(order, ["/x/", "/y/"]);
}
