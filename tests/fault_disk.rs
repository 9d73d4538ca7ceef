//! The data folder under crashes before, during and after each kind of file operation, and under
//! damaged, truncated and missing files.

use std::collections::BTreeMap;
use std::fs::{self, File, OpenOptions};
use std::io::{self, Write};
use std::path::{Path, PathBuf};
use std::sync::{Arc, Mutex};

use eelgrassvalve::replica::member::{Id, Members};
use eelgrassvalve::replica::store::disk::Disk;
use eelgrassvalve::replica::store::{Error, Store};
use eelgrassvalve::replica::{self, Entry, Payload, Snapshot, Vote};
use proptest::prelude::*;
use rstest::rstest;

/// Kind of a file operation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Operation {
    Create,
    Write,
    Sync,
    Rename,
    Remove,
    SyncFolder,
}

/// When the simulated process crash happens, relative to the operation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum CrashPoint {
    Before,
    Partway,
    After,
}

/// Whether data that was not synced is still there after the crash.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Unsynced {
    Kept,
    Lost,
}

/// A disk that simulates a process crash at one operation. Every later operation fails.
#[derive(Clone, Debug)]
struct CrashingDisk(Arc<Mutex<State>>);

#[derive(Debug)]
struct State {
    operation: Operation,
    crash_point: CrashPoint,
    // Operations of that kind that complete before the crash.
    operations_before_crash: usize,
    crashed: bool,
    // Written and synced length of each file.
    lengths: BTreeMap<PathBuf, (u64, u64)>,
    // Path and earlier content for each create, rename and remove since the last folder sync.
    unsynced_names: Vec<(PathBuf, Option<Vec<u8>>)>,
}

impl CrashingDisk {
    fn new(operation: Operation, crash_point: CrashPoint, operations_before_crash: usize) -> Self {
        let (lengths, unsynced_names) = (BTreeMap::new(), Vec::new());
        Self(Arc::new(Mutex::new(State {
            operation,
            crash_point,
            operations_before_crash,
            crashed: false,
            lengths,
            unsynced_names,
        })))
    }

    fn has_crashed(&self) -> bool {
        self.0.lock().expect("the lock is not poisoned").crashed
    }

    fn discard_unsynced(&self) {
        let state = self.0.lock().expect("the lock is not poisoned");
        for (path, (_, synced)) in &state.lengths {
            let Ok(file) = OpenOptions::new().write(true).open(path) else { continue };
            file.set_len(*synced).expect("the file can be truncated");
        }
        for (path, content) in state.unsynced_names.iter().rev() {
            match content {
                Some(bytes) => fs::write(path, bytes).expect("the folder is writable"),
                None => drop(fs::remove_file(path)),
            }
        }
    }

    fn perform(
        &self,
        operation: Operation,
        complete: impl FnOnce(&mut State) -> io::Result<()>,
        partial: impl FnOnce(&mut State) -> io::Result<()>,
    ) -> io::Result<()> {
        let state = &mut *self.0.lock().expect("the lock is not poisoned");
        let crash_error = || Err(io::Error::other("simulated crash"));
        if state.crashed {
            return crash_error();
        }
        if state.operation != operation {
            return complete(state);
        }
        if state.operations_before_crash > 0 {
            state.operations_before_crash -= 1;
            return complete(state);
        }
        state.crashed = true;
        match state.crash_point {
            CrashPoint::Before => {}
            CrashPoint::Partway => partial(state)?,
            CrashPoint::After => complete(state)?,
        }
        crash_error()
    }
}

impl Disk for CrashingDisk {
    fn create(&mut self, path: &Path) -> io::Result<File> {
        let create = |state: &mut State| {
            state.unsynced_names.push((path.into(), fs::read(path).ok()));
            state.lengths.insert(path.into(), (0, 0));
            File::create(path).map(|_| ())
        };
        self.perform(Operation::Create, create, |_| Ok(()))?;
        File::create(path)
    }

    fn write(&mut self, file: &mut File, path: &Path, bytes: &[u8]) -> io::Result<()> {
        let mut file_clone = file.try_clone()?;
        let mut write = |state: &mut State, bytes: &[u8]| {
            state.lengths.entry(path.into()).or_default().0 += bytes.len() as u64;
            file.write_all(bytes)
        };
        let partial = |state: &mut State| {
            let bytes = &bytes[..bytes.len() / 2];
            state.lengths.entry(path.into()).or_default().0 += bytes.len() as u64;
            file_clone.write_all(bytes)
        };
        self.perform(Operation::Write, |state| write(state, bytes), partial)
    }

    fn sync(&mut self, file: &File, path: &Path) -> io::Result<()> {
        let sync = |state: &mut State| {
            let length = file.metadata()?.len();
            state.lengths.insert(path.into(), (length, length));
            file.sync_data()
        };
        self.perform(Operation::Sync, sync, |_| Ok(()))
    }

    fn rename(&mut self, from: &Path, to: &Path) -> io::Result<()> {
        let rename = |state: &mut State| {
            state.unsynced_names.push((to.into(), fs::read(to).ok()));
            let lengths = state.lengths.remove(from).unwrap_or_default();
            state.lengths.insert(to.into(), lengths);
            fs::rename(from, to)
        };
        self.perform(Operation::Rename, rename, |_| Ok(()))
    }

    fn remove(&mut self, path: &Path) -> io::Result<()> {
        let remove = |state: &mut State| {
            state.unsynced_names.push((path.into(), fs::read(path).ok()));
            state.lengths.remove(path);
            fs::remove_file(path)
        };
        self.perform(Operation::Remove, remove, |_| Ok(()))
    }

    fn sync_folder(&mut self, folder: &Path) -> io::Result<()> {
        let sync = |state: &mut State| {
            state.unsynced_names.clear();
            File::open(folder).and_then(|file| file.sync_all())
        };
        self.perform(Operation::SyncFolder, sync, |_| Ok(()))
    }
}

/// A change that the data folder acknowledges once it is durable.
#[derive(Clone, Debug)]
enum Change {
    Vote(u64),
    Append(Vec<Entry>),
    Snapshot { snapshot: Snapshot, reset: bool },
}

fn entry(index: u64, term: u64) -> Entry {
    Entry { index, term, payload: Payload::Command(vec![index as u8; 40].into()) }
}

fn snapshot(index: u64, term: u64) -> Snapshot {
    let mut members = Members::default();
    members.voters.insert(Id(1), "host-1".into());
    Snapshot { index, term, members, data: Arc::new(vec![7; 100].into()) }
}

fn changes() -> Vec<Change> {
    vec![
        Change::Vote(1),
        Change::Append(vec![entry(1, 1), entry(2, 1), entry(3, 1)]),
        Change::Append(vec![entry(4, 1), entry(5, 1)]),
        Change::Vote(2),
        Change::Append(vec![entry(4, 2), entry(5, 2), entry(6, 2)]),
        Change::Snapshot { snapshot: snapshot(4, 2), reset: false },
        Change::Append(vec![entry(7, 2)]),
        Change::Vote(3),
        Change::Snapshot { snapshot: snapshot(6, 3), reset: true },
        Change::Append(vec![entry(7, 3), entry(8, 3)]),
    ]
}

fn apply(saved: &mut replica::State, change: &Change) {
    match change {
        Change::Vote(term) => saved.vote = Vote { term: *term, candidate: Some(Id(1)) },
        Change::Append(entries) => {
            saved.entries.retain(|entry| entry.index < entries[0].index);
            saved.entries.extend(entries.iter().cloned());
        }
        Change::Snapshot { snapshot, reset } => {
            saved.entries.retain(|entry| !reset && entry.index > snapshot.index);
            saved.snapshot = snapshot.clone();
        }
    }
}

fn store_change(store: &mut Store, saved: &replica::State, change: &Change) -> Result<(), Error> {
    match change {
        Change::Vote(term) => store.save_vote(Vote { term: *term, candidate: Some(Id(1)) }),
        Change::Append(entries) => {
            store.append(entries)?;
            store.sync()
        }
        Change::Snapshot { snapshot, .. } => {
            let mut after = saved.clone();
            apply(&mut after, change);
            store.save_snapshot(snapshot, &after.entries)
        }
    }
}

/// States in which the folder may be found after a crash during `change`.
fn states_after_crash(before: &replica::State, change: &Change) -> Vec<replica::State> {
    let mut states = vec![before.clone()];
    if let Change::Append(entries) = change {
        for written in 1..entries.len() {
            let mut state = before.clone();
            apply(&mut state, &Change::Append(entries[..written].to_vec()));
            states.push(state);
        }
    }
    let mut after = before.clone();
    apply(&mut after, change);
    states.push(after);
    states
}

fn states_equal(one: &replica::State, other: &replica::State) -> bool {
    one.vote == other.vote && one.snapshot == other.snapshot && one.entries == other.entries
}

struct Folder(PathBuf);

impl Folder {
    fn new() -> Self {
        let path = std::env::temp_dir().join(format!("eelgrassvalve-{}", uuid::Uuid::new_v4()));
        Self(path)
    }

    fn file(&self, name: &str) -> PathBuf {
        self.0.join(name)
    }

    fn first_segment(&self) -> PathBuf {
        let mut found = Vec::new();
        for dir_entry in fs::read_dir(&self.0).expect("the folder is readable") {
            let path = dir_entry.expect("the folder is readable").path();
            let name = path.file_name().and_then(|name| name.to_str()).unwrap_or_default();
            if name.starts_with("log-") {
                found.push(path);
            }
        }
        found.sort();
        found.remove(0)
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}

fn run_until_crash(folder: &Folder, disk: &CrashingDisk) -> (replica::State, Vec<replica::State>) {
    let mut saved = replica::State::default();
    let Ok((mut store, _)) = Store::open_with_disk(&folder.0, Box::new(disk.clone())) else {
        return (saved.clone(), vec![saved]);
    };
    for change in changes() {
        let allowed = states_after_crash(&saved, &change);
        if store_change(&mut store, &saved, &change).is_err() {
            let next_sync = store.sync();
            assert!(
                matches!(next_sync, Err(Error::Failed { .. })),
                "store usable after a failed operation: {next_sync:?}"
            );
            return (saved, allowed);
        }
        apply(&mut saved, &change);
    }
    (saved.clone(), vec![saved])
}

#[rstest]
#[case::crash_before_create(Operation::Create, CrashPoint::Before)]
#[case::crash_after_create(Operation::Create, CrashPoint::After)]
#[case::crash_before_write(Operation::Write, CrashPoint::Before)]
#[case::crash_during_write(Operation::Write, CrashPoint::Partway)]
#[case::crash_after_write(Operation::Write, CrashPoint::After)]
#[case::crash_before_sync(Operation::Sync, CrashPoint::Before)]
#[case::crash_after_sync(Operation::Sync, CrashPoint::After)]
#[case::crash_before_rename(Operation::Rename, CrashPoint::Before)]
#[case::crash_after_rename(Operation::Rename, CrashPoint::After)]
#[case::crash_before_remove(Operation::Remove, CrashPoint::Before)]
#[case::crash_after_remove(Operation::Remove, CrashPoint::After)]
#[case::crash_before_folder_sync(Operation::SyncFolder, CrashPoint::Before)]
#[case::crash_after_folder_sync(Operation::SyncFolder, CrashPoint::After)]
fn synced_data_survives_crash(
    #[case] operation: Operation,
    #[case] crash_point: CrashPoint,
    #[values(Unsynced::Kept, Unsynced::Lost)] unsynced: Unsynced,
) {
    for index in 0.. {
        let folder = Folder::new();
        let disk = CrashingDisk::new(operation, crash_point, index);
        let (_, allowed) = run_until_crash(&folder, &disk);
        if !disk.has_crashed() {
            assert!(index > 0, "no operation of this kind");
            return;
        }
        if unsynced == Unsynced::Lost {
            disk.discard_unsynced();
        }
        let (mut store, found) = Store::open(&folder.0).expect("the folder opens again");
        let is_allowed = allowed.iter().any(|state| states_equal(state, &found));
        assert!(is_allowed, "operation {index}: {found:?} is none of {allowed:?}");

        let last = found.entries.last().map_or(found.snapshot.index, |entry| entry.index);
        let next = Change::Append(vec![entry(last + 1, found.vote.term)]);
        let mut expected = found.clone();
        apply(&mut expected, &next);
        store_change(&mut store, &found, &next).expect("the reopened folder is writable");
        drop(store);
        let (_, found) = Store::open(&folder.0).expect("the folder opens again");
        assert!(states_equal(&expected, &found), "operation {index}: change lost after recovery");
    }
}

fn folder_with_entries() -> Folder {
    let folder = Folder::new();
    let (mut store, _) = Store::open(&folder.0).expect("the folder opens");
    store.save_vote(Vote { term: 1, candidate: None }).expect("the state is saved");
    for first in [1, 3, 5] {
        store.append(&[entry(first, 1), entry(first + 1, 1)]).expect("the entries are written");
        store.sync().expect("the log is synced");
    }
    folder
}

#[test]
fn flipped_byte_is_refused_except_in_last_batch() {
    let folder = folder_with_entries();
    let path = folder.first_segment();
    let bytes = fs::read(&path).expect("the file is readable");
    let last_batch = bytes.len() / 3 * 2;
    for position in 0..bytes.len() {
        let mut flipped = bytes.clone();
        flipped[position] ^= 0x10;
        fs::write(&path, &flipped).expect("the file is writable");
        match Store::open(&folder.0) {
            Err(Error::Corrupt { offset, .. }) => assert!(offset <= position as u64),
            Err(other) => panic!("byte {position}: {other}"),
            Ok((_, saved)) => {
                assert!(position >= last_batch, "byte {position} was synced before a later batch");
                let kept = saved.entries.len();
                assert!((4..6).contains(&kept), "byte {position}: {kept} entries");
                assert_eq!(
                    saved.entries,
                    (1..=kept as u64).map(|i| entry(i, 1)).collect::<Vec<_>>()
                );
            }
        }
    }
}

#[test]
fn segment_truncated_at_any_length_opens_with_a_prefix() {
    let folder = folder_with_entries();
    let path = folder.first_segment();
    let bytes = fs::read(&path).expect("the file is readable");
    for length in 0..bytes.len() {
        fs::write(&path, &bytes[..length]).expect("the file is writable");
        let (_, saved) = Store::open(&folder.0).expect("the folder opens");
        assert_eq!(saved.entries.len(), length / (bytes.len() / 6));
    }
}

#[rstest]
#[case::vote("vote")]
#[case::identity("identity")]
fn damaged_file_is_refused_with_instructions(#[case] name: &str) {
    let folder = folder_with_entries();
    let path = folder.file(name);
    let mut bytes = fs::read(&path).expect("the file is readable");
    let last = bytes.len() - 1;
    bytes[last] ^= 1;
    fs::write(&path, &bytes).expect("the file is writable");
    let error = Store::open(&folder.0).expect_err("the folder is refused").to_string();
    assert!(error.contains("move the data folder away"), "{error}");
}

#[rstest]
#[case::vote("vote")]
#[case::identity("identity")]
fn missing_file_is_refused(#[case] name: &str) {
    let folder = folder_with_entries();
    fs::remove_file(folder.file(name)).expect("the file is removable");
    let error = Store::open(&folder.0).expect_err("the folder is refused");
    assert!(matches!(error, Error::Corrupt { .. }), "{error}");
}

#[test]
fn missing_snapshot_is_refused_if_the_log_starts_after_it() {
    let folder = folder_with_entries();
    let (mut store, saved) = Store::open(&folder.0).expect("the folder opens");
    store.save_snapshot(&snapshot(4, 1), &saved.entries[4..]).expect("the state is saved");
    drop(store);
    fs::remove_file(folder.file("snapshot")).expect("the file is removable");
    assert!(matches!(Store::open(&folder.0), Err(Error::Corrupt { .. })));
}

#[test]
fn damaged_segment_before_the_last_is_refused() {
    let folder = Folder::new();
    let (mut store, _) = Store::open(&folder.0).expect("the folder opens");
    store.save_vote(Vote { term: 1, candidate: None }).expect("the state is saved");
    for index in 1..=2 {
        let payload = Payload::Command(vec![1; 5 << 20].into());
        store.append(&[Entry { index, term: 1, payload }]).expect("the entries are written");
        store.sync().expect("the log is synced");
    }
    drop(store);
    let path = folder.first_segment();
    let file = OpenOptions::new().write(true).open(&path).expect("the segment opens");
    file.set_len(1_000).expect("the segment can be truncated");
    assert!(matches!(Store::open(&folder.0), Err(Error::Corrupt { .. })));
}

#[test]
fn second_daemon_on_one_folder_is_refused() {
    let folder = folder_with_entries();
    let first = Store::open(&folder.0).expect("the folder opens");
    assert!(matches!(Store::open(&folder.0), Err(Error::Locked { .. })));
    drop(first);
    Store::open(&folder.0).expect("the folder opens once the first store is closed");
}

#[test]
fn bootstrap_refuses_a_used_folder() {
    let folder = Folder::new();
    let id = Store::bootstrap(&folder.0, "host-1").expect("the folder is empty");
    assert!(matches!(Store::bootstrap(&folder.0, "host-1"), Err(Error::NotEmpty { .. })));
    let (store, saved) = Store::open(&folder.0).expect("the folder opens");
    assert_eq!(store.id(), id);
    assert!(saved.snapshot.members.is_only_voter(id));
    let folder = folder_with_entries();
    assert!(matches!(Store::bootstrap(&folder.0, "host-1"), Err(Error::NotEmpty { .. })));
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 200, failure_persistence: None, rng_seed: proptest::test_runner::RngSeed::Fixed(13), ..ProptestConfig::default() })]

    #[test]
    fn arbitrary_bytes_never_panic(
        bytes in proptest::collection::vec(any::<u8>(), 0..600),
        has_magic in any::<bool>(),
        name in prop_oneof![
            Just("log-00000000000000000001"), Just("vote"), Just("snapshot"), Just("identity"),
        ],
    ) {
        let folder = folder_with_entries();
        let mut content = if has_magic { b"EVr1".to_vec() } else { Vec::new() };
        content.extend(bytes);
        fs::write(folder.file(name), content).expect("the file is writable");
        let _ = Store::open(&folder.0);
    }
}
