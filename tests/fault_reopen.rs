//! A disk that fails for a while: what was never synced is not trusted, and the folder goes on.
//! And the first start, in which several folders agree on their voters without talking.

use std::fs::File;
use std::io;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use eelgrassvalve::replica::member::{Id, Members};
use eelgrassvalve::replica::store::Store;
use eelgrassvalve::replica::store::disk::Disk;
use eelgrassvalve::replica::{Bytes, Entry, Payload, Snapshot, Vote};
use rstest::rstest;

/// Which operations fail while the disk is out of order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fault {
    Write,
    Sync,
    Rename,
}

#[derive(Debug)]
struct Flaky {
    fault: Fault,
    is_out: Arc<AtomicBool>,
}

impl Flaky {
    fn act<T>(&self, kind: Fault, act: impl FnOnce() -> io::Result<T>) -> io::Result<T> {
        if kind == self.fault && self.is_out.load(Ordering::Relaxed) {
            return Err(io::Error::other("no space left"));
        }
        act()
    }
}

impl Disk for Flaky {
    fn write(&mut self, file: &mut File, _path: &Path, bytes: &[u8]) -> io::Result<()> {
        use io::Write;
        // Half of the bytes reach the file even where the write fails.
        let failing = self.fault == Fault::Write && self.is_out.load(Ordering::Relaxed);
        if failing {
            file.write_all(&bytes[..bytes.len() / 2])?;
        }
        self.act(Fault::Write, || file.write_all(bytes))
    }

    fn sync(&mut self, file: &File, _path: &Path) -> io::Result<()> {
        self.act(Fault::Sync, || file.sync_data())
    }

    fn rename(&mut self, from: &Path, to: &Path) -> io::Result<()> {
        self.act(Fault::Rename, || std::fs::rename(from, to))
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
    Entry { index, term: 1, payload: Payload::Command(Bytes(vec![index as u8; 40])) }
}

#[rstest]
#[case::write(Fault::Write)]
#[case::sync(Fault::Sync)]
fn what_was_never_synced_is_cut_off(#[case] fault: Fault) {
    let folder = Folder::new(&format!("{fault:?}"));
    let is_out = Arc::new(AtomicBool::new(false));
    let disk = Flaky { fault, is_out: is_out.clone() };
    let (mut store, _) = Store::open_with_disk(&folder.0, Box::new(disk)).expect("opens");
    store.save_vote(Vote { term: 1, candidate: None }).expect("is saved");
    store.append(&[entry(1)]).expect("is written");
    store.sync().expect("is synced");
    is_out.store(true, Ordering::Relaxed);
    let failed = store.append(&[entry(2)]).and_then(|()| store.sync());
    assert!(failed.is_err());
    assert!(store.append(&[entry(2)]).is_err(), "nothing is taken after a failure");
    is_out.store(false, Ordering::Relaxed);
    assert_eq!(store.reopen().expect("works again").entries, [entry(1)]);
    store.append(&[entry(2)]).expect("is written");
    store.sync().expect("is synced");
    drop(store);
    let (_, saved) = Store::open(&folder.0).expect("opens");
    assert_eq!(saved.entries, [entry(1), entry(2)]);
}

#[rstest]
#[case::write(Fault::Write)]
#[case::sync(Fault::Sync)]
#[case::rename(Fault::Rename)]
fn a_snapshot_that_fails_loses_nothing(#[case] fault: Fault) {
    let folder = Folder::new(&format!("snapshot-{fault:?}"));
    let is_out = Arc::new(AtomicBool::new(false));
    let disk = Flaky { fault, is_out: is_out.clone() };
    let (mut store, _) = Store::open_with_disk(&folder.0, Box::new(disk)).expect("opens");
    store.save_vote(Vote { term: 1, candidate: None }).expect("is saved");
    store.append(&[entry(1), entry(2)]).expect("is written");
    store.sync().expect("is synced");
    is_out.store(true, Ordering::Relaxed);
    let snapshot = Snapshot { index: 1, term: 1, ..Snapshot::default() };
    assert!(store.save_snapshot(&snapshot, &[entry(2)]).is_err());
    is_out.store(false, Ordering::Relaxed);
    let saved = store.reopen().expect("works again");
    assert_eq!(saved.snapshot, Snapshot::default());
    assert_eq!(saved.entries, [entry(1), entry(2)]);
    store.save_snapshot(&snapshot, &[entry(2)]).expect("is saved");
    drop(store);
    let (_, saved) = Store::open(&folder.0).expect("opens");
    assert_eq!((saved.snapshot.index, saved.entries.len()), (1, 1));
}

#[test]
fn a_disk_that_still_fails_is_tried_again() {
    let folder = Folder::new("still");
    let is_out = Arc::new(AtomicBool::new(false));
    let disk = Flaky { fault: Fault::Sync, is_out: is_out.clone() };
    let (mut store, _) = Store::open_with_disk(&folder.0, Box::new(disk)).expect("opens");
    store.append(&[]).expect("nothing to write");
    store.save_vote(Vote { term: 1, candidate: None }).expect("is saved");
    store.append(&[entry(1)]).expect("is written");
    store.sync().expect("is synced");
    is_out.store(true, Ordering::Relaxed);
    assert!(store.save_vote(Vote { term: 2, candidate: Some(Id(7)) }).is_err());
    for _ in 0..3 {
        assert!(store.reopen().is_err());
    }
    is_out.store(false, Ordering::Relaxed);
    let saved = store.reopen().expect("works again");
    assert_eq!(saved.vote.term, 1, "a vote that was not synced was never given");
}

fn voters() -> Members {
    let mut members = Members::default();
    for id in [1, 2, 3] {
        members.voters.insert(Id(id), format!("host-{id}"));
    }
    members
}

#[test]
fn first_voters_agree_without_talking() {
    let folders: Vec<Folder> = (1..=3).map(|id| Folder::new(&format!("first-{id}"))).collect();
    let mut seen = Vec::new();
    for (folder, id) in folders.iter().zip(1..) {
        Store::bootstrap_with_voters(&folder.0, Id(id), voters()).expect("is made");
        let (store, saved) = Store::open(&folder.0).expect("opens");
        assert_eq!(store.id(), Id(id));
        seen.push((saved.snapshot.index, saved.snapshot.members));
    }
    assert!(seen.iter().all(|(index, members)| *index == 1 && *members == voters()));
}

#[test]
fn a_folder_that_holds_a_member_is_left_as_it_is() {
    let folder = Folder::new("held");
    Store::bootstrap_with_voters(&folder.0, Id(1), voters()).expect("is made");
    {
        let (mut store, _) = Store::open(&folder.0).expect("opens");
        store.save_vote(Vote { term: 4, candidate: Some(Id(2)) }).expect("is saved");
    }
    Store::bootstrap_with_voters(&folder.0, Id(1), voters()).expect("changes nothing");
    let (_, saved) = Store::open(&folder.0).expect("opens");
    assert_eq!(saved.vote.term, 4);
    // The folder of another member keeps its own identity.
    let other = Folder::new("other");
    let id = Store::open(&other.0).expect("opens").0.id();
    Store::bootstrap_with_voters(&other.0, Id(1), voters()).expect("changes nothing");
    assert_eq!(Store::open(&other.0).expect("opens").0.id(), id);
}
