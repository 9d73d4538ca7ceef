//! The data folder under faults: one row a kind of operation and way in which it is cut short.

use std::collections::BTreeMap;
use std::fs::{self, File, OpenOptions};
use std::io::{self, Write};
use std::path::{Path, PathBuf};
use std::sync::{Arc, Mutex};

use eelgrassvalve::replica::member::{Id, Members};
use eelgrassvalve::replica::store::disk::Disk;
use eelgrassvalve::replica::store::{Error, Store};
use eelgrassvalve::replica::{self, Bytes, Entry, Payload, Snapshot, Vote};
use proptest::prelude::*;
use rstest::rstest;

/// Kind of a file operation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Point {
    Create,
    Write,
    Sync,
    Rename,
    Remove,
    SyncFolder,
}

/// Where in the operation the process dies.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Death {
    Before,
    Half,
    After,
}

/// What becomes of bytes that were never synced.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Unsynced {
    Kept,
    Lost,
}

/// A disk on which the process dies at one operation.
#[derive(Clone, Debug)]
struct Dying(Arc<Mutex<State>>);

#[derive(Debug)]
struct State {
    point: Point,
    death: Death,
    // Operations of that kind before the one that is cut short.
    left: usize,
    dead: bool,
    // Written and synced length of each file.
    lengths: BTreeMap<PathBuf, (u64, u64)>,
    // Files as they were before each change of names that is not synced.
    names: Vec<(PathBuf, Option<Vec<u8>>)>,
}

impl Dying {
    fn new(point: Point, death: Death, left: usize) -> Self {
        let (lengths, names) = (BTreeMap::new(), Vec::new());
        Self(Arc::new(Mutex::new(State { point, death, left, dead: false, lengths, names })))
    }

    fn is_dead(&self) -> bool {
        self.0.lock().expect("no test panics while it holds the lock").dead
    }

    fn lose_unsynced(&self) {
        let state = self.0.lock().expect("no test panics while it holds the lock");
        for (path, (_, synced)) in &state.lengths {
            let Ok(file) = OpenOptions::new().write(true).open(path) else { continue };
            file.set_len(*synced).expect("a file of the test can be cut");
        }
        for (path, content) in state.names.iter().rev() {
            match content {
                Some(bytes) => fs::write(path, bytes).expect("the folder can be written"),
                None => drop(fs::remove_file(path)),
            }
        }
    }

    fn act(
        &self,
        point: Point,
        whole: impl FnOnce(&mut State) -> io::Result<()>,
        half: impl FnOnce(&mut State) -> io::Result<()>,
    ) -> io::Result<()> {
        let state = &mut *self.0.lock().expect("no test panics while it holds the lock");
        let died = || Err(io::Error::other("the process is dead"));
        if state.dead {
            return died();
        }
        if state.point != point {
            return whole(state);
        }
        if state.left > 0 {
            state.left -= 1;
            return whole(state);
        }
        state.dead = true;
        match state.death {
            Death::Before => {}
            Death::Half => half(state)?,
            Death::After => whole(state)?,
        }
        died()
    }
}

impl Disk for Dying {
    fn create(&mut self, path: &Path) -> io::Result<File> {
        let create = |state: &mut State| {
            state.names.push((path.into(), fs::read(path).ok()));
            state.lengths.insert(path.into(), (0, 0));
            File::create(path).map(|_| ())
        };
        self.act(Point::Create, create, |_| Ok(()))?;
        File::create(path)
    }

    fn write(&mut self, file: &mut File, path: &Path, bytes: &[u8]) -> io::Result<()> {
        let mut copy = file.try_clone()?;
        let mut write = |state: &mut State, bytes: &[u8]| {
            state.lengths.entry(path.into()).or_default().0 += bytes.len() as u64;
            file.write_all(bytes)
        };
        let half = |state: &mut State| {
            let bytes = &bytes[..bytes.len() / 2];
            state.lengths.entry(path.into()).or_default().0 += bytes.len() as u64;
            copy.write_all(bytes)
        };
        self.act(Point::Write, |state| write(state, bytes), half)
    }

    fn sync(&mut self, file: &File, path: &Path) -> io::Result<()> {
        let sync = |state: &mut State| {
            let length = file.metadata()?.len();
            state.lengths.insert(path.into(), (length, length));
            file.sync_data()
        };
        self.act(Point::Sync, sync, |_| Ok(()))
    }

    fn rename(&mut self, from: &Path, to: &Path) -> io::Result<()> {
        let rename = |state: &mut State| {
            state.names.push((to.into(), fs::read(to).ok()));
            let lengths = state.lengths.remove(from).unwrap_or_default();
            state.lengths.insert(to.into(), lengths);
            fs::rename(from, to)
        };
        self.act(Point::Rename, rename, |_| Ok(()))
    }

    fn remove(&mut self, path: &Path) -> io::Result<()> {
        let remove = |state: &mut State| {
            state.names.push((path.into(), fs::read(path).ok()));
            state.lengths.remove(path);
            fs::remove_file(path)
        };
        self.act(Point::Remove, remove, |_| Ok(()))
    }

    fn sync_folder(&mut self, folder: &Path) -> io::Result<()> {
        let sync = |state: &mut State| {
            state.names.clear();
            File::open(folder).and_then(|file| file.sync_all())
        };
        self.act(Point::SyncFolder, sync, |_| Ok(()))
    }
}

/// One acknowledged change of the folder.
#[derive(Clone, Debug)]
enum Change {
    Vote(u64),
    Append(Vec<Entry>),
    Snapshot { snapshot: Snapshot, reset: bool },
}

fn entry(index: u64, term: u64) -> Entry {
    Entry { index, term, payload: Payload::Command(Bytes(vec![index as u8; 40])) }
}

fn snapshot(index: u64, term: u64) -> Snapshot {
    let mut members = Members::default();
    members.voters.insert(Id(1), "host-1".into());
    Snapshot { index, term, members, data: Arc::new(Bytes(vec![7; 100])) }
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

fn put(saved: &mut replica::State, change: &Change) {
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

fn carry_out(store: &mut Store, saved: &replica::State, change: &Change) -> Result<(), Error> {
    match change {
        Change::Vote(term) => store.save_vote(Vote { term: *term, candidate: Some(Id(1)) }),
        Change::Append(entries) => {
            store.append(entries)?;
            store.sync()
        }
        Change::Snapshot { snapshot, .. } => {
            let mut after = saved.clone();
            put(&mut after, change);
            store.save_snapshot(snapshot, &after.entries)
        }
    }
}

/// States that a change may leave behind where it is cut short.
fn outcomes(before: &replica::State, change: &Change) -> Vec<replica::State> {
    let mut states = vec![before.clone()];
    if let Change::Append(entries) = change {
        for written in 1..entries.len() {
            let mut state = before.clone();
            put(&mut state, &Change::Append(entries[..written].to_vec()));
            states.push(state);
        }
    }
    let mut after = before.clone();
    put(&mut after, change);
    states.push(after);
    states
}

fn same(one: &replica::State, other: &replica::State) -> bool {
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

    fn segment(&self) -> PathBuf {
        let mut found = Vec::new();
        for item in fs::read_dir(&self.0).expect("the folder can be read") {
            let path = item.expect("the folder can be read").path();
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

fn run(folder: &Folder, disk: &Dying) -> (replica::State, Vec<replica::State>) {
    let mut saved = replica::State::default();
    let Ok((mut store, _)) = Store::open_with_disk(&folder.0, Box::new(disk.clone())) else {
        return (saved.clone(), vec![saved]);
    };
    for change in changes() {
        let allowed = outcomes(&saved, &change);
        if carry_out(&mut store, &saved, &change).is_err() {
            let again = store.sync();
            assert!(matches!(again, Err(Error::Failed { .. })), "used after a failure: {again:?}");
            return (saved, allowed);
        }
        put(&mut saved, &change);
    }
    (saved.clone(), vec![saved])
}

#[rstest]
#[case::create_not_done(Point::Create, Death::Before)]
#[case::create_done(Point::Create, Death::After)]
#[case::write_not_done(Point::Write, Death::Before)]
#[case::write_cut_short(Point::Write, Death::Half)]
#[case::write_done(Point::Write, Death::After)]
#[case::sync_not_done(Point::Sync, Death::Before)]
#[case::sync_done(Point::Sync, Death::After)]
#[case::rename_not_done(Point::Rename, Death::Before)]
#[case::rename_done(Point::Rename, Death::After)]
#[case::remove_not_done(Point::Remove, Death::Before)]
#[case::remove_done(Point::Remove, Death::After)]
#[case::folder_sync_not_done(Point::SyncFolder, Death::Before)]
#[case::folder_sync_done(Point::SyncFolder, Death::After)]
fn what_was_synced_outlives_a_death_at(
    #[case] point: Point,
    #[case] death: Death,
    #[values(Unsynced::Kept, Unsynced::Lost)] unsynced: Unsynced,
) {
    for at in 0.. {
        let folder = Folder::new();
        let disk = Dying::new(point, death, at);
        let (_, allowed) = run(&folder, &disk);
        if !disk.is_dead() {
            assert!(at > 0, "no operation of this kind");
            return;
        }
        if unsynced == Unsynced::Lost {
            disk.lose_unsynced();
        }
        let (mut store, found) = Store::open(&folder.0).expect("the folder opens again");
        let fits = allowed.iter().any(|state| same(state, &found));
        assert!(fits, "operation {at}: {found:?} is none of {allowed:?}");

        let last = found.entries.last().map_or(found.snapshot.index, |entry| entry.index);
        let next = Change::Append(vec![entry(last + 1, found.vote.term)]);
        let mut expected = found.clone();
        put(&mut expected, &next);
        carry_out(&mut store, &found, &next).expect("the folder is usable");
        drop(store);
        let (_, found) = Store::open(&folder.0).expect("the folder opens again");
        assert!(same(&expected, &found), "operation {at}: lost after the repair");
    }
}

fn filled() -> Folder {
    let folder = Folder::new();
    let (mut store, _) = Store::open(&folder.0).expect("opens");
    store.save_vote(Vote { term: 1, candidate: None }).expect("is saved");
    for first in [1, 3, 5] {
        store.append(&[entry(first, 1), entry(first + 1, 1)]).expect("is written");
        store.sync().expect("is synced");
    }
    folder
}

#[test]
fn a_flipped_byte_is_refused_but_for_the_last_batch_which_is_cut() {
    let folder = filled();
    let path = folder.segment();
    let bytes = fs::read(&path).expect("can be read");
    let last_batch = bytes.len() / 3 * 2;
    for at in 0..bytes.len() {
        let mut flipped = bytes.clone();
        flipped[at] ^= 0x10;
        fs::write(&path, &flipped).expect("can be written");
        match Store::open(&folder.0) {
            Err(Error::Corrupt { offset, .. }) => assert!(offset <= at as u64),
            Err(other) => panic!("byte {at}: {other}"),
            Ok((_, saved)) => {
                assert!(at >= last_batch, "byte {at} was synced before a later batch");
                let kept = saved.entries.len();
                assert!((4..6).contains(&kept), "byte {at}: {kept} entries");
                assert_eq!(
                    saved.entries,
                    (1..=kept as u64).map(|i| entry(i, 1)).collect::<Vec<_>>()
                );
            }
        }
    }
}

#[test]
fn a_segment_cut_at_any_length_opens_with_a_prefix() {
    let folder = filled();
    let path = folder.segment();
    let bytes = fs::read(&path).expect("can be read");
    for length in 0..bytes.len() {
        fs::write(&path, &bytes[..length]).expect("can be written");
        let (_, saved) = Store::open(&folder.0).expect("opens");
        assert_eq!(saved.entries.len(), length / (bytes.len() / 6));
    }
}

#[rstest]
#[case::vote("vote")]
#[case::identity("identity")]
fn a_damaged_file_is_refused_with_advice(#[case] name: &str) {
    let folder = filled();
    let path = folder.file(name);
    let mut bytes = fs::read(&path).expect("can be read");
    let last = bytes.len() - 1;
    bytes[last] ^= 1;
    fs::write(&path, &bytes).expect("can be written");
    let error = Store::open(&folder.0).expect_err("is refused").to_string();
    assert!(error.contains("move the data folder away"), "{error}");
}

#[rstest]
#[case::vote("vote")]
#[case::identity("identity")]
fn a_missing_file_is_refused(#[case] name: &str) {
    let folder = filled();
    fs::remove_file(folder.file(name)).expect("can be removed");
    let error = Store::open(&folder.0).expect_err("is refused");
    assert!(matches!(error, Error::Corrupt { .. }), "{error}");
}

#[test]
fn a_missing_snapshot_is_refused_while_the_log_follows_one() {
    let folder = filled();
    let (mut store, saved) = Store::open(&folder.0).expect("opens");
    store.save_snapshot(&snapshot(4, 1), &saved.entries[4..]).expect("is saved");
    drop(store);
    fs::remove_file(folder.file("snapshot")).expect("can be removed");
    assert!(matches!(Store::open(&folder.0), Err(Error::Corrupt { .. })));
}

#[test]
fn a_damaged_segment_before_the_last_is_refused() {
    let folder = Folder::new();
    let (mut store, _) = Store::open(&folder.0).expect("opens");
    store.save_vote(Vote { term: 1, candidate: None }).expect("is saved");
    for index in 1..=2 {
        let payload = Payload::Command(Bytes(vec![1; 5 << 20]));
        store.append(&[Entry { index, term: 1, payload }]).expect("is written");
        store.sync().expect("is synced");
    }
    drop(store);
    let path = folder.segment();
    let file = OpenOptions::new().write(true).open(&path).expect("can be opened");
    file.set_len(1_000).expect("can be cut");
    assert!(matches!(Store::open(&folder.0), Err(Error::Corrupt { .. })));
}

#[test]
fn two_daemons_on_one_folder_are_refused() {
    let folder = filled();
    let first = Store::open(&folder.0).expect("opens");
    assert!(matches!(Store::open(&folder.0), Err(Error::Locked { .. })));
    drop(first);
    Store::open(&folder.0).expect("opens once the first is gone");
}

#[test]
fn bootstrap_refuses_a_used_folder() {
    let folder = Folder::new();
    let id = Store::bootstrap(&folder.0, "host-1").expect("an empty folder");
    assert!(matches!(Store::bootstrap(&folder.0, "host-1"), Err(Error::NotEmpty { .. })));
    let (store, saved) = Store::open(&folder.0).expect("opens");
    assert_eq!(store.id(), id);
    assert!(saved.snapshot.members.is_only_voter(id));
    let folder = filled();
    assert!(matches!(Store::bootstrap(&folder.0, "host-1"), Err(Error::NotEmpty { .. })));
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 200, failure_persistence: None, rng_seed: proptest::test_runner::RngSeed::Fixed(13), ..ProptestConfig::default() })]

    #[test]
    fn arbitrary_bytes_never_panic(
        bytes in proptest::collection::vec(any::<u8>(), 0..600),
        marked in any::<bool>(),
        name in prop_oneof![
            Just("log-00000000000000000001"), Just("vote"), Just("snapshot"), Just("identity"),
        ],
    ) {
        let folder = filled();
        let mut content = if marked { b"EVr1".to_vec() } else { Vec::new() };
        content.extend(bytes);
        fs::write(folder.file(name), content).expect("can be written");
        let _ = Store::open(&folder.0);
    }
}
