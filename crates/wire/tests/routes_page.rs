//! Tests that the example in the documentation of the route table is valid.

use wheelmast_core::version::route_table::{RouteTable, RouteTarget};
use wheelmast_wire::dialect::ForwardDialect;
use wheelmast_wire::native::NativeDialect;

const PAGE: &str = include_str!("../../../docs/ROUTES.md");

#[test]
fn the_documented_example_is_a_valid_route_table() {
    let (_, rest) = PAGE
        .split_once("```json\n")
        .expect("the page has an example");
    let (text, _) = rest.split_once("```").expect("the example has an end");
    let draft = NativeDialect::read_table(text.as_bytes()).expect("the example can be parsed");
    let table = RouteTable::check(draft).expect("the example has no findings");
    let route = &table.routes()[0];
    assert_eq!(route.homes, ["north"]);
    assert!(matches!(&route.target, RouteTarget::Gather(names) if names.len() == 2));
    let cold: Vec<f64> = table
        .services()
        .iter()
        .map(|service| service.cold_per_s)
        .collect();
    assert_eq!(cold, [10.0, 0.0]);
}
