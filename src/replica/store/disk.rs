//! File operations of the data folder. Tests implement [`Disk`] to inject a fault into any of them.

use std::fmt::Debug;
use std::fs::{self, File, OpenOptions};
use std::io::{self, Write};
use std::path::Path;

/// Operations that modify files. The default implementations use the operating system.
pub trait Disk: Debug + Send {
    /// Creates a file, or truncates it if it exists.
    ///
    /// # Errors
    /// Any error of the operating system.
    fn create(&mut self, path: &Path) -> io::Result<File> {
        let mut options = OpenOptions::new();
        options.create(true).truncate(true).write(true).open(path)
    }

    /// Writes bytes to a file after those already written.
    ///
    /// # Errors
    /// Any error of the operating system.
    fn write(&mut self, file: &mut File, _path: &Path, bytes: &[u8]) -> io::Result<()> {
        file.write_all(bytes)
    }

    /// Syncs the content of a file to disk.
    ///
    /// # Errors
    /// Any error of the operating system.
    fn sync(&mut self, file: &File, _path: &Path) -> io::Result<()> {
        file.sync_data()
    }

    /// Renames a file, replacing any file with the new name.
    ///
    /// # Errors
    /// Any error of the operating system.
    fn rename(&mut self, from: &Path, to: &Path) -> io::Result<()> {
        fs::rename(from, to)
    }

    /// Removes a file.
    ///
    /// # Errors
    /// Any error of the operating system.
    fn remove(&mut self, path: &Path) -> io::Result<()> {
        fs::remove_file(path)
    }

    /// Syncs the directory entries of a folder to disk.
    ///
    /// # Errors
    /// Any error of the operating system.
    fn sync_folder(&mut self, folder: &Path) -> io::Result<()> {
        File::open(folder).and_then(|file| file.sync_all())
    }
}

/// Files of the operating system.
#[derive(Clone, Copy, Debug, Default)]
pub struct Filesystem;

impl Disk for Filesystem {}
