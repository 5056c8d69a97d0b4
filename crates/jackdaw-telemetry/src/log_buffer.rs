//! Bounded buffer between the log and standard output.
//!
//! Lines are collected in memory and written in batches, so that logging a line needs no system
//! call. Lines that do not fit are dropped and counted, so that a slow reader of standard output
//! never blocks the process.

use std::io::{self, Write};
use std::mem;
use std::os::fd::BorrowedFd;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Mutex, MutexGuard, OnceLock, PoisonError};

use rustix::fs::{OFlags, fcntl_getfl, fcntl_setfl};

/// The maximum number of buffered bytes: enough for a few seconds of a busy process.
const BUFFER_LIMIT_BYTES: usize = 1024 * 1024;

/// Log lines that are not yet written to standard output.
#[derive(Debug, Default)]
pub struct LogBuffer {
    bytes: Mutex<Vec<u8>>,
    dropped: AtomicU64,
}

/// Writer that appends the lines of one logger to the buffer.
#[derive(Debug)]
struct BufferWriter {
    buffer: &'static LogBuffer,
}

impl LogBuffer {
    /// Returns the buffer of the process. The first call makes standard output non-blocking.
    pub fn shared() -> &'static LogBuffer {
        static BUFFER: OnceLock<LogBuffer> = OnceLock::new();
        BUFFER.get_or_init(|| {
            set_nonblocking();
            LogBuffer::default()
        })
    }

    /// Returns a writer that appends to the buffer; each write must be one whole line.
    pub(crate) fn writer(&'static self) -> Box<dyn Write + Send> {
        Box::new(BufferWriter { buffer: self })
    }

    /// Writes as much as standard output accepts without blocking; the rest stays buffered.
    pub fn drain(&self) {
        let mut waiting = mem::take(&mut *self.lock());
        let mut written = 0;
        let output = rustix::stdio::stdout();
        while written < waiting.len() {
            match rustix::io::write(output, &waiting[written..]) {
                Ok(0) | Err(rustix::io::Errno::AGAIN) => break,
                Ok(count) => written += count,
                Err(rustix::io::Errno::INTR) => {}
                // Nobody reads standard output any more, so the lines are discarded.
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

    /// Returns the number of lines dropped so far because the buffer was full.
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

/// Makes standard output non-blocking.
fn set_nonblocking() {
    let output: BorrowedFd<'_> = rustix::stdio::stdout();
    let flags = fcntl_getfl(output).unwrap_or(OFlags::empty());
    if let Err(error) = fcntl_setfl(output, flags | OFlags::NONBLOCK) {
        eprintln!(
            "failed to make standard output non-blocking; logging may block the process: {error}"
        );
    }
}
