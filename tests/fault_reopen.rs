//! Reopening the data folder after temporary disk errors, which discards unsynced data; and the
//! bootstrap of several data folders with the same voters.

use std::fs::File;
use std::io;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use eelgrassvalve::replica::member::{Id, Members};
use eelgrassvalve::replica::store::Store;
use eelgrassvalve::replica::store::disk::Disk;
use eelgrassvalve::replica::{Entry, Payload, Snapshot, Vote};
use rstest::rstest;

/// Operation that fails while the disk is faulty.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fault {
    Write,
    Sync,
    Rename,
}

#[derive(Debug)]
struct FaultyDisk {
    fault: Fault,
    is_faulty: Arc<AtomicBool>,
}

impl FaultyDisk {
    fn perform<T>(
        &self,
        operation: Fault,
        action: impl FnOnce() -> io::Result<T>,
    ) -> io::Result<T> {
        if operation == self.fault && self.is_faulty.load(Ordering::Relaxed) {
            return Err(io::Error::other("no space left"));
        }
        action()
    }
}

impl Disk for FaultyDisk {
    fn write(&mut self, file: &mut File, _path: &Path, bytes: &[u8]) -> io::Result<()> {
        use io::Write;
        // A failing write still puts half of the bytes into the file.
        let is_failing = self.fault == Fault::Write && self.is_faulty.load(Ordering::Relaxed);
        if is_failing {
            file.write_all(&bytes[..bytes.len() / 2])?;
        }
        self.perform(Fault::Write, || file.write_all(bytes))
    }

    fn sync(&mut self, file: &File, _path: &Path) -> io::Result<()> {
        self.perform(Fault::Sync, || file.sync_data())
    }

    fn rename(&mut self, from: &Path, to: &Path) -> io::Result<()> {
        self.perform(Fault::Rename, || std::fs::rename(from, to))
    }
}

struct Folder(PathBuf);

impl Folder {
    fn new(name: &str) -> Self {
        let path = std::env::temp_dir().join(format!("reopen-{name}-{}", std::process::id()));
        let _ = std::fs::remove_dir_all(&path);
        Self(path)
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

fn entry(index: u64) -> Entry {
    Entry { index, term: 1, payload: Payload::Command(vec![index as u8; 40].into()) }
}

#[rstest]
#[case::write(Fault::Write)]
#[case::sync(Fault::Sync)]
fn unsynced_entries_are_discarded(#[case] fault: Fault) {
    let folder = Folder::new(&format!("{fault:?}"));
    let is_faulty = Arc::new(AtomicBool::new(false));
    let disk = FaultyDisk { fault, is_faulty: is_faulty.clone() };
    let (mut store, _) =
        Store::open_with_disk(&folder.0, Box::new(disk)).expect("the folder opens");
    store.save_vote(Vote { term: 1, candidate: None }).expect("the state is saved");
    store.append(&[entry(1)]).expect("the entries are written");
    store.sync().expect("the log is synced");
    is_faulty.store(true, Ordering::Relaxed);
    let failed = store.append(&[entry(2)]).and_then(|()| store.sync());
    assert!(failed.is_err());
    assert!(store.append(&[entry(2)]).is_err(), "append accepted after a failure");
    is_faulty.store(false, Ordering::Relaxed);
    assert_eq!(store.reopen().expect("the disk works again").entries, [entry(1)]);
    store.append(&[entry(2)]).expect("the entries are written");
    store.sync().expect("the log is synced");
    drop(store);
    let (_, saved) = Store::open(&folder.0).expect("the folder opens");
    assert_eq!(saved.entries, [entry(1), entry(2)]);
}

#[rstest]
#[case::write(Fault::Write)]
#[case::sync(Fault::Sync)]
#[case::rename(Fault::Rename)]
fn failed_snapshot_loses_no_data(#[case] fault: Fault) {
    let folder = Folder::new(&format!("snapshot-{fault:?}"));
    let is_faulty = Arc::new(AtomicBool::new(false));
    let disk = FaultyDisk { fault, is_faulty: is_faulty.clone() };
    let (mut store, _) =
        Store::open_with_disk(&folder.0, Box::new(disk)).expect("the folder opens");
    store.save_vote(Vote { term: 1, candidate: None }).expect("the state is saved");
    store.append(&[entry(1), entry(2)]).expect("the entries are written");
    store.sync().expect("the log is synced");
    is_faulty.store(true, Ordering::Relaxed);
    let snapshot = Snapshot { index: 1, term: 1, ..Snapshot::default() };
    assert!(store.save_snapshot(&snapshot, &[entry(2)]).is_err());
    is_faulty.store(false, Ordering::Relaxed);
    let saved = store.reopen().expect("the disk works again");
    assert_eq!(saved.snapshot, Snapshot::default());
    assert_eq!(saved.entries, [entry(1), entry(2)]);
    store.save_snapshot(&snapshot, &[entry(2)]).expect("the state is saved");
    drop(store);
    let (_, saved) = Store::open(&folder.0).expect("the folder opens");
    assert_eq!((saved.snapshot.index, saved.entries.len()), (1, 1));
}

#[test]
fn reopen_can_be_retried_while_the_disk_fails() {
    let folder = Folder::new("retry");
    let is_faulty = Arc::new(AtomicBool::new(false));
    let disk = FaultyDisk { fault: Fault::Sync, is_faulty: is_faulty.clone() };
    let (mut store, _) =
        Store::open_with_disk(&folder.0, Box::new(disk)).expect("the folder opens");
    store.append(&[]).expect("an empty append succeeds");
    store.save_vote(Vote { term: 1, candidate: None }).expect("the state is saved");
    store.append(&[entry(1)]).expect("the entries are written");
    store.sync().expect("the log is synced");
    is_faulty.store(true, Ordering::Relaxed);
    assert!(store.save_vote(Vote { term: 2, candidate: Some(Id(7)) }).is_err());
    for _ in 0..3 {
        assert!(store.reopen().is_err());
    }
    is_faulty.store(false, Ordering::Relaxed);
    let saved = store.reopen().expect("the disk works again");
    assert_eq!(saved.vote.term, 1, "unsynced vote survived the reopen");
}

fn voters() -> Members {
    let mut members = Members::default();
    for id in [1, 2, 3] {
        members.voters.insert(Id(id), format!("host-{id}"));
    }
    members
}

#[test]
fn bootstrapped_folders_have_the_same_voters() {
    let folders: Vec<Folder> = (1..=3).map(|id| Folder::new(&format!("first-{id}"))).collect();
    let mut bootstrapped = Vec::new();
    for (folder, id) in folders.iter().zip(1..) {
        Store::bootstrap_with_voters(&folder.0, Id(id), voters())
            .expect("the folder is bootstrapped");
        let (store, saved) = Store::open(&folder.0).expect("the folder opens");
        assert_eq!(store.id(), Id(id));
        bootstrapped.push((saved.snapshot.index, saved.snapshot.members));
    }
    assert!(bootstrapped.iter().all(|(index, members)| *index == 1 && *members == voters()));
}

#[test]
fn bootstrap_leaves_a_used_folder_unchanged() {
    let folder = Folder::new("used");
    Store::bootstrap_with_voters(&folder.0, Id(1), voters()).expect("the folder is bootstrapped");
    {
        let (mut store, _) = Store::open(&folder.0).expect("the folder opens");
        store.save_vote(Vote { term: 4, candidate: Some(Id(2)) }).expect("the state is saved");
    }
    Store::bootstrap_with_voters(&folder.0, Id(1), voters()).expect("a used folder is accepted");
    let (_, saved) = Store::open(&folder.0).expect("the folder opens");
    assert_eq!(saved.vote.term, 4);
    // A folder with another identity keeps it.
    let other = Folder::new("other");
    let id = Store::open(&other.0).expect("the folder opens").0.id();
    Store::bootstrap_with_voters(&other.0, Id(1), voters()).expect("a used folder is accepted");
    assert_eq!(Store::open(&other.0).expect("the folder opens").0.id(), id);
}
