//! Tests of the replica's storage: a torn tail is cut off, and a damaged or
//! foreign folder is refused.

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

/// Creates a folder whose log holds three entries, each in a batch of its own.
fn folder_with_entries() -> TempDir {
    let folder = TempDir::new().expect("temporary folder");
    let data = DataFolder::create(folder.path(), &identity()).expect("create folder");
    let mut store = ReplicaStore::open(data).expect("open");
    for index in 1..=3 {
        store.persist(&entry(index)).expect("persist");
        store.sync().expect("sync");
    }
    folder
}

fn reopen(path: &Path) -> anyhow::Result<ReplicaStore> {
    ReplicaStore::open(DataFolder::open(path, &identity())?)
}

struct DamageCase {
    name: &'static str,
    damage: fn(&mut Vec<u8>),
    /// Number of entries after reopening, or a text that the error contains.
    expected: Result<usize, &'static str>,
}

#[test]
fn a_torn_tail_is_cut_and_damage_is_refused() {
    let cases = [
        DamageCase {
            name: "undamaged",
            damage: |_| (),
            expected: Ok(3),
        },
        DamageCase {
            name: "last record cut short",
            damage: |bytes| bytes.truncate(bytes.len() - 1),
            expected: Ok(2),
        },
        DamageCase {
            name: "last record wrong",
            damage: |bytes| *bytes.last_mut().expect("bytes") ^= 1,
            expected: Ok(2),
        },
        DamageCase {
            name: "damage inside the last batch, whose end is on the disk",
            damage: |bytes| {
                let middle = bytes.len() - 20;
                bytes[middle] ^= 1;
            },
            expected: Ok(2),
        },
        DamageCase {
            name: "zeros at the end",
            damage: |bytes| bytes.extend([0; 100]),
            expected: Ok(3),
        },
        DamageCase {
            name: "first record wrong",
            damage: |bytes| bytes[FILE_HEADER.len() + 13] ^= 1,
            expected: Err("offset 8"),
        },
        DamageCase {
            name: "length of the first record wrong",
            damage: |bytes| bytes[FILE_HEADER.len() + 2] = 0xff,
            expected: Err("offset 8"),
        },
        DamageCase {
            name: "newer format",
            damage: |bytes| bytes[7] = b'9',
            expected: Err("newer"),
        },
    ];
    for case in cases {
        let folder = folder_with_entries();
        let file = folder.path().join("control-1.log");
        let mut bytes = std::fs::read(&file).expect("read file");
        (case.damage)(&mut bytes);
        std::fs::write(&file, bytes).expect("write file");
        let opened = reopen(folder.path());
        match case.expected {
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
    let first_store = reopen(folder.path()).expect("open");
    let error = format!(
        "{:#}",
        reopen(folder.path()).expect_err("the folder is locked")
    );
    assert!(error.contains("another process"), "{error}");
    drop(first_store);
    let other = FolderIdentity {
        cluster: "other".into(),
        ..identity()
    };
    let error = format!(
        "{:#}",
        DataFolder::open(folder.path(), &other)
            .expect_err("the folder belongs to another instance")
    );
    assert!(
        error.contains("belongs to instance i of cluster c"),
        "{error}"
    );
    assert!(DataFolder::create(folder.path(), &identity()).is_err());
    let empty = TempDir::new().expect("temporary folder");
    let error = format!(
        "{:#}",
        reopen(empty.path()).expect_err("the folder is empty")
    );
    assert!(error.contains("must not come back"), "{error}");
}

#[test]
fn a_snapshot_replaces_the_entries_that_it_includes() {
    let folder = folder_with_entries();
    let mut store = reopen(folder.path()).expect("open");
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
        .expect("persist");
    let snapshot = ReplicaAction::PersistSnapshot {
        place: LogPosition { term: 1, index: 2 },
        state: Box::new(state),
        is_installed: false,
    };
    store.persist(&snapshot).expect("persist");
    store.persist(&entry(4)).expect("persist");
    store.sync().expect("sync");
    let persisted_state = store.persisted_state().clone();
    drop(store);
    let store = reopen(folder.path()).expect("open");
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

    /// A file cut off at any byte yields the first of the written records, in
    /// order, and never an error.
    #[test]
    fn a_file_cut_at_any_byte_is_readable(bodies in proptest::collection::vec(proptest::collection::vec(0u8.., 0..40), 0..8), cut in 0usize..400) {
        let mut bytes = FILE_HEADER.to_vec();
        for body in &bodies {
            append_record(RecordKind::Entry, body, &mut bytes);
        }
        let cut = FILE_HEADER.len() + cut % (bytes.len() - FILE_HEADER.len() + 1);
        let found = read_records(&bytes[..cut]).expect("a cut file is not damaged");
        let read_bodies: Vec<Vec<u8>> = found.records.iter().map(|record| record.body.to_vec()).collect();
        proptest::prop_assert!(bodies.starts_with(&read_bodies));
        proptest::prop_assert!(found.valid_length <= cut);
    }
}

struct SnapshotCase {
    name: &'static str,
    /// Encoded parts at the end of a snapshot that the version did not write yet.
    missing_end: Vec<u8>,
}

#[test]
fn a_snapshot_from_an_earlier_version_is_readable() {
    let evacuations = encode(&EvacuationRegistry::default()).expect("encode");
    let rollouts = encode(&RolloutRegistry::default()).expect("encode");
    let cases = [
        SnapshotCase {
            name: "current version",
            missing_end: Vec::new(),
        },
        SnapshotCase {
            name: "version before roll-outs",
            missing_end: rollouts.clone(),
        },
        SnapshotCase {
            name: "version before evacuations",
            missing_end: [evacuations, rollouts].concat(),
        },
    ];
    let mut state = ControlState::default();
    state.apply(&ControlCommand::Route {
        version: 9,
        base: None,
        text: b"text".to_vec(),
    });
    let position = LogPosition { term: 2, index: 5 };
    let snapshot = encode(&(position, &state)).expect("encode");
    for case in cases {
        let old_snapshot = snapshot
            .strip_suffix(&*case.missing_end)
            .expect("the missing part is at the end");
        let folder = TempDir::new().expect("temporary folder");
        let data = DataFolder::create(folder.path(), &identity()).expect("create folder");
        drop(ReplicaStore::open(data).expect("open"));
        let mut bytes = FILE_HEADER.to_vec();
        append_record(RecordKind::Snapshot, old_snapshot, &mut bytes);
        let log = folder.path().join("control-1.log");
        std::fs::write(log, bytes).expect("write file");
        let store = reopen(folder.path());
        let store = store.unwrap_or_else(|error| panic!("{}: {error:#}", case.name));
        assert_eq!(store.persisted_state().state, state, "{}", case.name);
    }
}
