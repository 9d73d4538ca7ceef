//! The data folder: identity, vote, log segments and snapshot.

use std::fs::{self, File, OpenOptions};
use std::io::{self, Read, Write};
use std::path::{Path, PathBuf};

use derive_more::{Display, Error};
use serde::Serialize;
use serde::de::DeserializeOwned;

use super::member::{Id, Members};
use super::{Entry, Saved, Snapshot, Vote};

/// Result of using the data folder.
pub type Result<T> = std::result::Result<T, Error>;

/// Bytes after which a new segment begins.
const SEGMENT_BYTES: u64 = 4 << 20;
/// Length and checksum before each record.
const HEADER_BYTES: usize = 8;
/// Longest record that is believed.
const RECORD_BYTES: usize = 256 << 20;

/// A fault of the data folder.
#[derive(Debug, Display, Error)]
pub enum Error {
    /// The operating system refused.
    #[display("{}: {source}", path.display())]
    Io {
        /// File or folder.
        path: PathBuf,
        /// Cause.
        source: io::Error,
    },
    /// Another daemon uses the folder.
    #[display("{}: another daemon uses this folder", path.display())]
    Locked {
        /// Folder.
        path: PathBuf,
    },
    /// Synced data can't be read back.
    #[display("{} at byte {offset}: {detail}; this member's state is lost: move the folder away, start it empty and replace the member", path.display())]
    Corrupt {
        /// File.
        path: PathBuf,
        /// Offset of the fault, in bytes.
        offset: u64,
        /// What was found.
        detail: String,
    },
    /// The folder already holds a member.
    #[display("{}: already holds a member; bootstrap is for an empty folder", path.display())]
    NotEmpty {
        /// Folder.
        path: PathBuf,
    },
}

/// An open data folder.
#[derive(Debug)]
pub struct Store {
    folder: PathBuf,
    id: Id,
    _lock: File,
    segment: Option<Segment>,
    written: u64,
}

#[derive(Debug)]
struct Segment {
    path: PathBuf,
    file: File,
    bytes: u64,
}

impl Store {
    /// Opens a folder, makes its identity where it has none, and reads what it holds.
    ///
    /// # Errors
    /// Where the folder is in use, can't be read, or holds corrupt data.
    pub fn open(folder: &Path) -> Result<(Self, Saved)> {
        fs::create_dir_all(folder).map_err(|e| io_error(folder, e))?;
        let lock = lock(folder)?;
        let id = match read_record::<Id>(&folder.join("identity"))? {
            Some(id) => id,
            None => {
                let id = Id(rand::random());
                replace(folder, "identity", &id)?;
                id
            }
        };
        let mut store = Self { folder: folder.into(), id, _lock: lock, segment: None, written: 0 };
        let saved = store.load()?;
        Ok((store, saved))
    }

    /// Makes an empty folder the first voter of a new group.
    ///
    /// # Errors
    /// [`Error::NotEmpty`] where the folder holds a member already.
    pub fn bootstrap(folder: &Path, name: &str) -> Result<Id> {
        let (store, saved) = Self::open(folder)?;
        let used = saved.vote != Vote::default() || saved.snapshot.index > 0;
        if used || !saved.entries.is_empty() {
            return Err(Error::NotEmpty { path: folder.into() });
        }
        let mut members = Members::default();
        members.voters.insert(store.id, name.into());
        let snapshot = Snapshot { index: 1, term: 1, members, ..Snapshot::default() };
        replace(folder, "snapshot", &snapshot)?;
        Ok(store.id)
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
        replace(&self.folder, "vote", &vote)
    }

    /// Writes entries; [`Store::sync`] makes them last.
    ///
    /// # Errors
    /// Any failure is final: the process must stop.
    pub fn append(&mut self, entries: &[Entry]) -> Result<()> {
        let mut buffer = Vec::new();
        for entry in entries {
            push_record(&mut buffer, entry);
        }
        let Some(first) = entries.first() else { return Ok(()) };
        let full = self.segment.as_ref().is_none_or(|segment| segment.bytes >= SEGMENT_BYTES);
        if full {
            self.sync()?;
            self.segment = Some(self.create_segment(first.index)?);
        }
        let Some(segment) = &mut self.segment else { return Ok(()) };
        segment.file.write_all(&buffer).map_err(|e| io_error(&segment.path, e))?;
        segment.bytes += buffer.len() as u64;
        self.written += buffer.len() as u64;
        Ok(())
    }

    /// Makes everything written so far last.
    ///
    /// # Errors
    /// Any failure is final: the process must stop.
    pub fn sync(&mut self) -> Result<()> {
        let Some(segment) = &self.segment else { return Ok(()) };
        segment.file.sync_data().map_err(|e| io_error(&segment.path, e))
    }

    /// Persists a snapshot, synced, and drops the log that it covers.
    ///
    /// # Errors
    /// Any failure is final: the process must stop.
    pub fn save_snapshot(&mut self, snapshot: &Snapshot, keep: &[Entry]) -> Result<()> {
        replace(&self.folder, "snapshot", snapshot)?;
        let old = self.segments()?;
        self.segment = None;
        self.written = 0;
        // Entries after the snapshot move to a new segment before the old ones go.
        let next = self.next_segment_number(&old);
        self.segment = Some(self.create_segment(next)?);
        self.append(keep)?;
        self.sync()?;
        for (_, path) in old {
            fs::remove_file(&path).map_err(|e| io_error(&path, e))?;
        }
        sync_folder(&self.folder)
    }

    fn next_segment_number(&self, old: &[(u64, PathBuf)]) -> u64 {
        old.last().map_or(1, |(number, _)| number + 1)
    }

    fn create_segment(&self, first: u64) -> Result<Segment> {
        let old = self.segments()?;
        let number = first.max(self.next_segment_number(&old));
        let path = self.folder.join(format!("log-{number:020}"));
        let mut options = OpenOptions::new();
        let opened = options.append(true).create_new(true).open(&path);
        let file = opened.map_err(|e| io_error(&path, e))?;
        sync_folder(&self.folder)?;
        Ok(Segment { path, file, bytes: 0 })
    }

    fn segments(&self) -> Result<Vec<(u64, PathBuf)>> {
        let mut found = Vec::new();
        let listing = fs::read_dir(&self.folder).map_err(|e| io_error(&self.folder, e))?;
        for item in listing {
            let path = item.map_err(|e| io_error(&self.folder, e))?.path();
            let name = path.file_name().and_then(|name| name.to_str()).unwrap_or("");
            let Some(digits) = name.strip_prefix("log-") else { continue };
            let Ok(number) = digits.parse() else { continue };
            found.push((number, path));
        }
        found.sort();
        Ok(found)
    }

    fn load(&mut self) -> Result<Saved> {
        let vote = read_record(&self.folder.join("vote"))?.unwrap_or_default();
        let snapshot: Snapshot = read_record(&self.folder.join("snapshot"))?.unwrap_or_default();
        let mut entries: Vec<Entry> = Vec::new();
        let segments = self.segments()?;
        for (at, (_, path)) in segments.iter().enumerate() {
            let last = at + 1 == segments.len();
            for entry in read_segment(path, last)? {
                if entry.index <= snapshot.index {
                    continue;
                }
                let keep = (entry.index - snapshot.index - 1) as usize;
                if keep > entries.len() {
                    let detail = format!("entry {} follows a gap", entry.index);
                    return Err(Error::Corrupt { path: path.clone(), offset: 0, detail });
                }
                entries.truncate(keep);
                entries.push(entry);
            }
        }
        if let Some((_, path)) = segments.last() {
            let file = OpenOptions::new().append(true).open(path).map_err(|e| io_error(path, e))?;
            let bytes = file.metadata().map_err(|e| io_error(path, e))?.len();
            self.written = bytes;
            self.segment = Some(Segment { path: path.clone(), file, bytes });
        }
        Ok(Saved { vote, snapshot, entries })
    }
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

fn io_error(path: &Path, source: io::Error) -> Error {
    Error::Io { path: path.into(), source }
}

fn sync_folder(folder: &Path) -> Result<()> {
    let synced = File::open(folder).and_then(|file| file.sync_all());
    synced.map_err(|e| io_error(folder, e))
}

fn push_record<T: Serialize>(buffer: &mut Vec<u8>, value: &T) {
    let start = buffer.len();
    buffer.extend_from_slice(&[0; HEADER_BYTES]);
    ciborium::into_writer(value, &mut *buffer).expect("a record encodes into memory");
    let body = &buffer[start + HEADER_BYTES..];
    let length = (body.len() as u32).to_le_bytes();
    let sum = crc32fast::hash(body).to_le_bytes();
    buffer[start..start + 4].copy_from_slice(&length);
    buffer[start + 4..start + HEADER_BYTES].copy_from_slice(&sum);
}

// A record and the bytes it took; `None` where the bytes hold no whole record.
fn take_record<T: DeserializeOwned>(bytes: &[u8]) -> Option<(T, usize)> {
    let header = bytes.get(..HEADER_BYTES)?;
    let length = u32::from_le_bytes(header[..4].try_into().ok()?) as usize;
    let sum = u32::from_le_bytes(header[4..].try_into().ok()?);
    if length > RECORD_BYTES {
        return None;
    }
    let end = HEADER_BYTES + length;
    let body = bytes.get(HEADER_BYTES..end)?;
    if crc32fast::hash(body) != sum {
        return None;
    }
    Some((ciborium::from_reader(body).ok()?, end))
}

fn read_segment(path: &Path, last: bool) -> Result<Vec<Entry>> {
    let bytes = fs::read(path).map_err(|e| io_error(path, e))?;
    let mut entries = Vec::new();
    let mut offset = 0;
    while offset < bytes.len() {
        if let Some((entry, taken)) = take_record(&bytes[offset..]) {
            entries.push(entry);
            offset += taken;
            continue;
        }
        if !last {
            let detail = "checksum does not match".into();
            return Err(Error::Corrupt { path: path.into(), offset: offset as u64, detail });
        }
        cut(path, offset as u64)?;
        break;
    }
    Ok(entries)
}

fn cut(path: &Path, length: u64) -> Result<()> {
    let opened = OpenOptions::new().write(true).open(path);
    let file = opened.map_err(|e| io_error(path, e))?;
    let done = file.set_len(length).and_then(|()| file.sync_all());
    done.map_err(|e| io_error(path, e))
}

fn read_record<T: DeserializeOwned>(path: &Path) -> Result<Option<T>> {
    let mut file = match File::open(path) {
        Ok(file) => file,
        Err(e) if e.kind() == io::ErrorKind::NotFound => return Ok(None),
        Err(e) => return Err(io_error(path, e)),
    };
    let mut bytes = Vec::new();
    file.read_to_end(&mut bytes).map_err(|e| io_error(path, e))?;
    match take_record(&bytes) {
        Some((value, taken)) if taken == bytes.len() => Ok(Some(value)),
        _ => {
            let detail = "checksum does not match".into();
            Err(Error::Corrupt { path: path.into(), offset: 0, detail })
        }
    }
}

// Replaces a small file as a whole: write aside, sync, rename, sync the folder.
fn replace<T: Serialize>(folder: &Path, name: &str, value: &T) -> Result<()> {
    let mut buffer = Vec::new();
    push_record(&mut buffer, value);
    let aside = folder.join(format!("{name}.new"));
    let mut file = File::create(&aside).map_err(|e| io_error(&aside, e))?;
    file.write_all(&buffer).map_err(|e| io_error(&aside, e))?;
    file.sync_all().map_err(|e| io_error(&aside, e))?;
    fs::rename(&aside, folder.join(name)).map_err(|e| io_error(&aside, e))?;
    sync_folder(folder)
}
