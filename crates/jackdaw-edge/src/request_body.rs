//! Reads bodies of requests into the memory that all of them share.

use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http_body::Body;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use jackdaw_policy::direct::{BodyId, BodyPool, PoolGrant};
use tokio::sync::Notify;
use tokio::time::{Instant, timeout};

use crate::edge_state::EdgeState;

/// Size up to which a body is read without a lease, in bytes: it counts as a part of what its connection
/// takes.
const FREE_BODY_BYTES: usize = 8 * 1024;

/// Step in which the lease of a body grows that does not announce its length, in bytes.
const LEASE_STEP_BYTES: usize = 64 * 1024;

/// Longest time that a body waits for room. Callers leave a request that is not read within a second.
const ROOM_TIMEOUT: Duration = Duration::from_millis(300);

/// Interval at which a waiting body asks again, since others may have stalled meanwhile.
const ROOM_POLL: Duration = Duration::from_millis(50);

/// The bodies of requests that this router holds.
pub struct RequestBodies {
    pool: RefCell<BodyPool>,
    /// Wakes the readers of bodies that have to give way.
    readers: RefCell<HashMap<BodyId, Rc<Notify>>>,
    /// Wakes bodies that wait for room.
    freed: Notify,
}

/// Memory that one body takes, until it is dropped.
pub(crate) struct BodyLease {
    state: Rc<EdgeState>,
    id: BodyId,
    evicted: Rc<Notify>,
    bytes: usize,
}

/// A body that was read completely.
pub(crate) struct RequestBody {
    /// The bytes of the body.
    pub(crate) bytes: Bytes,
    /// The memory that they take; `None` for small bodies.
    pub(crate) lease: Option<BodyLease>,
}

/// Why a body was not read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum BodyFault {
    /// It is over the limit of the configuration.
    TooLarge,
    /// The connection failed, or the body is malformed.
    Broken,
    /// Other bodies take the memory.
    NoRoom,
}

impl RequestBodies {
    /// Creates an empty set that may take so many bytes.
    pub(crate) fn new(capacity: usize) -> RequestBodies {
        RequestBodies {
            pool: RefCell::new(BodyPool::new(capacity)),
            readers: RefCell::default(),
            freed: Notify::new(),
        }
    }

    /// Sets the number of bytes that all bodies may take.
    pub(crate) fn set_capacity(&self, capacity: usize) {
        self.pool.borrow_mut().set_capacity(capacity);
    }

    /// Returns the bytes that all bodies take.
    pub fn used_bytes(&self) -> usize {
        self.pool.borrow().used_bytes()
    }

    fn wake_evicted(&self, evicted: &[BodyId]) {
        let readers = self.readers.borrow();
        for reader in evicted.iter().filter_map(|id| readers.get(id)) {
            reader.notify_one();
        }
    }
}

/// Reads a body of at most `limit` bytes.
///
/// # Errors
///
/// [`BodyFault`]; the rest of the body is not read.
pub(crate) async fn read_body(
    state: &Rc<EdgeState>,
    mut body: Incoming,
    limit: usize,
) -> Result<RequestBody, BodyFault> {
    let announced = body.size_hint().exact().unwrap_or(0);
    let announced = usize::try_from(announced).unwrap_or(usize::MAX);
    if announced > limit {
        return Err(BodyFault::TooLarge);
    }
    let mut lease = None;
    reserve(state, &mut lease, announced, announced).await?;
    // The pages of a large buffer are taken only as they are written.
    let mut bytes = BytesMut::with_capacity(announced);
    while let Some(data) = next_data(&mut body, lease.as_ref()).await? {
        let length = bytes.len() + data.len();
        if length > limit {
            return Err(BodyFault::TooLarge);
        }
        reserve(state, &mut lease, length, length.next_multiple_of(LEASE_STEP_BYTES)).await?;
        bytes.extend_from_slice(&data);
        if let Some(lease) = &lease {
            lease.record_read(length);
        }
    }
    if let Some(lease) = &lease {
        state.request_bodies.pool.borrow_mut().complete(lease.id);
    }
    Ok(RequestBody { bytes: bytes.freeze(), lease })
}

/// Takes the memory for a body of `length` bytes, `leased` bytes if it needs a lease.
async fn reserve(
    state: &Rc<EdgeState>,
    lease: &mut Option<BodyLease>,
    length: usize,
    leased: usize,
) -> Result<(), BodyFault> {
    if length <= FREE_BODY_BYTES {
        return Ok(());
    }
    lease.get_or_insert_with(|| BodyLease::open(state)).extend(leased).await
}

/// Returns the next bytes of a body; `None` at its end.
async fn next_data(
    body: &mut Incoming,
    lease: Option<&BodyLease>,
) -> Result<Option<Bytes>, BodyFault> {
    loop {
        let frame = match lease {
            None => body.frame().await,
            Some(lease) => tokio::select! {
                frame = body.frame() => frame,
                () = lease.evicted.notified() => return Err(BodyFault::NoRoom),
            },
        };
        match frame {
            None => return Ok(None),
            Some(Err(_)) => return Err(BodyFault::Broken),
            Some(Ok(frame)) => {
                // Trailers are ignored.
                if let Ok(data) = frame.into_data() {
                    return Ok(Some(data));
                }
            }
        }
    }
}

impl BodyLease {
    fn open(state: &Rc<EdgeState>) -> BodyLease {
        let id = state.request_bodies.pool.borrow_mut().open(state.now());
        let evicted = Rc::new(Notify::new());
        state.request_bodies.readers.borrow_mut().insert(id, Rc::clone(&evicted));
        BodyLease { state: Rc::clone(state), id, evicted, bytes: 0 }
    }

    /// Takes as much as is missing to `bytes`; waits for a moment if there is no room.
    async fn extend(&mut self, bytes: usize) -> Result<(), BodyFault> {
        if bytes <= self.bytes {
            return Ok(());
        }
        let bodies = &self.state.request_bodies;
        let ends_at = Instant::now() + ROOM_TIMEOUT;
        loop {
            let now = self.state.now();
            let grant = bodies.pool.borrow_mut().extend(now, self.id, bytes);
            match grant {
                PoolGrant::Granted => break,
                PoolGrant::Full { evicted } => {
                    self.state.metrics.bodies_evicted.inc_by(evicted.len() as u64);
                    bodies.wake_evicted(&evicted);
                }
            }
            if bodies.pool.borrow().is_evicted(self.id) || Instant::now() >= ends_at {
                return Err(BodyFault::NoRoom);
            }
            // A timeout only means that it is asked again.
            let _ = timeout(ROOM_POLL, bodies.freed.notified()).await;
        }
        self.bytes = bytes;
        Ok(())
    }

    fn record_read(&self, bytes: usize) {
        let now = self.state.now();
        self.state.request_bodies.pool.borrow_mut().record_read(now, self.id, bytes);
    }
}

impl Drop for BodyLease {
    fn drop(&mut self) {
        let bodies = &self.state.request_bodies;
        bodies.readers.borrow_mut().remove(&self.id);
        bodies.pool.borrow_mut().close(self.id);
        bodies.freed.notify_waiters();
    }
}
