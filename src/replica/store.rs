//! Data folder of a member: identity, vote, log segments and snapshot.
//!
//! Every change either appends to the last segment or replaces a small file atomically: the new
//! content is written to a temporary file and synced, the file is renamed and the folder synced.

pub mod disk;
mod error;
mod record;

use std::fs::{self, File, OpenOptions};
use std::io;
use std::path::{Path, PathBuf};

use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

use super::member::{Id, Members};
use super::{Entry, Snapshot, State, Vote};
use disk::{Disk, Filesystem};
pub use error::{Error, Result};
use error::{corrupt_error, io_error};
use record::{Fault, Record};

/// Size at which a segment is full, in bytes; the next entries go into a new one.
const SEGMENT_BYTES: u64 = 4 << 20;
const IDENTITY_FILE: &str = "identity";
const VOTE_FILE: &str = "vote";
const SNAPSHOT_FILE: &str = "snapshot";
const SEGMENT_PREFIX: &str = "log-";
const TEMPORARY_SUFFIX: &str = ".new";

/// An open data folder.
#[derive(Debug)]
pub struct Store {
    folder: PathBuf,
    id: Id,
    // Locked for as long as the store is open.
    _lock: File,
    disk: Box<dyn Disk>,
    segment: Option<Segment>,
    // Bytes of log written since the last snapshot.
    written_bytes: u64,
    // Set after a failed operation, until the folder is reopened.
    has_failed: bool,
}

#[derive(Debug)]
struct Segment {
    number: u64,
    path: PathBuf,
    file: File,
    bytes: u64,
    synced_bytes: u64,
}

/// Content of the snapshot file. It names the first valid segment, so that renaming this one file
/// atomically switches to the new snapshot and the new segments.
#[derive(Debug, Default, Serialize, Deserialize)]
struct Manifest<S> {
    snapshot: S,
    // Number of the first valid segment. Segments with lower numbers are leftovers.
    first_segment: u64,
}

impl Store {
    /// Opens a folder and reads its content. Creates the folder and its identity if missing.
    ///
    /// # Errors
    /// If the folder is in use, can't be created or read, or holds corrupt data.
    pub fn open(folder: &Path) -> Result<(Self, State)> {
        Self::open_with_disk(folder, Box::new(Filesystem))
    }

    /// Like [`Store::open`], with file operations through the given [`Disk`].
    ///
    /// # Errors
    /// See [`Store::open`].
    pub fn open_with_disk(folder: &Path, disk: Box<dyn Disk>) -> Result<(Self, State)> {
        create_folder(folder)?;
        let lock = lock_folder(folder)?;
        let mut store = Self {
            folder: folder.into(),
            id: Id(0),
            _lock: lock,
            disk,
            segment: None,
            written_bytes: 0,
            has_failed: false,
        };
        store.id = store.load_or_create_identity()?;
        let saved = store.load()?;
        Ok((store, saved))
    }

    /// Initializes an empty folder as the first voter of a new group.
    ///
    /// # Errors
    /// [`Error::NotEmpty`] if the folder already holds a member, and those of [`Store::open`].
    pub fn bootstrap(folder: &Path, name: &str) -> Result<Id> {
        let (mut store, saved) = Self::open(folder)?;
        let is_used = saved.vote != Vote::default() || saved.snapshot.index > 0;
        if is_used || !saved.entries.is_empty() {
            return Err(Error::NotEmpty { path: folder.into() });
        }
        let mut members = Members::default();
        members.voters.insert(store.id, name.into());
        let snapshot = Snapshot { index: 1, members, ..Snapshot::default() };
        store.replace_file(SNAPSHOT_FILE, &Manifest { snapshot, first_segment: 0 })?;
        Ok(store.id)
    }

    /// Initializes an empty folder as one of the first voters of a new group. All of them have to
    /// be given the same voters. A folder that already holds a member is left unchanged.
    ///
    /// # Errors
    /// If the folder is in use or can't be read or written.
    pub fn bootstrap_with_voters(folder: &Path, id: Id, voters: Members) -> Result<()> {
        create_folder(folder)?;
        let mut store = Self {
            folder: folder.into(),
            id,
            _lock: lock_folder(folder)?,
            disk: Box::new(Filesystem),
            segment: None,
            written_bytes: 0,
            has_failed: false,
        };
        let holds_files =
            [IDENTITY_FILE, VOTE_FILE, SNAPSHOT_FILE].iter().any(|name| folder.join(name).exists());
        if !holds_files && store.list_segments()?.is_empty() {
            store.replace_file(IDENTITY_FILE, &id)?;
        }
        // Continues an initialization that was interrupted after the identity was written.
        let is_own = store.load_or_create_identity()? == id;
        let is_fresh = !folder.join(SNAPSHOT_FILE).exists() && !folder.join(VOTE_FILE).exists();
        if !is_own || !is_fresh || !store.list_segments()?.is_empty() {
            return Ok(());
        }
        let snapshot = Snapshot { index: 1, members: voters, ..Snapshot::default() };
        store.replace_file(SNAPSHOT_FILE, &Manifest { snapshot, first_segment: 0 })
    }

    /// Reads the folder again after a failed operation. Data that was written but not synced is
    /// truncated first, because the kernel may have dropped it.
    ///
    /// # Errors
    /// If the disk still fails. The call may be repeated.
    pub fn reopen(&mut self) -> Result<State> {
        if let Some(segment) = &self.segment {
            truncate_file(&segment.path, segment.synced_bytes)?;
        }
        self.segment = None;
        self.has_failed = false;
        let result = self.load();
        self.has_failed = result.is_err();
        result
    }

    /// Identity of the member.
    pub fn id(&self) -> Id {
        self.id
    }

    /// Bytes of log written since the last snapshot. After a start or [`Store::reopen`] it counts
    /// from the size of the last segment.
    pub fn log_bytes(&self) -> u64 {
        self.written_bytes
    }

    /// Writes the term and vote and syncs them to disk.
    ///
    /// # Errors
    /// After any failure the store must be reopened or the process must exit.
    pub fn save_vote(&mut self, vote: Vote) -> Result<()> {
        self.run_unless_failed(|store| store.replace_file(VOTE_FILE, &vote))
    }

    /// Appends entries to the log. They are durable only after [`Store::sync`].
    ///
    /// # Errors
    /// After any failure the store must be reopened or the process must exit.
    pub fn append(&mut self, entries: &[Entry]) -> Result<()> {
        if entries.is_empty() {
            return Ok(());
        }
        self.run_unless_failed(|store| store.write_entries(entries))
    }

    /// Syncs all entries written so far to disk.
    ///
    /// # Errors
    /// After any failure the store must be reopened or the process must exit.
    pub fn sync(&mut self) -> Result<()> {
        self.run_unless_failed(Self::sync_segment)
    }

    /// Writes a snapshot and the entries to keep after it and syncs them to disk. The rest of the
    /// log is deleted.
    ///
    /// # Errors
    /// After any failure the store must be reopened or the process must exit.
    pub fn save_snapshot(&mut self, snapshot: &Snapshot, keep: &[Entry]) -> Result<()> {
        self.run_unless_failed(|store| store.write_snapshot(snapshot, keep))
    }

    // Runs an operation unless an earlier one failed. After a failed sync the kernel may have
    // dropped the dirty pages, so a later sync that succeeds does not prove that the data is on
    // disk.
    fn run_unless_failed<T>(
        &mut self,
        operation: impl FnOnce(&mut Self) -> Result<T>,
    ) -> Result<T> {
        if self.has_failed {
            return Err(Error::Failed { path: self.folder.clone() });
        }
        let result = operation(self);
        self.has_failed = result.is_err();
        result
    }

    fn load_or_create_identity(&mut self) -> Result<Id> {
        let path = self.folder.join(IDENTITY_FILE);
        if let Some(id) = read_record_file::<Id>(&path)? {
            return Ok(id);
        }
        let holds_files =
            [VOTE_FILE, SNAPSHOT_FILE].iter().any(|name| self.folder.join(name).exists());
        if holds_files || !self.list_segments()?.is_empty() {
            return Err(corrupt_error(
                &path,
                0,
                "the identity file is missing, but other files of a member exist",
            ));
        }
        let id = Id(rand::random());
        self.replace_file(IDENTITY_FILE, &id)?;
        Ok(id)
    }

    fn write_entries(&mut self, entries: &[Entry]) -> Result<()> {
        let needs_segment =
            self.segment.as_ref().is_none_or(|segment| segment.bytes >= SEGMENT_BYTES);
        if needs_segment {
            self.start_segment()?;
        }
        let Some(segment) = &mut self.segment else { return Ok(()) };
        let mut buffer = Vec::new();
        for entry in entries {
            record::encode(&mut buffer, segment.synced_bytes, entry);
        }
        let result = self.disk.write(&mut segment.file, &segment.path, &buffer);
        result.map_err(|e| io_error(&segment.path, e))?;
        segment.bytes += buffer.len() as u64;
        self.written_bytes += buffer.len() as u64;
        Ok(())
    }

    fn sync_segment(&mut self) -> Result<()> {
        let Some(segment) = &mut self.segment else { return Ok(()) };
        if segment.synced_bytes == segment.bytes {
            return Ok(());
        }
        let result = self.disk.sync(&segment.file, &segment.path);
        result.map_err(|e| io_error(&segment.path, e))?;
        segment.synced_bytes = segment.bytes;
        Ok(())
    }

    fn write_snapshot(&mut self, snapshot: &Snapshot, keep: &[Entry]) -> Result<()> {
        let old_segments = self.list_segments()?;
        self.start_segment()?;
        self.written_bytes = 0;
        // The entries after the snapshot have to be durable in the new segment before the snapshot
        // file invalidates the old segments.
        if !keep.is_empty() {
            self.write_entries(keep)?;
            self.sync_segment()?;
        }
        let first_segment = self.segment.as_ref().map_or(0, |segment| segment.number);
        self.replace_file(SNAPSHOT_FILE, &Manifest { snapshot, first_segment })?;
        for (_, path) in old_segments {
            self.remove_file(&path)?;
        }
        self.sync_folder()
    }

    // Starts a new segment. The current one is synced first, because only the last segment may end
    // in a torn write.
    fn start_segment(&mut self) -> Result<()> {
        self.sync_segment()?;
        let number = self.list_segments()?.last().map_or(1, |(number, _)| number + 1);
        let path = self.folder.join(format!("{SEGMENT_PREFIX}{number:020}"));
        let file = self.disk.create(&path).map_err(|e| io_error(&path, e))?;
        self.sync_folder()?;
        self.segment = Some(Segment { number, path, file, bytes: 0, synced_bytes: 0 });
        Ok(())
    }

    fn list_segments(&self) -> Result<Vec<(u64, PathBuf)>> {
        let mut segments = Vec::new();
        let listing = fs::read_dir(&self.folder).map_err(|e| io_error(&self.folder, e))?;
        for file in listing {
            let path = file.map_err(|e| io_error(&self.folder, e))?.path();
            let name = path.file_name().and_then(|name| name.to_str()).unwrap_or("");
            let Some(digits) = name.strip_prefix(SEGMENT_PREFIX) else { continue };
            let Ok(number) = digits.parse() else { continue };
            segments.push((number, path));
        }
        segments.sort();
        Ok(segments)
    }

    fn load(&mut self) -> Result<State> {
        let vote: Vote = read_record_file(&self.folder.join(VOTE_FILE))?.unwrap_or_default();
        let stored: Option<Manifest<Snapshot>> =
            read_record_file(&self.folder.join(SNAPSHOT_FILE))?;
        let Manifest { snapshot, first_segment } = stored.unwrap_or_default();
        self.remove_leftovers(first_segment)?;
        let segments = self.list_segments()?;
        let mut entries: Vec<Entry> = Vec::new();
        for (position, (_, path)) in segments.iter().enumerate() {
            let is_last = position + 1 == segments.len();
            for entry in self.read_segment(path, is_last)? {
                insert_entry(&mut entries, entry, &snapshot, path)?;
            }
        }
        let last_term = entries.last().map_or(snapshot.term, |entry| entry.term);
        if last_term > vote.term {
            let path = self.folder.join(VOTE_FILE);
            return Err(corrupt_error(
                &path,
                0,
                "the term and vote are missing or older than the last log entry",
            ));
        }
        if let Some((number, path)) = segments.last() {
            self.resume_segment(*number, path)?;
        }
        Ok(State { vote, snapshot, entries })
    }

    // Opens the last segment for appending. It is synced first, because an earlier process may have
    // exited after it wrote entries and before it synced them.
    fn resume_segment(&mut self, number: u64, path: &Path) -> Result<()> {
        let result = OpenOptions::new().append(true).open(path);
        let file = result.map_err(|e| io_error(path, e))?;
        let bytes = file.metadata().map_err(|e| io_error(path, e))?.len();
        self.disk.sync(&file, path).map_err(|e| io_error(path, e))?;
        self.written_bytes = bytes;
        self.segment =
            Some(Segment { number, path: path.into(), file, bytes, synced_bytes: bytes });
        Ok(())
    }

    fn remove_leftovers(&mut self, first_segment: u64) -> Result<()> {
        for (number, path) in self.list_segments()? {
            if number < first_segment {
                self.remove_file(&path)?;
            }
        }
        for name in [IDENTITY_FILE, VOTE_FILE, SNAPSHOT_FILE] {
            let temporary_path = self.folder.join(format!("{name}{TEMPORARY_SUFFIX}"));
            if temporary_path.exists() {
                self.remove_file(&temporary_path)?;
            }
        }
        Ok(())
    }

    fn read_segment(&mut self, path: &Path, is_last: bool) -> Result<Vec<Entry>> {
        let bytes = fs::read(path).map_err(|e| io_error(path, e))?;
        let mut entries = Vec::new();
        let mut offset = 0;
        while offset < bytes.len() {
            if let Some(record) = Record::parse(&bytes[offset..]) {
                let entry = record.decode();
                let detail = "the entry can't be decoded; another version may have written it";
                entries.push(entry.ok_or_else(|| corrupt_error(path, offset, detail))?);
                offset += record.total_bytes;
                continue;
            }
            if !is_last || record::classify(&bytes, offset) == Fault::Damaged {
                return Err(corrupt_error(
                    path,
                    offset,
                    "the record is incomplete or its checksum does not match",
                ));
            }
            tracing::warn!(
                path = %path.display(),
                offset,
                end = bytes.len(),
                "truncating a torn write at the end of the log"
            );
            truncate_file(path, offset as u64)?;
            break;
        }
        Ok(entries)
    }

    // Replaces a small file atomically.
    fn replace_file<T: Serialize>(&mut self, name: &str, value: &T) -> Result<()> {
        let mut buffer = Vec::new();
        record::encode(&mut buffer, 0, value);
        let temporary_path = self.folder.join(format!("{name}{TEMPORARY_SUFFIX}"));
        let mut file =
            self.disk.create(&temporary_path).map_err(|e| io_error(&temporary_path, e))?;
        self.disk
            .write(&mut file, &temporary_path, &buffer)
            .map_err(|e| io_error(&temporary_path, e))?;
        self.disk.sync(&file, &temporary_path).map_err(|e| io_error(&temporary_path, e))?;
        let path = self.folder.join(name);
        self.disk.rename(&temporary_path, &path).map_err(|e| io_error(&temporary_path, e))?;
        self.sync_folder()
    }

    fn remove_file(&mut self, path: &Path) -> Result<()> {
        self.disk.remove(path).map_err(|e| io_error(path, e))
    }

    fn sync_folder(&mut self) -> Result<()> {
        self.disk.sync_folder(&self.folder).map_err(|e| io_error(&self.folder, e))
    }
}

// Adds an entry that was read from a segment. If its index is already taken by an entry of another
// term, it replaces that entry and all after it.
fn insert_entry(
    log: &mut Vec<Entry>,
    entry: Entry,
    snapshot: &Snapshot,
    path: &Path,
) -> Result<()> {
    if entry.index <= snapshot.index {
        return Ok(());
    }
    let position = (entry.index - snapshot.index - 1) as usize;
    if position > log.len() {
        let detail = format!("entry {} follows a gap in the log", entry.index);
        return Err(corrupt_error(path, 0, &detail));
    }
    // Entries that were kept with a snapshot are stored twice. The entries after the first copy
    // stay valid.
    if log.get(position).is_some_and(|existing| existing.term == entry.term) {
        return Ok(());
    }
    log.truncate(position);
    log.push(entry);
    Ok(())
}

// Creates the folder and syncs its parent. Without that, a crash could remove the folder together
// with the files that were synced in it.
fn create_folder(folder: &Path) -> Result<()> {
    if folder.is_dir() {
        return Ok(());
    }
    fs::create_dir_all(folder).map_err(|e| io_error(folder, e))?;
    let Some(parent) = folder.parent().filter(|parent| !parent.as_os_str().is_empty()) else {
        return Ok(());
    };
    Filesystem.sync_folder(parent).map_err(|e| io_error(parent, e))
}

fn lock_folder(folder: &Path) -> Result<File> {
    let path = folder.join("lock");
    let mut options = OpenOptions::new();
    let result = options.create(true).truncate(false).write(true).open(&path);
    let file = result.map_err(|e| io_error(&path, e))?;
    if file.try_lock().is_err() {
        return Err(Error::Locked { path: folder.into() });
    }
    Ok(file)
}

fn truncate_file(path: &Path, length: u64) -> Result<()> {
    let result = OpenOptions::new().write(true).open(path);
    let file = result.map_err(|e| io_error(path, e))?;
    let result = file.set_len(length).and_then(|()| file.sync_all());
    result.map_err(|e| io_error(path, e))
}

fn read_record_file<T: DeserializeOwned>(path: &Path) -> Result<Option<T>> {
    let bytes = match fs::read(path) {
        Ok(bytes) => bytes,
        Err(e) if e.kind() == io::ErrorKind::NotFound => return Ok(None),
        Err(e) => return Err(io_error(path, e)),
    };
    let record = Record::parse(&bytes).filter(|record| record.total_bytes == bytes.len());
    let value = record.and_then(|record| record.decode());
    value.map(Some).ok_or_else(|| {
        corrupt_error(path, 0, "the record is incomplete, damaged or of another version")
    })
}
