//! The assignment of scarce connections to entries. Guards against sums over all entries
//! that exceed a server's limit, and against entries that use a gained place before the
//! others have lost it.

use std::time::Duration;

use proptest::prelude::*;
use wheelmast_core::process::forward::connection_places::{
    OpeningBackoff, PlaceView, ViewHistory, GAIN_DELAY,
};
use wheelmast_core::process::forward::connection_subset::{
    reserve_connections, shared_connections, EntryView, ServerSite,
};
use wheelmast_core::process::forward::input::EntryPeer;
use wheelmast_core::process::forward::roll::select_known_peers;

/// Returns entries that are numbered over all domains, `sizes[domain]` in each domain.
fn entries(sizes: &[usize]) -> Vec<EntryPeer> {
    let domains = sizes.iter().enumerate();
    let entries = domains.flat_map(|(domain, size)| {
        (0..*size).map(move |number| EntryPeer {
            instance: format!("entry-{domain}-{number}").into(),
            incarnation: 1,
            domain: format!("d{domain}").into(),
            address: ([127, 0, 0, 1], 9000).into(),
        })
    });
    entries.collect()
}

/// Returns the view of `local`, which knows the entries of its own domain and the first one
/// of each other domain.
fn view(local: &EntryPeer, all: &[EntryPeer]) -> EntryView {
    let is_known = |entry: &&EntryPeer| {
        entry.domain == local.domain || (entry.instance.ends_with("-0") && entry.incarnation == 1)
    };
    let known = all.iter().filter(is_known);
    view_of(local, all.len(), known)
}

fn view_of<'a>(
    local: &EntryPeer,
    count: usize,
    known: impl Iterator<Item = &'a EntryPeer>,
) -> EntryView {
    let known: Vec<(Box<str>, &str)> = known.map(|entry| (entry.id(), &*entry.domain)).collect();
    let known = known.iter().map(|(id, domain)| (&**id, *domain));
    EntryView::new(&local.id(), &local.domain, count as u32, known)
}

/// Returns servers of one shard, in the given domains.
fn servers(domains: &[usize], slots: u32) -> Vec<ServerSite<'static>> {
    let servers = domains.iter().enumerate();
    let servers = servers.map(|(number, domain)| {
        ServerSite::new(
            &format!("server-{number}"),
            &format!("d{domain}"),
            slots,
            "shard",
        )
    });
    servers.collect()
}

fn sum(views: &[EntryView], server: &ServerSite<'_>, budget: u32) -> u32 {
    let connections = views.iter().map(|view| view.connections(server, budget));
    connections.sum()
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(48))]

    #[test]
    fn all_entries_together_stay_within_the_budgets(
        sizes in prop::collection::vec(0_usize..167, 1..7),
        limit in 1_u32..200,
        slots in 1_u32..9,
        domains in prop::collection::vec(0_usize..7, 1..5),
    ) {
        let mut all = entries(&sizes);
        if all.is_empty() {
            all = entries(&[1]);
        }
        let views: Vec<EntryView> = all.iter().map(|local| view(local, &all)).collect();
        let servers = servers(&domains, slots);
        let (shared, reserve) = (shared_connections(limit), reserve_connections(limit));
        if limit > 1 {
            prop_assert!(f64::from(shared) <= 0.85 * f64::from(limit));
        }
        let reserved = views.iter().map(|view| view.reserve_server(&servers, shared, reserve));
        let reserved: Vec<Option<usize>> = reserved.collect();
        for (index, server) in servers.iter().enumerate() {
            let in_contact = sum(&views, server, shared);
            let out_of_contact = sum(&views, server, reserve);
            let placeless = reserved.iter().filter(|place| **place == Some(index)).count() as u32;
            prop_assert!(in_contact <= shared, "{} of {}", in_contact, shared);
            prop_assert!(out_of_contact <= reserve, "{} of {}", out_of_contact, reserve);
            prop_assert!(placeless <= reserve, "{} of {}", placeless, reserve);
            prop_assert!(in_contact + out_of_contact + placeless <= limit);
        }
        for (view, place) in views.iter().zip(reserved) {
            let has_place = servers.iter().any(|server| view.connections(server, shared) > 0);
            prop_assert!(!(has_place && place.is_some()), "a reserve place beside another");
        }
    }

    #[test]
    fn a_place_is_usable_only_if_the_entry_had_it_for_the_whole_delay(
        changes in prop::collection::vec((0_usize..24, 0_u64..700, any::<bool>()), 1..9),
        limit in 8_u32..20,
    ) {
        let roll = entries(&[8, 8, 8]);
        let local = &roll[0];
        let servers = servers(&[0, 1, 2], 2);
        let mut present = vec![true; roll.len()];
        let mut history = ViewHistory::default();
        let mut now = Duration::from_secs(10);
        // The views with the times at which they came into force.
        let mut views: Vec<(PlaceView, Duration)> = Vec::new();
        for (number, after, in_contact) in changes {
            present[number] = number == 0 || !present[number];
            let listed = roll.iter().zip(&present).filter(|(_, present)| **present);
            let listed: Vec<EntryPeer> = listed.map(|(entry, _)| entry.clone()).collect();
            let entries = view_of(local, listed.len(), listed.iter());
            let view = PlaceView { entries, in_contact };
            history.set(view.clone(), now);
            views.push((view, now));
            now += Duration::from_millis(after);
            history.remove_expired(now);
            let places = history.places(&servers, &[true; 3], limit);
            // A view that was replaced at once was never in force.
            let ends = views.iter().skip(1).map(|(_, since)| Some(*since)).chain([None]);
            let recent = views.iter().zip(ends).filter(|((_, since), end)| {
                end.is_none_or(|end| end > *since && now < end + GAIN_DELAY)
            });
            let recent: Vec<&PlaceView> = recent.map(|((view, _), _)| view).collect();
            let bounds = servers.iter().map(|server| {
                let each = recent.iter().map(|view| {
                    let shared = shared_connections(limit);
                    let budget = if view.in_contact { shared } else { reserve_connections(limit) };
                    view.entries.connections(server, budget)
                });
                each.min().unwrap_or(0)
            });
            let bounds: Vec<u32> = bounds.collect();
            for (place, bound) in places.iter().zip(&bounds) {
                let is_from_reserve = bounds.iter().all(|bound| *bound == 0);
                prop_assert!(place.usable <= *bound || is_from_reserve, "{:?} of {}", place, bound);
            }
            prop_assert!(places.iter().map(|place| place.usable).sum::<u32>() > 0 || in_contact);
        }
    }
}

/// Entries in each domain, and the expected number of connections to a server in domain 0.
struct SplitCase {
    name: &'static str,
    sizes: &'static [usize],
    limit: u32,
    slots: u32,
    /// Connections of the owner in domain 0.
    owner: u32,
    /// Sum of the connections in domain 0.
    near: u32,
    /// Sum over all domains.
    all: u32,
}

#[test]
fn the_servers_own_domain_and_the_owners_come_first() {
    let cases = [
        SplitCase {
            name: "63 entries, 54 connections",
            sizes: &[11, 10, 11, 10, 11, 10],
            limit: 54,
            slots: 2,
            owner: 4,
            near: 14,
            all: 41,
        },
        SplitCase {
            name: "69 entries, 56 connections",
            sizes: &[12, 11, 12, 11, 12, 11],
            limit: 56,
            slots: 2,
            owner: 4,
            near: 15,
            all: 43,
        },
        SplitCase {
            name: "1,000 entries: other domains have the owners alone",
            sizes: &[167, 167, 167, 167, 166, 166],
            limit: 54,
            slots: 2,
            owner: 4,
            near: 40,
            all: 45,
        },
        SplitCase {
            name: "many slots: the owner has half at most",
            sizes: &[40, 40],
            limit: 40,
            slots: 50,
            owner: 17,
            near: 33,
            all: 34,
        },
        SplitCase {
            name: "one domain",
            sizes: &[60],
            limit: 50,
            slots: 2,
            owner: 4,
            near: 42,
            all: 42,
        },
        SplitCase {
            name: "one connection",
            sizes: &[5, 5],
            limit: 1,
            slots: 2,
            owner: 1,
            near: 1,
            all: 1,
        },
        SplitCase {
            name: "no entry in the server's domain",
            sizes: &[0, 20, 20],
            limit: 30,
            slots: 2,
            owner: 0,
            near: 0,
            all: 25,
        },
    ];
    for case in cases {
        let all = entries(case.sizes);
        let views: Vec<EntryView> = all.iter().map(|local| view(local, &all)).collect();
        let server = servers(&[0], case.slots)[0];
        let budget = shared_connections(case.limit);
        let near_views = &views[..case.sizes[0]];
        let most = near_views
            .iter()
            .map(|view| view.connections(&server, budget));
        assert_eq!(most.max().unwrap_or(0), case.owner, "{}", case.name);
        assert_eq!(sum(near_views, &server, budget), case.near, "{}", case.name);
        assert_eq!(sum(&views, &server, budget), case.all, "{}", case.name);
    }
}

#[test]
fn each_entry_has_a_place_at_a_server_of_nearly_every_shard() {
    let all = entries(&[11, 10, 11, 10, 11, 10]);
    let views: Vec<EntryView> = all
        .iter()
        .map(|local| {
            view_of(
                local,
                all.len(),
                select_known_peers(local, &all).into_iter(),
            )
        })
        .collect();
    let (mut without, mut pairs) = (0, 0);
    for shard in 0..90 {
        let key = format!("s{shard}");
        let sites = (0..3).map(|number| {
            let domain = format!("d{}", (shard + number * 2) % 6);
            ServerSite::new(&format!("{key}-{number}"), &domain, 2, &key)
        });
        let sites: Vec<ServerSite<'_>> = sites.collect();
        for view in &views {
            let places = sites.iter().map(|site| view.connections(site, 45));
            let is_placeless = places.sum::<u32>() == 0;
            pairs += 1;
            if is_placeless && view.reserve_server(&sites, 45, 4).is_none() {
                without += 1;
            }
        }
    }
    assert!(without * 20 < pairs, "{without} of {pairs}");
}

#[test]
fn a_change_of_the_list_moves_few_places() {
    let before = entries(&[11, 10, 11, 10, 11, 10]);
    let mut restarted = before.clone();
    restarted[20].incarnation = 2;
    let changes = [
        ("an entry leaves", entries(&[11, 10, 11, 10, 11, 9])),
        ("an entry joins", entries(&[11, 10, 11, 10, 11, 11])),
        ("an entry restarts", restarted),
    ];
    for (name, after) in changes {
        let (mut moved, mut places) = (0, 0);
        for number in 0..60 {
            let server = ServerSite::new(&format!("server-{number}"), "d0", 2, "shard");
            for entry in &before {
                let former = view(entry, &before).connections(&server, 45);
                places += former;
                if let Some(same) = after.iter().find(|other| other.id() == entry.id()) {
                    let now = view(same, &after).connections(&server, 45);
                    moved += now.abs_diff(former);
                }
            }
        }
        assert!(moved * 20 < places, "{name}: {moved} of {places}");
    }
}

#[test]
fn the_back_off_doubles_with_each_reset_until_a_new_connection_is_answered() {
    let mut backoff = OpeningBackoff::default();
    let mut now = Duration::from_secs(1);
    for expected in [100, 200, 400, 800, 1600, 2000, 2000] {
        let length = backoff.record_reset(now).expect("a back-off");
        assert_eq!(length, Duration::from_millis(expected));
        let almost = now + length - Duration::from_millis(1);
        assert!(!backoff.allows_opening(almost));
        assert_eq!(backoff.record_reset(almost), None, "opened before");
        now += length;
        assert!(backoff.allows_opening(now));
    }
    backoff.record_reset(now);
    backoff.record_accepted(now);
    assert!(!backoff.allows_opening(now), "opened before the reset");
    now += Duration::from_secs(2);
    backoff.record_accepted(now);
    let length = backoff.record_reset(now);
    assert_eq!(length, Some(Duration::from_millis(100)));
}
