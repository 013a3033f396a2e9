//! Guards against requests that are sent to a route or service the configuration does not allow.

use dogwoodlb_config::{Limits, Route, RouteKind, Snapshot};

fn route(name: &str, prefix: &str) -> Route {
    Route::new(name, "h", prefix, RouteKind::Idempotent)
}

#[test]
fn longest_prefix_wins() {
    let routes = vec![route("short", "/a/"), route("long", "/a/b/")];
    let snapshot = Snapshot::new(1, routes, Vec::new(), Limits::default());
    assert_eq!(snapshot.route("h", "/a/b/c").unwrap().name, "long");
    assert_eq!(snapshot.route("h", "/a/c").unwrap().name, "short");
    assert!(snapshot.route("other", "/a/c").is_none());
}

#[test]
fn services_are_selected_by_weight() {
    let mut route = route("split", "/");
    route.traffic_split = vec![("none".into(), 0), ("most".into(), 9), ("few".into(), 1)];
    // A service with weight 0 is never selected, not even at the bounds of the range.
    assert_eq!(route.select_service(0.0), Some("most"));
    assert_eq!(route.select_service(0.89), Some("most"));
    assert_eq!(route.select_service(0.91), Some("few"));
    assert_eq!(route.select_service(0.999_999), Some("few"));
    assert_eq!(route.select_service(1.0), Some("few"));
}

#[test]
fn route_without_services() {
    assert_eq!(route("empty", "/").select_service(0.5), None);
}
