//! Selection of the other entries that an entry is notified of.

use std::collections::BTreeMap;

use wheelmast_core::process::forward::input::EntryPeer;
use wheelmast_core::process::forward::roll::{select_known_peers, PEERS_PER_REMOTE_DOMAIN};

const DOMAINS: u16 = 6;
const ENTRIES: u16 = 95;

fn peer(domain: u16, number: u16) -> EntryPeer {
    EntryPeer {
        instance: format!("entry-{domain}-{number}").into(),
        incarnation: u64::from(number),
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
fn an_entry_is_notified_of_all_entries_of_its_domain_and_some_of_others() {
    let all = all();
    for local in [&all[0], &all[300]] {
        let selected = select_known_peers(local, &all);
        let near = selected.iter().filter(|peer| peer.domain == local.domain);
        assert_eq!(near.count(), usize::from(ENTRIES));
        let far = selected.iter().filter(|peer| peer.domain != local.domain);
        assert_eq!(
            far.count(),
            PEERS_PER_REMOTE_DOMAIN * usize::from(DOMAINS - 1)
        );
    }
}

#[test]
fn each_entry_is_known_to_about_the_same_number_of_remote_entries() {
    let all = all();
    let mut known_by: BTreeMap<Box<str>, usize> = BTreeMap::new();
    for local in &all {
        for peer in select_known_peers(local, &all) {
            if peer.domain != local.domain {
                *known_by.entry(peer.id()).or_default() += 1;
            }
        }
    }
    // On average, 40 remote entries know an entry.
    let (least, most) = (known_by.values().min(), known_by.values().max());
    assert_eq!(known_by.len(), all.len());
    assert!(
        *least.unwrap() >= 15 && *most.unwrap() <= 75,
        "{least:?} {most:?}"
    );
}

#[test]
fn an_additional_entry_changes_at_most_one_selected_entry() {
    let mut all = all();
    let local = all[0].clone();
    let before: Vec<EntryPeer> = select_known_peers(&local, &all)
        .into_iter()
        .cloned()
        .collect();
    all.push(peer(3, ENTRIES));
    let after = select_known_peers(&local, &all);
    let added = after.iter().filter(|peer| !before.contains(peer));
    assert!(added.count() <= 1);
    assert_eq!(before.len(), after.len());
}
