//! Budget for response bodies that are buffered.

use std::convert::Infallible;
use std::pin::Pin;
use std::task::{Context, Poll, Waker};

use bytes::Bytes;
use futures_util::{StreamExt, stream};
use http_body::{Body, Frame};
use http_body_util::StreamBody;
use jackdaw_edge::body_buffer::{BodyBuffer, BufferError};

const MEGABYTE: usize = 1024 * 1024;

type Collected = Result<Bytes, BufferError<Infallible>>;

/// Returns a body that has sent `bytes` bytes and goes on.
fn unfinished(bytes: usize) -> impl Body<Data = Bytes, Error = Infallible> + Unpin {
    let data = stream::iter([Ok(Frame::data(Bytes::from(vec![0; bytes])))]);
    StreamBody::new(data.chain(stream::pending()))
}

/// Returns a body of `bytes` bytes.
fn finished(bytes: usize) -> impl Body<Data = Bytes, Error = Infallible> + Unpin {
    StreamBody::new(stream::iter([Ok(Frame::data(Bytes::from(vec![0; bytes])))]))
}

fn poll<F: Future<Output = Collected> + ?Sized>(future: &mut Pin<Box<F>>) -> Poll<Collected> {
    future.as_mut().poll(&mut Context::from_waker(Waker::noop()))
}

/// Targets that send without end must not use up the memory of the router, and must not keep it from
/// forwarding the answers of others.
#[test]
fn endless_bodies_stay_within_the_budget() {
    let buffer = BodyBuffer::default();
    let mut first = Box::pin(buffer.collect(unfinished(7 * MEGABYTE)));
    let mut second = Box::pin(buffer.collect(unfinished(7 * MEGABYTE)));
    assert!(poll(&mut first).is_pending());
    assert!(poll(&mut second).is_pending());
    let mut third = Box::pin(buffer.collect(finished(7 * MEGABYTE)));
    assert!(matches!(poll(&mut third), Poll::Ready(Err(BufferError::OverBudget))));
    let mut small = Box::pin(buffer.collect(finished(64 * 1024)));
    assert!(matches!(poll(&mut small), Poll::Ready(Ok(body)) if body.len() == 64 * 1024));
    drop(first);
    let mut third = Box::pin(buffer.collect(finished(7 * MEGABYTE)));
    assert!(matches!(poll(&mut third), Poll::Ready(Ok(body)) if body.len() == 7 * MEGABYTE));
}

#[test]
fn one_body_is_limited() {
    let buffer = BodyBuffer::default();
    let mut longest = Box::pin(buffer.collect(finished(8 * MEGABYTE)));
    assert!(matches!(poll(&mut longest), Poll::Ready(Ok(_))));
    let mut longer = Box::pin(buffer.collect(finished(8 * MEGABYTE + 1)));
    assert!(matches!(poll(&mut longer), Poll::Ready(Err(BufferError::TooLong))));
}
