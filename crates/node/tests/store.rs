//! The replica's storage: torn tails are cut, damage is refused.

use std::path::Path;

use tempfile::TempDir;
use wheelmast_core::process::control::evacuation::EvacuationRegistry;
use wheelmast_core::process::control::log::{HardState, LogEntry, LogPosition};
use wheelmast_core::process::control::message::ReplicaAction;
use wheelmast_core::process::control::rollout::RolloutRegistry;
use wheelmast_core::process::control::state::{ControlCommand, ControlState};
use wheelmast_node::process::store::folder::{DataFolder, FolderIdentity, FOLDER_FORMAT};
use wheelmast_node::process::store::record::{
    append_record, read_records, RecordKind, FILE_HEADER,
};
use wheelmast_node::process::store::replica_store::ReplicaStore;
use wheelmast_wire::peer::encode;

fn identity() -> FolderIdentity {
    FolderIdentity {
        cluster: "c".into(),
        instance: "i".into(),
        format: FOLDER_FORMAT,
    }
}

fn entry(index: u64) -> ReplicaAction {
    ReplicaAction::PersistEntry(LogEntry {
        term: 1,
        index,
        command: ControlCommand::Nothing,
    })
}

/// Makes a folder with three entries, each synced.
fn folder_with_entries() -> TempDir {
    let folder = TempDir::new().expect("a folder");
    let data = DataFolder::create(folder.path(), &identity()).expect("it is new");
    let mut store = ReplicaStore::open(data).expect("it opens");
    for index in 1..=3 {
        store.persist(&entry(index)).expect("kept");
        store.sync().expect("synced");
    }
    folder
}

fn reopen(path: &Path) -> anyhow::Result<ReplicaStore> {
    ReplicaStore::open(DataFolder::open(path, &identity())?)
}

struct DamageCase {
    name: &'static str,
    change: fn(&mut Vec<u8>),
    /// Entries after reopening, or what the refusal says.
    result: Result<usize, &'static str>,
}

#[test]
fn a_torn_tail_is_cut_and_damage_is_refused() {
    let cases = [
        DamageCase {
            name: "whole",
            change: |_| (),
            result: Ok(3),
        },
        DamageCase {
            name: "last record cut short",
            change: |bytes| bytes.truncate(bytes.len() - 1),
            result: Ok(2),
        },
        DamageCase {
            name: "last record wrong",
            change: |bytes| *bytes.last_mut().expect("bytes") ^= 1,
            result: Ok(2),
        },
        DamageCase {
            name: "tear inside the last batch, with its end on the disk",
            change: |bytes| {
                let middle = bytes.len() - 20;
                bytes[middle] ^= 1;
            },
            result: Ok(2),
        },
        DamageCase {
            name: "zeros at the end",
            change: |bytes| bytes.extend([0; 100]),
            result: Ok(3),
        },
        DamageCase {
            name: "first record wrong",
            change: |bytes| bytes[FILE_HEADER.len() + 13] ^= 1,
            result: Err("offset 8"),
        },
        DamageCase {
            name: "length of the first record wrong",
            change: |bytes| bytes[FILE_HEADER.len() + 2] = 0xff,
            result: Err("offset 8"),
        },
        DamageCase {
            name: "newer format",
            change: |bytes| bytes[7] = b'9',
            result: Err("newer"),
        },
    ];
    for case in cases {
        let folder = folder_with_entries();
        let file = folder.path().join("control-1.log");
        let mut bytes = std::fs::read(&file).expect("the file");
        (case.change)(&mut bytes);
        std::fs::write(&file, bytes).expect("written");
        let opened = reopen(folder.path());
        match case.result {
            Ok(entries) => {
                let store = opened.expect(case.name);
                assert_eq!(
                    store.persisted_state().entries.len(),
                    entries,
                    "{}",
                    case.name
                );
            }
            Err(text) => {
                let error = format!("{:#}", opened.expect_err(case.name));
                assert!(error.contains(text), "{}: {error}", case.name);
                assert!(error.contains("control-1.log"), "{}: {error}", case.name);
            }
        }
    }
}

#[test]
fn a_folder_is_locked_and_belongs_to_one_instance() {
    let folder = folder_with_entries();
    let first_store = reopen(folder.path()).expect("it opens");
    let error = format!("{:#}", reopen(folder.path()).expect_err("it is locked"));
    assert!(error.contains("another process"), "{error}");
    drop(first_store);
    let other = FolderIdentity {
        cluster: "other".into(),
        ..identity()
    };
    let error = format!(
        "{:#}",
        DataFolder::open(folder.path(), &other).expect_err("another's")
    );
    assert!(
        error.contains("belongs to instance i of cluster c"),
        "{error}"
    );
    assert!(DataFolder::create(folder.path(), &identity()).is_err());
    let empty = TempDir::new().expect("a folder");
    let error = format!("{:#}", reopen(empty.path()).expect_err("its disk was lost"));
    assert!(error.contains("must not come back"), "{error}");
}

#[test]
fn a_snapshot_takes_the_place_of_what_it_includes() {
    let folder = folder_with_entries();
    let mut store = reopen(folder.path()).expect("it opens");
    let hard_state = HardState {
        term: 5,
        vote: Some(7),
    };
    let mut state = ControlState::default();
    state.apply(&ControlCommand::Change {
        change: "a".into(),
        base: 0,
        note: String::new(),
        csv: "x".into(),
    });
    store
        .persist(&ReplicaAction::PersistHardState(hard_state))
        .expect("kept");
    let snapshot = ReplicaAction::PersistSnapshot {
        place: LogPosition { term: 1, index: 2 },
        state: Box::new(state),
        is_installed: false,
    };
    store.persist(&snapshot).expect("kept");
    store.persist(&entry(4)).expect("kept");
    store.sync().expect("synced");
    let persisted_state = store.persisted_state().clone();
    drop(store);
    let store = reopen(folder.path()).expect("it opens");
    assert_eq!(*store.persisted_state(), persisted_state);
    assert_eq!(persisted_state.hard_state, hard_state);
    assert_eq!(persisted_state.state.version(), 1);
    let indexes: Vec<u64> = persisted_state
        .entries
        .iter()
        .map(|entry| entry.index)
        .collect();
    assert_eq!(indexes, [3, 4]);
    assert!(!folder.path().join("control-1.log").exists());
}

proptest::proptest! {
    #![proptest_config(proptest::test_runner::Config {
        cases: 1000,
        failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(8),
        ..Default::default()
    })]

    /// Cut at any byte, a file gives back a part of what was written, in
    /// order, and never an error.
    #[test]
    fn a_file_cut_anywhere_is_read(bodies in proptest::collection::vec(proptest::collection::vec(0u8.., 0..40), 0..8), cut in 0usize..400) {
        let mut bytes = FILE_HEADER.to_vec();
        for body in &bodies {
            append_record(RecordKind::Entry, body, &mut bytes);
        }
        let cut = FILE_HEADER.len() + cut % (bytes.len() - FILE_HEADER.len() + 1);
        let found = read_records(&bytes[..cut]).expect("a cut is no damage");
        let read: Vec<Vec<u8>> = found.records.iter().map(|record| record.body.to_vec()).collect();
        proptest::prop_assert!(bodies.starts_with(&read));
        proptest::prop_assert!(found.valid_length <= cut);
    }
}

struct SnapshotCase {
    name: &'static str,
    /// What the program did not write yet at the end.
    missing: Vec<u8>,
}

#[test]
fn a_snapshot_that_an_earlier_program_wrote_is_read() {
    let evacuations = encode(&EvacuationRegistry::default()).expect("encoded");
    let rollouts = encode(&RolloutRegistry::default()).expect("encoded");
    let cases = [
        SnapshotCase {
            name: "as now",
            missing: Vec::new(),
        },
        SnapshotCase {
            name: "before roll-outs",
            missing: rollouts.clone(),
        },
        SnapshotCase {
            name: "before evacuations",
            missing: [evacuations, rollouts].concat(),
        },
    ];
    let mut state = ControlState::default();
    state.apply(&ControlCommand::Route {
        version: 9,
        base: None,
        text: b"text".to_vec(),
    });
    let place = LogPosition { term: 2, index: 5 };
    let now = encode(&(place, &state)).expect("encoded");
    for case in cases {
        let before = now.strip_suffix(&*case.missing).expect("it is last");
        let folder = TempDir::new().expect("a folder");
        let data = DataFolder::create(folder.path(), &identity()).expect("it is new");
        drop(ReplicaStore::open(data).expect("it opens"));
        let mut bytes = FILE_HEADER.to_vec();
        append_record(RecordKind::Snapshot, before, &mut bytes);
        let log = folder.path().join("control-1.log");
        std::fs::write(log, bytes).expect("written");
        let store = reopen(folder.path());
        let store = store.unwrap_or_else(|error| panic!("{}: {error:#}", case.name));
        assert_eq!(store.persisted_state().state, state, "{}", case.name);
    }
}
