//! The data folder: identity, vote, log segments and snapshot.
//!
//! Every change is one of two kinds: an append to the last segment, or a small file replaced as a
//! whole (written aside, synced, renamed, folder synced).

pub mod disk;
mod error;
mod record;

use std::fs::{self, File, OpenOptions};
use std::io;
use std::path::{Path, PathBuf};

use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

use super::member::{Id, Members};
use super::{Entry, PersistentState, Snapshot, Vote};
use disk::{Disk, OsDisk};
pub use error::{Error, Result};
use error::{corrupt, io_error};
use record::{Fault, Record};

/// Bytes after which a new segment begins.
const SEGMENT_BYTES: u64 = 4 << 20;
const IDENTITY: &str = "identity";
const VOTE: &str = "vote";
const SNAPSHOT: &str = "snapshot";
const SEGMENT: &str = "log-";
const ASIDE: &str = ".new";

/// An open data folder.
#[derive(Debug)]
pub struct Store {
    folder: PathBuf,
    id: Id,
    _lock: File,
    disk: Box<dyn Disk>,
    segment: Option<Segment>,
    written: u64,
    failed: bool,
}

#[derive(Debug)]
struct Segment {
    number: u64,
    path: PathBuf,
    file: File,
    bytes: u64,
    synced: u64,
}

/// Content of the snapshot file: naming the first segment makes its rename the one switch point.
#[derive(Debug, Default, Serialize, Deserialize)]
struct Kept<S> {
    snapshot: S,
    // Segments of a lower number are left over.
    first_segment: u64,
}

impl Store {
    /// Opens a folder, makes its identity where it has none, and reads what it holds.
    ///
    /// # Errors
    /// Where the folder is in use, can't be read, or holds corrupt data.
    pub fn open(folder: &Path) -> Result<(Self, PersistentState)> {
        Self::open_with_disk(folder, Box::new(OsDisk))
    }

    /// As [`Store::open`], on a given disk.
    ///
    /// # Errors
    /// As for [`Store::open`].
    pub fn open_with_disk(folder: &Path, disk: Box<dyn Disk>) -> Result<(Self, PersistentState)> {
        create_folder(folder)?;
        let lock = lock(folder)?;
        let mut store = Self {
            folder: folder.into(),
            id: Id(0),
            _lock: lock,
            disk,
            segment: None,
            written: 0,
            failed: false,
        };
        store.id = store.identity()?;
        let saved = store.load()?;
        Ok((store, saved))
    }

    /// Makes an empty folder the first voter of a new group.
    ///
    /// # Errors
    /// [`Error::NotEmpty`] where the folder holds a member already.
    pub fn bootstrap(folder: &Path, name: &str) -> Result<Id> {
        let (mut store, saved) = Self::open(folder)?;
        let used = saved.vote != Vote::default() || saved.snapshot.index > 0;
        if used || !saved.entries.is_empty() {
            return Err(Error::NotEmpty { path: folder.into() });
        }
        let mut members = Members::default();
        members.voters.insert(store.id, name.into());
        let snapshot = Snapshot { index: 1, members, ..Snapshot::default() };
        store.replace(SNAPSHOT, &Kept { snapshot, first_segment: 0 })?;
        Ok(store.id)
    }

    /// Makes an empty folder one of the first voters of a new group, which all know the same
    /// voters. A folder that holds a member already stays as it is.
    ///
    /// # Errors
    /// Where the folder can't be used.
    pub fn bootstrap_with_voters(folder: &Path, id: Id, voters: Members) -> Result<()> {
        create_folder(folder)?;
        let mut store = Self {
            folder: folder.into(),
            id,
            _lock: lock(folder)?,
            disk: Box::new(OsDisk),
            segment: None,
            written: 0,
            failed: false,
        };
        let held = [IDENTITY, VOTE, SNAPSHOT].iter().any(|name| folder.join(name).exists());
        if !held && store.segments()?.is_empty() {
            store.replace(IDENTITY, &id)?;
        }
        // A start that was cut short after the identity goes on here.
        let is_own = store.identity()? == id;
        let is_fresh = !folder.join(SNAPSHOT).exists() && !folder.join(VOTE).exists();
        if !is_own || !is_fresh || !store.segments()?.is_empty() {
            return Ok(());
        }
        let snapshot = Snapshot { index: 1, members: voters, ..Snapshot::default() };
        store.replace(SNAPSHOT, &Kept { snapshot, first_segment: 0 })
    }

    /// Reads the folder anew after a failed operation. What was written but never synced is cut
    /// off first: the kernel may have dropped it.
    ///
    /// # Errors
    /// Where the disk still fails; it may be tried again.
    pub fn reopen(&mut self) -> Result<PersistentState> {
        if let Some(segment) = &self.segment {
            cut(&segment.path, segment.synced)?;
        }
        self.segment = None;
        self.failed = false;
        let loaded = self.load();
        self.failed = loaded.is_err();
        loaded
    }

    /// Identity of the folder.
    pub fn id(&self) -> Id {
        self.id
    }

    /// Bytes of log written since the last snapshot or start.
    pub fn log_bytes(&self) -> u64 {
        self.written
    }

    /// Persists term and vote, synced.
    ///
    /// # Errors
    /// Any failure is final: the process must stop.
    pub fn save_vote(&mut self, vote: Vote) -> Result<()> {
        self.attempt(|store| store.replace(VOTE, &vote))
    }

    /// Writes entries; [`Store::sync`] makes them last.
    ///
    /// # Errors
    /// Any failure is final: the process must stop.
    pub fn append(&mut self, entries: &[Entry]) -> Result<()> {
        if entries.is_empty() {
            return Ok(());
        }
        self.attempt(|store| store.write_entries(entries))
    }

    /// Makes everything written so far last.
    ///
    /// # Errors
    /// Any failure is final: the process must stop.
    pub fn sync(&mut self) -> Result<()> {
        self.attempt(Self::sync_segment)
    }

    /// Persists a snapshot and the entries to keep after it, synced; the rest of the log goes.
    ///
    /// # Errors
    /// Any failure is final: the process must stop.
    pub fn save_snapshot(&mut self, snapshot: &Snapshot, keep: &[Entry]) -> Result<()> {
        self.attempt(|store| store.write_snapshot(snapshot, keep))
    }

    // After a failed sync the kernel may have dropped the dirty pages: no later sync proves them.
    fn attempt<T>(&mut self, act: impl FnOnce(&mut Self) -> Result<T>) -> Result<T> {
        if self.failed {
            return Err(Error::Failed { path: self.folder.clone() });
        }
        let done = act(self);
        self.failed = done.is_err();
        done
    }

    fn identity(&mut self) -> Result<Id> {
        let path = self.folder.join(IDENTITY);
        if let Some(id) = read_file::<Id>(&path)? {
            return Ok(id);
        }
        let held = [VOTE, SNAPSHOT].iter().any(|name| self.folder.join(name).exists());
        if held || !self.segments()?.is_empty() {
            return Err(corrupt(&path, 0, "the identity is missing, but other files are there"));
        }
        let id = Id(rand::random());
        self.replace(IDENTITY, &id)?;
        Ok(id)
    }

    fn write_entries(&mut self, entries: &[Entry]) -> Result<()> {
        let full = self.segment.as_ref().is_none_or(|segment| segment.bytes >= SEGMENT_BYTES);
        if full {
            self.next_segment()?;
        }
        let Some(segment) = &mut self.segment else { return Ok(()) };
        let mut buffer = Vec::new();
        for entry in entries {
            record::push(&mut buffer, segment.synced, entry);
        }
        let written = self.disk.write(&mut segment.file, &segment.path, &buffer);
        written.map_err(|e| io_error(&segment.path, e))?;
        segment.bytes += buffer.len() as u64;
        self.written += buffer.len() as u64;
        Ok(())
    }

    fn sync_segment(&mut self) -> Result<()> {
        let Some(segment) = &mut self.segment else { return Ok(()) };
        if segment.synced == segment.bytes {
            return Ok(());
        }
        let synced = self.disk.sync(&segment.file, &segment.path);
        synced.map_err(|e| io_error(&segment.path, e))?;
        segment.synced = segment.bytes;
        Ok(())
    }

    fn write_snapshot(&mut self, snapshot: &Snapshot, keep: &[Entry]) -> Result<()> {
        let old = self.segments()?;
        self.next_segment()?;
        self.written = 0;
        // Entries after the snapshot stand in the new segment before the old ones lose force.
        if !keep.is_empty() {
            self.write_entries(keep)?;
            self.sync_segment()?;
        }
        let first_segment = self.segment.as_ref().map_or(0, |segment| segment.number);
        self.replace(SNAPSHOT, &Kept { snapshot, first_segment })?;
        for (_, path) in old {
            self.remove(&path)?;
        }
        self.sync_folder()
    }

    // Only the last segment may be torn, so the one before it is synced first.
    fn next_segment(&mut self) -> Result<()> {
        self.sync_segment()?;
        let number = self.segments()?.last().map_or(1, |(number, _)| number + 1);
        let path = self.folder.join(format!("{SEGMENT}{number:020}"));
        let file = self.disk.create(&path).map_err(|e| io_error(&path, e))?;
        self.sync_folder()?;
        self.segment = Some(Segment { number, path, file, bytes: 0, synced: 0 });
        Ok(())
    }

    fn segments(&self) -> Result<Vec<(u64, PathBuf)>> {
        let mut found = Vec::new();
        let listing = fs::read_dir(&self.folder).map_err(|e| io_error(&self.folder, e))?;
        for item in listing {
            let path = item.map_err(|e| io_error(&self.folder, e))?.path();
            let name = path.file_name().and_then(|name| name.to_str()).unwrap_or("");
            let Some(digits) = name.strip_prefix(SEGMENT) else { continue };
            let Ok(number) = digits.parse() else { continue };
            found.push((number, path));
        }
        found.sort();
        Ok(found)
    }

    fn load(&mut self) -> Result<PersistentState> {
        let vote: Vote = read_file(&self.folder.join(VOTE))?.unwrap_or_default();
        let kept: Option<Kept<Snapshot>> = read_file(&self.folder.join(SNAPSHOT))?;
        let Kept { snapshot, first_segment } = kept.unwrap_or_default();
        self.remove_leftovers(first_segment)?;
        let segments = self.segments()?;
        let mut entries: Vec<Entry> = Vec::new();
        for (at, (_, path)) in segments.iter().enumerate() {
            let is_last = at + 1 == segments.len();
            for entry in self.read_segment(path, is_last)? {
                take_entry(&mut entries, entry, &snapshot, path)?;
            }
        }
        let last_term = entries.last().map_or(snapshot.term, |entry| entry.term);
        if last_term > vote.term {
            let path = self.folder.join(VOTE);
            return Err(corrupt(&path, 0, "term and vote are missing or older than the log"));
        }
        if let Some((number, path)) = segments.last() {
            self.continue_segment(*number, path)?;
        }
        Ok(PersistentState { vote, snapshot, entries })
    }

    // A process that died may have left bytes that were written but never synced.
    fn continue_segment(&mut self, number: u64, path: &Path) -> Result<()> {
        let opened = OpenOptions::new().append(true).open(path);
        let file = opened.map_err(|e| io_error(path, e))?;
        let bytes = file.metadata().map_err(|e| io_error(path, e))?.len();
        self.disk.sync(&file, path).map_err(|e| io_error(path, e))?;
        self.written = bytes;
        self.segment = Some(Segment { number, path: path.into(), file, bytes, synced: bytes });
        Ok(())
    }

    fn remove_leftovers(&mut self, first_segment: u64) -> Result<()> {
        for (number, path) in self.segments()? {
            if number < first_segment {
                self.remove(&path)?;
            }
        }
        for name in [IDENTITY, VOTE, SNAPSHOT] {
            let aside = self.folder.join(format!("{name}{ASIDE}"));
            if aside.exists() {
                self.remove(&aside)?;
            }
        }
        Ok(())
    }

    fn read_segment(&mut self, path: &Path, is_last: bool) -> Result<Vec<Entry>> {
        let bytes = fs::read(path).map_err(|e| io_error(path, e))?;
        let mut entries = Vec::new();
        let mut offset = 0;
        while offset < bytes.len() {
            if let Some(record) = Record::take(&bytes[offset..]) {
                let entry = record.decode();
                let detail = "an entry of another version";
                entries.push(entry.ok_or_else(|| corrupt(path, offset, detail))?);
                offset += record.length;
                continue;
            }
            if !is_last || record::judge(&bytes, offset) == Fault::Damaged {
                return Err(corrupt(path, offset, "checksum does not match"));
            }
            tracing::warn!(path = %path.display(), offset, end = bytes.len(), "torn tail cut");
            cut(path, offset as u64)?;
            break;
        }
        Ok(entries)
    }

    // Replaces a small file as a whole.
    fn replace<T: Serialize>(&mut self, name: &str, value: &T) -> Result<()> {
        let mut buffer = Vec::new();
        record::push(&mut buffer, 0, value);
        let aside = self.folder.join(format!("{name}{ASIDE}"));
        let mut file = self.disk.create(&aside).map_err(|e| io_error(&aside, e))?;
        self.disk.write(&mut file, &aside, &buffer).map_err(|e| io_error(&aside, e))?;
        self.disk.sync(&file, &aside).map_err(|e| io_error(&aside, e))?;
        let path = self.folder.join(name);
        self.disk.rename(&aside, &path).map_err(|e| io_error(&aside, e))?;
        self.sync_folder()
    }

    fn remove(&mut self, path: &Path) -> Result<()> {
        self.disk.remove(path).map_err(|e| io_error(path, e))
    }

    fn sync_folder(&mut self) -> Result<()> {
        self.disk.sync_folder(&self.folder).map_err(|e| io_error(&self.folder, e))
    }
}

// A later entry of the same index and another term replaces the earlier ones from there on.
fn take_entry(log: &mut Vec<Entry>, entry: Entry, snapshot: &Snapshot, path: &Path) -> Result<()> {
    if entry.index <= snapshot.index {
        return Ok(());
    }
    let keep = (entry.index - snapshot.index - 1) as usize;
    if keep > log.len() {
        let detail = format!("entry {} follows a gap", entry.index);
        return Err(corrupt(path, 0, &detail));
    }
    // Entries kept beside a snapshot were written twice; what follows the first copy stays.
    if log.get(keep).is_some_and(|held| held.term == entry.term) {
        return Ok(());
    }
    log.truncate(keep);
    log.push(entry);
    Ok(())
}

// A folder whose own name is not synced could vanish with all that was synced in it.
fn create_folder(folder: &Path) -> Result<()> {
    if folder.is_dir() {
        return Ok(());
    }
    fs::create_dir_all(folder).map_err(|e| io_error(folder, e))?;
    let Some(parent) = folder.parent().filter(|parent| !parent.as_os_str().is_empty()) else {
        return Ok(());
    };
    OsDisk.sync_folder(parent).map_err(|e| io_error(parent, e))
}

fn lock(folder: &Path) -> Result<File> {
    let path = folder.join("lock");
    let mut options = OpenOptions::new();
    let opened = options.create(true).truncate(false).write(true).open(&path);
    let file = opened.map_err(|e| io_error(&path, e))?;
    if file.try_lock().is_err() {
        return Err(Error::Locked { path: folder.into() });
    }
    Ok(file)
}

fn cut(path: &Path, length: u64) -> Result<()> {
    let opened = OpenOptions::new().write(true).open(path);
    let file = opened.map_err(|e| io_error(path, e))?;
    let done = file.set_len(length).and_then(|()| file.sync_all());
    done.map_err(|e| io_error(path, e))
}

fn read_file<T: DeserializeOwned>(path: &Path) -> Result<Option<T>> {
    let bytes = match fs::read(path) {
        Ok(bytes) => bytes,
        Err(e) if e.kind() == io::ErrorKind::NotFound => return Ok(None),
        Err(e) => return Err(io_error(path, e)),
    };
    let record = Record::take(&bytes).filter(|record| record.length == bytes.len());
    let value = record.and_then(|record| record.decode());
    value.map(Some).ok_or_else(|| corrupt(path, 0, "checksum does not match"))
}
