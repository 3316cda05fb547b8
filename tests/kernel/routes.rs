//! Routes: matching by host and longest prefix, keys, and weighted services.

use std::collections::BTreeMap;
use std::time::Duration;

use larkwick::error::ErrorKind;
use larkwick::kernel::region::AllowedRegions;
use larkwick::kernel::route::{
    CallKind, CallLimits, CallerAccount, KeyedAccount, Route, RouteConfig, RouteTable,
    WeightedService, engine_priority, rank,
};

fn route(name: &str, host: &str, path_prefix: &str) -> Route {
    Route {
        name: name.to_owned(),
        host: host.to_owned(),
        path_prefix: path_prefix.to_owned(),
        kind: CallKind::Once,
        services: vec![WeightedService {
            service: "s".to_owned(),
            weight: 1,
        }],
        attempts_max: 1,
        timeout: Duration::from_secs(1),
        latency_objective: Duration::from_millis(100),
        pause_max: None,
        caller_patience: None,
        priority: 3,
        public: false,
        resumable: false,
        allowed_regions: AllowedRegions::default(),
    }
}

fn table(routes: Vec<Route>, accounts: Option<Vec<KeyedAccount>>) -> RouteTable {
    RouteTable::new(RouteConfig {
        version: 1,
        routes,
        services: BTreeMap::new(),
        limits: CallLimits::default(),
        accounts,
    })
}

fn account() -> KeyedAccount {
    KeyedAccount {
        name: "a".to_owned(),
        keys: vec!["k1".to_owned(), "k2".to_owned()],
        priority: Some(0),
        allowed_regions: AllowedRegions::default(),
    }
}

#[test]
fn find_several_prefixes_longest_wins() {
    let routes = vec![
        route("short", "h", "/a/"),
        route("long", "h", "/a/b/"),
        route("other", "i", "/a/b/c/"),
    ];
    let table = table(routes, None);
    let name = |host: &str, path: &str| table.find(host, path).map(|route| route.name.clone());
    assert_eq!(name("h", "/a/b/c/d").unwrap(), "long");
    assert_eq!(name("H:80", "/a/c").unwrap(), "short");
    assert_eq!(name("i", "/a/b/c/").unwrap(), "other");
    for (host, path) in [("h", "/ab/"), ("h", "/a"), ("j", "/a/b/")] {
        let error = name(host, path).unwrap_err();
        assert_eq!(error.kind, ErrorKind::NotFound, "{host} {path}");
    }
}

#[test]
fn authorize_by_key_or_public_route() {
    let mut open = route("open", "h", "/o/");
    open.public = true;
    let closed = route("closed", "h", "/c/");
    let keyed = table(vec![open.clone(), closed.clone()], Some(vec![account()]));
    let caller = keyed.authorize(&closed, Some("k2")).unwrap();
    assert_eq!(caller.name(), Some("a"));
    assert_eq!(caller.priority(&closed), 0);
    assert_eq!(keyed.authorize(&open, None).unwrap(), CallerAccount::Anyone);
    for key in [None, Some("k3"), Some("")] {
        let error = keyed.authorize(&closed, key).unwrap_err();
        assert_eq!(error.kind, ErrorKind::Unauthorized, "{key:?}");
    }
    let without_accounts = table(vec![closed.clone()], None);
    let caller = without_accounts.authorize(&closed, None).unwrap();
    assert_eq!(caller.priority(&closed), 3);
}

#[test]
fn choose_service_follows_weights() {
    let mut split = route("split", "h", "/");
    split.services = vec![
        WeightedService {
            service: "a".to_owned(),
            weight: 90,
        },
        WeightedService {
            service: "b".to_owned(),
            weight: 10,
        },
    ];
    assert_eq!(split.choose_service(0.0), "a");
    assert_eq!(split.choose_service(0.899), "a");
    assert_eq!(split.choose_service(0.901), "b");
    assert_eq!(split.choose_service(0.999_999), "b");
}

/// An account that sets one priority for all its calls: its urgent ones still come first.
#[test]
fn rank_priority_in_force_first_then_that_of_the_route() {
    let mut calls = [(1, 2), (0, 2), (1, 0), (0, 0), (2, 0)];
    calls.sort_by_key(|(priority, route_priority)| rank(*priority, *route_priority));
    assert_eq!(calls, [(0, 0), (0, 2), (1, 0), (1, 2), (2, 0)]);
    let at_engines = calls.map(|(priority, route)| engine_priority(priority, route));
    assert!(at_engines.is_sorted_by(|left, right| left < right));
    assert_eq!(engine_priority(u8::MAX, u8::MAX), 9);
}
