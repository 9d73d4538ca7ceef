//! Errors of the data folder.

use std::io;
use std::path::{Path, PathBuf};

use derive_more::{Display, Error};

/// Result of an operation on the data folder.
pub type Result<T> = std::result::Result<T, Error>;

/// Error of an operation on the data folder.
#[derive(Debug, Display, Error)]
pub enum Error {
    /// A file operation failed.
    #[display("{}: {source}", path.display())]
    Io {
        /// File or folder on which it failed.
        path: PathBuf,
        /// Error of the operating system.
        source: io::Error,
    },
    /// Another process holds the folder's lock.
    #[display("{}: the data folder is in use by another daemon", path.display())]
    Locked {
        /// Path of the data folder.
        path: PathBuf,
    },
    /// Stored data can't be read back. Because it had been synced, the member can't safely go on
    /// without it.
    #[display(
        "{} at byte {offset}: {detail}; synced state of this member is lost: stop it, move the \
         data folder away, start it with an empty one, add the new member and remove the old one",
        path.display()
    )]
    Corrupt {
        /// Path of the corrupt file.
        path: PathBuf,
        /// Offset of the corrupt data, in bytes.
        offset: u64,
        /// Description of the corruption.
        detail: String,
    },
    /// The folder already holds a member.
    #[display("{}: already holds a member; bootstrap needs an empty folder", path.display())]
    NotEmpty {
        /// Path of the data folder.
        path: PathBuf,
    },
    /// An earlier operation failed, so it is not known what the folder contains.
    #[display(
        "{}: an earlier operation on the data folder failed; it must be reopened first",
        path.display()
    )]
    Failed {
        /// Path of the data folder.
        path: PathBuf,
    },
}

pub(super) fn io_error(path: &Path, source: io::Error) -> Error {
    Error::Io { path: path.into(), source }
}

pub(super) fn corrupt_error(path: &Path, offset: usize, detail: &str) -> Error {
    Error::Corrupt { path: path.into(), offset: offset as u64, detail: detail.into() }
}
