//! Bounds what is read from a target without a response that results from it.
//!
//! The HTTP client skips interim responses, leading zeros of chunk sizes and the like for as long as
//! they come. A target that sends such bytes without end would occupy the router until the caller's
//! deadline.

use std::cell::Cell;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};

use bytes::Bytes;
use http_body::{Body, Frame, SizeHint};
use hyper::body::Incoming;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// Size limit of a response head, and of the bytes that the HTTP client buffers per connection.
pub(crate) const CLIENT_BUFFER_BYTES: usize = 64 * 1024;

/// Limit of bytes read in a row without a complete head or data of a body; more than the client
/// buffers.
const IDLE_READ_LIMIT_BYTES: usize = 4 * CLIENT_BUFFER_BYTES;

/// Counts the bytes read from a connection since the response last advanced.
#[derive(Debug, Clone, Default)]
pub(crate) struct ReadMeter {
    bytes: Rc<Cell<usize>>,
}

/// Connection whose reads fail once too many bytes led to no response.
pub(crate) struct MeteredStream {
    stream: TcpStream,
    meter: ReadMeter,
}

/// Body of a response on a metered connection.
pub struct MeteredBody {
    body: Incoming,
    meter: ReadMeter,
}

impl ReadMeter {
    /// Records that a response advanced: its head is complete, or data of its body arrived.
    pub(crate) fn reset(&self) {
        self.bytes.set(0);
    }

    fn record(&self, count: usize) -> io::Result<()> {
        let bytes = self.bytes.get() + count;
        self.bytes.set(bytes);
        match bytes > IDLE_READ_LIMIT_BYTES {
            true => Err(io::Error::new(io::ErrorKind::InvalidData, "bytes without a response")),
            false => Ok(()),
        }
    }
}

impl MeteredStream {
    pub(crate) fn new(stream: TcpStream, meter: &ReadMeter) -> MeteredStream {
        MeteredStream { stream, meter: meter.clone() }
    }
}

impl MeteredBody {
    pub(crate) fn new(body: Incoming, meter: &ReadMeter) -> MeteredBody {
        MeteredBody { body, meter: meter.clone() }
    }
}

impl AsyncRead for MeteredStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let filled = buffer.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(cx, buffer))?;
        Poll::Ready(self.meter.record(buffer.filled().len() - filled))
    }
}

impl AsyncWrite for MeteredStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(cx, slices)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}

impl Body for MeteredBody {
    type Data = Bytes;
    type Error = hyper::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, hyper::Error>>> {
        let frame = ready!(Pin::new(&mut self.body).poll_frame(cx));
        if matches!(&frame, Some(Ok(frame)) if frame.is_data()) {
            self.meter.reset();
        }
        Poll::Ready(frame)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
