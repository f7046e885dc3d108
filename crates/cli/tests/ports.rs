//! Tests the choice of listener addresses for the instances of a demo run.
//!
//! Guards against a restarted instance failing with "could not listen on 127.0.1.1:43955, address
//! already in use". While an instance is down, the kernel may give its port, if that is an ephemeral
//! one, to an outgoing connection: connections that announce servers use the same source address.

use std::collections::HashSet;
use std::net::{IpAddr, Ipv4Addr};

use wheelmast_cli::demo::port::choose_address;

/// File in which Linux gives the range of ephemeral ports, which outgoing connections get.
const RANGE_FILE: &str = "/proc/sys/net/ipv4/ip_local_port_range";
/// Default range of ephemeral ports, used if the file cannot be read.
const DEFAULT_RANGE: &str = "32768 60999";

#[test]
fn chosen_ports_are_outside_the_ephemeral_range() {
    let range = std::fs::read_to_string(RANGE_FILE).unwrap_or(DEFAULT_RANGE.into());
    let mut ends = range.split_whitespace().map(str::parse::<u16>);
    let (first, last) = (ends.next(), ends.next());
    let first = first.expect("first port").expect("a number");
    let last = last.expect("last port").expect("a number");
    let source = IpAddr::V4(Ipv4Addr::new(127, 0, 1, 1));
    let mut seen = HashSet::new();
    for _ in 0..300 {
        let address = choose_address(source).expect("address");
        assert!(!(first..=last).contains(&address.port()), "{address}");
        assert!(seen.insert(address), "{address} was chosen twice");
    }
}
