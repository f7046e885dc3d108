//! Addresses of a run's instances, which one of them opens again when it is
//! restarted.
//!
//! What was seen: a run ended with "could not listen on 127.0.1.1:43955, address
//! already in use". Its first instance had been killed and was started again at
//! the port that the system had chosen for it before. Meanwhile that port was
//! free, and the system gave it to a connection: those that announce servers
//! come from the same address. Bound by a connection, it fails to listen with
//! just these words.

use std::collections::HashSet;
use std::net::{IpAddr, Ipv4Addr};

use wheelmast_cli::demo::port::choose_address;

/// Where Linux says which ports it gives to connections.
const RANGE_FILE: &str = "/proc/sys/net/ipv4/ip_local_port_range";
/// Ports that the system gives where it does not say.
const DEFAULT_RANGE: &str = "32768 60999";

#[test]
fn chosen_ports_are_outside_the_ephemeral_range() {
    let range = std::fs::read_to_string(RANGE_FILE).unwrap_or(DEFAULT_RANGE.into());
    let mut ends = range.split_whitespace().map(str::parse::<u16>);
    let (first, last) = (ends.next(), ends.next());
    let first = first.expect("a first port").expect("a number");
    let last = last.expect("a last port").expect("a number");
    let source = IpAddr::V4(Ipv4Addr::new(127, 0, 1, 1));
    let mut seen = HashSet::new();
    for _ in 0..300 {
        let address = choose_address(source).expect("an address");
        assert!(!(first..=last).contains(&address.port()), "{address}");
        assert!(seen.insert(address), "{address} twice");
    }
}
