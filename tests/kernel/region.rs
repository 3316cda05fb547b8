//! Regions in which a request may be served.

use std::collections::BTreeMap;

use larkwick::kernel::region::{AllowedRegions, HallRegions};

fn only(regions: &[&str]) -> AllowedRegions {
    AllowedRegions::only(regions.iter().map(|region| (*region).to_owned()))
}

#[test]
fn unrestricted_any_region_allowed() {
    assert!(AllowedRegions::default().contains("north"));
    assert!(AllowedRegions::default().contains(""));
}

#[test]
fn route_and_account_both_bind() {
    let both = only(&["north", "south"]).intersection(&only(&["south", "west"]));
    assert!(both.contains("south"));
    assert!(!both.contains("north") && !both.contains("west"));
}

#[test]
fn route_and_account_disjoint_nowhere_allowed() {
    let both = only(&["north"]).intersection(&only(&["south"]));
    assert!(both.is_restricted());
    assert!(!both.contains("north") && !both.contains("south"));
}

#[test]
fn intersection_with_unrestricted_unchanged() {
    let one = only(&["north"]);
    assert_eq!(one.intersection(&AllowedRegions::default()), one);
    assert_eq!(AllowedRegions::default().intersection(&one), one);
}

#[test]
fn hall_of_unknown_region_not_allowed() {
    let halls = BTreeMap::from([("hall-1".to_owned(), "north".to_owned())]);
    let halls = HallRegions::new(halls);
    assert!(only(&["north"]).contains(halls.region_of("hall-1")));
    assert!(!only(&["north"]).contains(halls.region_of("hall-2")));
}
