//! Which other entries an entry is told of.

use std::collections::BTreeMap;

use wheelmast_core::process::forward::input::EntryPeer;
use wheelmast_core::process::forward::roll::{select_known_peers, PEERS_PER_REMOTE_DOMAIN};

const DOMAINS: u16 = 6;
const ENTRIES: u16 = 95;

fn peer(domain: u16, number: u16) -> EntryPeer {
    EntryPeer {
        instance: format!("entry-{domain}-{number}").into(),
        lifetime: u64::from(number),
        domain: format!("domain-{domain}").into(),
        address: ([10, domain as u8, 0, number as u8], 80).into(),
    }
}

fn all() -> Vec<EntryPeer> {
    let domains = 0..DOMAINS;
    domains
        .flat_map(|domain| (0..ENTRIES).map(move |number| peer(domain, number)))
        .collect()
}

#[test]
fn an_entry_is_told_of_all_near_and_some_far_ones() {
    let all = all();
    for own in [&all[0], &all[300]] {
        let view = select_known_peers(own, &all);
        let near = view.iter().filter(|peer| peer.domain == own.domain);
        assert_eq!(near.count(), usize::from(ENTRIES));
        let far = view.iter().filter(|peer| peer.domain != own.domain);
        assert_eq!(
            far.count(),
            PEERS_PER_REMOTE_DOMAIN * usize::from(DOMAINS - 1)
        );
    }
}

#[test]
fn far_entries_are_told_to_as_many() {
    let all = all();
    let mut told: BTreeMap<Box<str>, usize> = BTreeMap::new();
    for own in &all {
        for peer in select_known_peers(own, &all) {
            if peer.domain != own.domain {
                *told.entry(peer.id()).or_default() += 1;
            }
        }
    }
    // On average 40 others are told of an entry.
    let (least, most) = (told.values().min(), told.values().max());
    assert_eq!(told.len(), all.len());
    assert!(
        *least.unwrap() >= 15 && *most.unwrap() <= 75,
        "{least:?} {most:?}"
    );
}

#[test]
fn an_entry_that_comes_changes_little() {
    let mut all = all();
    let own = all[0].clone();
    let before: Vec<EntryPeer> = select_known_peers(&own, &all)
        .into_iter()
        .cloned()
        .collect();
    all.push(peer(3, ENTRIES));
    let after = select_known_peers(&own, &all);
    let fresh = after.iter().filter(|peer| !before.contains(peer));
    assert!(fresh.count() <= 1);
    assert_eq!(before.len(), after.len());
}
