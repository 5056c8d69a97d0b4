//! Lookup of routes and customers, and selection of a route's service by weight.

use jackdaw_policy::direct::{KeyError, RouteTable, ServiceWeight};

use crate::common::{config, route};

fn table() -> RouteTable {
    let mut config = config(1);
    config.routes = vec![
        route("short", "a.example", "/x/"),
        route("long", "a.example", "/x/y/"),
        route("other", "b.example", "/"),
    ];
    config.routes[2].is_public = true;
    RouteTable::new(config)
}

fn found<'a>(table: &'a RouteTable, host: &str, path: &str) -> Option<&'a str> {
    table.find_route(host, path).map(|route| route.name.as_str())
}

#[test]
fn longest_prefix_wins() {
    let table = table();
    assert_eq!(found(&table, "a.example", "/x/1"), Some("short"));
    assert_eq!(found(&table, "a.example", "/x/y/1"), Some("long"));
    assert_eq!(found(&table, "a.example", "/x"), None);
    assert_eq!(found(&table, "c.example", "/x/"), None);
}

#[test]
fn host_matches_without_case_and_port() {
    let table = table();
    assert_eq!(found(&table, "A.Example:8080", "/x/1"), Some("short"));
}

#[test]
fn keys_are_required_unless_public() {
    let table = table();
    let private = table.find_route("a.example", "/x/").expect("a route");
    let public = table.find_route("b.example", "/").expect("a route");
    assert_eq!(table.authorize(private, None), Err(KeyError::Missing));
    assert_eq!(table.authorize(private, Some("key-of-nobody")), Err(KeyError::Unknown));
    let customer = table.authorize(private, Some("key-of-north")).expect("allowed");
    assert_eq!(customer.map(|customer| customer.name.as_str()), Some("north"));
    assert_eq!(table.authorize(public, None), Ok(None));
    assert_eq!(table.authorize(public, Some("key-of-nobody")), Ok(None));
}

#[test]
fn services_are_selected_by_weight() {
    let mut config = config(1);
    config.routes[0].services = vec![
        ServiceWeight { service: "nine".to_owned(), weight: 90 },
        ServiceWeight { service: "one".to_owned(), weight: 10 },
    ];
    let table = RouteTable::new(config);
    let route = &table.config().routes[0];
    let picks = (0..10_000).filter_map(|id| table.pick_service(route, &format!("{id:x}")));
    let ones = picks.filter(|service| *service == "one").count();
    // Five standard deviations of a binomial distribution around a tenth.
    assert!((850..=1150).contains(&ones), "{ones} of 10,000");
}
