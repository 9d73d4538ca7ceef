//! Faults of the data folder.

use std::io;
use std::path::{Path, PathBuf};

use derive_more::{Display, Error};

/// Result of using the data folder.
pub type Result<T> = std::result::Result<T, Error>;

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
    #[display(
        "{} at byte {offset}: {detail}; synced state of this member is lost: stop it, move the \
         data folder away, start it with an empty one, add the new member and remove the old one",
        path.display()
    )]
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
    /// An earlier operation failed, so what the folder holds is unknown.
    #[display("{}: not used after a failed write or sync", path.display())]
    Failed {
        /// Folder.
        path: PathBuf,
    },
}

pub(super) fn io_error(path: &Path, source: io::Error) -> Error {
    Error::Io { path: path.into(), source }
}

pub(super) fn corrupt(path: &Path, offset: usize, detail: &str) -> Error {
    Error::Corrupt { path: path.into(), offset: offset as u64, detail: detail.into() }
}
