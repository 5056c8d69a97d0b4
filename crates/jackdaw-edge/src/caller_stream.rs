//! Caller connections that can detect synchronously that the caller closed them.

use std::io::{self, IoSlice};
use std::mem::MaybeUninit;
use std::net::Shutdown;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};

use socket2::SockRef;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

use crate::caller_connections::CallerGuard;
use crate::edge_state::EdgeState;
use crate::socket_progress::SocketProgress;

/// A caller's TCP connection; clones share the socket.
#[derive(Clone)]
pub struct CallerStream {
    stream: Rc<TcpStream>,
    state: Rc<EdgeState>,
    guard: Rc<CallerGuard>,
    progress: Rc<SocketProgress>,
}

impl CallerStream {
    /// Wraps an accepted connection, and counts it among those of `state`.
    pub fn new(state: &Rc<EdgeState>, stream: TcpStream) -> CallerStream {
        let guard = Rc::new(state.callers.add());
        let (stream, progress) = (Rc::new(stream), Rc::default());
        CallerStream { stream, state: Rc::clone(state), guard, progress }
    }

    /// Returns the guard that counts the connection.
    pub fn guard(&self) -> &Rc<CallerGuard> {
        &self.guard
    }

    /// Returns the progress of the writes to the connection.
    pub fn progress(&self) -> &Rc<SocketProgress> {
        &self.progress
    }

    /// Ends the connection in both directions, also while a write waits for the caller to read.
    pub fn abort(&self) {
        if let Err(error) = SockRef::from(&*self.stream).shutdown(Shutdown::Both) {
            log::debug!(error:% = error; "failed to end a caller connection");
        }
    }

    /// Returns whether the caller has closed the connection and no unread bytes are left.
    ///
    /// This peeks at the socket, because the runtime reports the end of the stream only later.
    pub fn has_closed(&self) -> bool {
        let mut byte = [MaybeUninit::uninit()];
        match SockRef::from(&*self.stream).peek(&mut byte) {
            Ok(count) => count == 0,
            Err(error) => error.kind() != io::ErrorKind::WouldBlock,
        }
    }
}

impl AsyncRead for CallerStream {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        loop {
            ready!(self.stream.poll_read_ready(cx))?;
            match self.stream.try_read_buf(buf) {
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                outcome => {
                    if matches!(outcome, Ok(1..)) {
                        self.state.callers.begin_request(&self.guard);
                    }
                    return Poll::Ready(outcome.map(|_| ()));
                }
            }
        }
    }
}

impl AsyncWrite for CallerStream {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.poll_write_vectored(cx, &[IoSlice::new(buf)])
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        loop {
            ready!(self.stream.poll_write_ready(cx))?;
            match self.stream.try_write_vectored(bufs) {
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                outcome => {
                    self.progress.record_write(*outcome.as_ref().unwrap_or(&0));
                    return Poll::Ready(outcome);
                }
            }
        }
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    /// The HTTP server flushes a connection once it has written all that it holds.
    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.progress.record_flush();
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(SockRef::from(&*self.stream).shutdown(Shutdown::Write))
    }
}
