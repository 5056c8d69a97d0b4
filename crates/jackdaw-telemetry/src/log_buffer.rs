//! Bounded buffer between the log and standard output.
//!
//! Lines are gathered in memory and written together, so that a log line costs no system call.
//! What does not fit is dropped and counted; the process never waits for its reader.

use std::io::{self, Write};
use std::mem;
use std::os::fd::BorrowedFd;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Mutex, MutexGuard, OnceLock, PoisonError};

use rustix::fs::{OFlags, fcntl_getfl, fcntl_setfl};

/// The most bytes that wait for standard output; some seconds of a busy process.
const BUFFER_LIMIT_BYTES: usize = 1024 * 1024;

/// Lines on their way to standard output.
#[derive(Debug, Default)]
pub struct LogBuffer {
    bytes: Mutex<Vec<u8>>,
    dropped: AtomicU64,
}

/// Writer of one log into the buffer.
#[derive(Debug)]
struct BufferWriter {
    buffer: &'static LogBuffer,
}

impl LogBuffer {
    /// Returns the process's buffer; standard output no longer blocks once it is used.
    pub fn shared() -> &'static LogBuffer {
        static BUFFER: OnceLock<LogBuffer> = OnceLock::new();
        BUFFER.get_or_init(|| {
            unblock_output();
            LogBuffer::default()
        })
    }

    /// Returns a writer that appends whole lines.
    pub(crate) fn writer(&'static self) -> Box<dyn Write + Send> {
        Box::new(BufferWriter { buffer: self })
    }

    /// Writes what standard output takes now; the rest stays.
    pub fn drain(&self) {
        let mut waiting = mem::take(&mut *self.lock());
        let mut written = 0;
        let output = rustix::stdio::stdout();
        while written < waiting.len() {
            match rustix::io::write(output, &waiting[written..]) {
                Ok(0) | Err(rustix::io::Errno::AGAIN) => break,
                Ok(count) => written += count,
                Err(rustix::io::Errno::INTR) => {}
                // Nobody reads the log any more.
                Err(_) => written = waiting.len(),
            }
        }
        if written < waiting.len() {
            waiting.drain(..written);
            let mut bytes = self.lock();
            waiting.extend_from_slice(&bytes);
            *bytes = waiting;
        }
    }

    /// Returns the number of lines that did not fit so far.
    pub fn dropped_lines(&self) -> u64 {
        self.dropped.load(Ordering::Relaxed)
    }

    fn lock(&self) -> MutexGuard<'_, Vec<u8>> {
        self.bytes.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Write for BufferWriter {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        let mut bytes = self.buffer.lock();
        if bytes.len() + line.len() > BUFFER_LIMIT_BYTES {
            self.buffer.dropped.fetch_add(1, Ordering::Relaxed);
        } else {
            bytes.extend_from_slice(line);
        }
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Makes writes to standard output return at once where it takes nothing.
fn unblock_output() {
    let output: BorrowedFd<'_> = rustix::stdio::stdout();
    let flags = fcntl_getfl(output).unwrap_or(OFlags::empty());
    if let Err(error) = fcntl_setfl(output, flags | OFlags::NONBLOCK) {
        eprintln!("standard output may block the process: {error}");
    }
}
