//! File operations of the data folder, each a point where a fault can strike.

use std::fmt::Debug;
use std::fs::{self, File, OpenOptions};
use std::io::{self, Write};
use std::path::Path;

/// What changes files.
pub trait Disk: Debug + Send {
    /// Creates a file, in the place of one that exists.
    ///
    /// # Errors
    /// As of the operating system.
    fn create(&mut self, path: &Path) -> io::Result<File> {
        let mut options = OpenOptions::new();
        options.create(true).truncate(true).write(true).open(path)
    }

    /// Writes bytes at the end of what was written to the file.
    ///
    /// # Errors
    /// As of the operating system.
    fn write(&mut self, file: &mut File, _path: &Path, bytes: &[u8]) -> io::Result<()> {
        file.write_all(bytes)
    }

    /// Makes the content of a file last.
    ///
    /// # Errors
    /// As of the operating system.
    fn sync(&mut self, file: &File, _path: &Path) -> io::Result<()> {
        file.sync_data()
    }

    /// Gives a file another name, in the place of one that has it.
    ///
    /// # Errors
    /// As of the operating system.
    fn rename(&mut self, from: &Path, to: &Path) -> io::Result<()> {
        fs::rename(from, to)
    }

    /// Removes a file.
    ///
    /// # Errors
    /// As of the operating system.
    fn remove(&mut self, path: &Path) -> io::Result<()> {
        fs::remove_file(path)
    }

    /// Makes the names in a folder last.
    ///
    /// # Errors
    /// As of the operating system.
    fn sync_folder(&mut self, folder: &Path) -> io::Result<()> {
        File::open(folder).and_then(|file| file.sync_all())
    }
}

/// The operating system's files.
#[derive(Clone, Copy, Debug, Default)]
pub struct OsDisk;

impl Disk for OsDisk {}
