//! Endpoint that accepts links and opens links to peers.
//!
//! Links are opened from the sockets of a separate pool.

use std::net::SocketAddr;
use std::sync::Arc;

use error_stack::{Report, ResultExt};
use futures_util::StreamExt;
use jackdaw_base::{ErrorKind, VmId, describe_report};
use quinn::{Connection, Endpoint, Incoming, SendStream};
use rustls_pki_types::CertificateDer;
use time::OffsetDateTime;
use tokio::sync::{Mutex, OwnedSemaphorePermit, Semaphore, mpsc};
use tokio::time::timeout;

use crate::authority::server_name;
use crate::dial_pool::DialPool;
use crate::frame::{FrameReader, decode_prefix, encode_frame, frame_reader};
use crate::identity::{CertificateSubject, FleetIdentity, read_subject};
use crate::peer::{CLOSE_NORMAL, CLOSE_REFUSED, OpenedControl};
use crate::{LinkGreeting, LinkSettings, PeerLink};

/// Maximum number of links that may wait for [`LinkEndpoint::accept`].
const ACCEPT_QUEUE: usize = 64;
/// Remaining validity of the certificate below which its expiry is logged as a warning.
const EXPIRY_WARNING: time::Duration = time::Duration::days(7);

/// Bound endpoint of the links of a process.
pub struct LinkEndpoint {
    endpoint: Endpoint,
    address: SocketAddr,
    pool: Arc<DialPool>,
    greeting: LinkGreeting,
    settings: LinkSettings,
    accepted: Mutex<mpsc::Receiver<PeerLink>>,
}

impl LinkEndpoint {
    /// Binds the address and starts accepting links.
    ///
    /// # Errors
    ///
    /// - [`ErrorKind::SettingsInvalid`] if VM or role of the greeting differ from those of the
    ///   identity, or the identity or settings are not valid.
    /// - [`ErrorKind::LocalResource`] if the address cannot be bound.
    pub fn bind(
        address: SocketAddr,
        identity: &FleetIdentity,
        greeting: LinkGreeting,
        settings: LinkSettings,
    ) -> Result<LinkEndpoint, Report<ErrorKind>> {
        if greeting.vm != identity.vm() || greeting.role != identity.role() {
            return Err(Report::new(ErrorKind::SettingsInvalid).attach(format!(
                "the certificate was issued to {:?} on VM {:?}, not to the configured VM and role",
                identity.role(),
                identity.vm_name()
            )));
        }
        log_expiry(identity);
        let server = identity.server_config(&settings)?;
        let client = identity.client_config(&settings)?;
        let endpoint = Endpoint::server(server, address)
            .change_context(ErrorKind::LocalResource)
            .attach_with(|| format!("binding the link address {address}"))?;
        let address = endpoint.local_addr().change_context(ErrorKind::LocalResource)?;
        let (sender, accepted) = mpsc::channel(ACCEPT_QUEUE);
        tokio::spawn(accept_links(endpoint.clone(), greeting, settings, sender));
        Ok(LinkEndpoint {
            endpoint,
            address,
            pool: Arc::new(DialPool::new(address.ip(), client)),
            greeting,
            settings,
            accepted: Mutex::new(accepted),
        })
    }

    /// Returns the bound address.
    pub fn local_address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the next link opened by a peer, or `None` if the endpoint is closed.
    pub async fn accept(&self) -> Option<PeerLink> {
        self.accepted.lock().await.recv().await
    }

    /// Opens a link to the process on the expected VM.
    ///
    /// # Errors
    ///
    /// - [`ErrorKind::LinkFailed`] if the handshake fails or times out, which includes a peer that
    ///   is another VM or has no valid certificate of the fleet.
    /// - [`ErrorKind::LocalResource`] if no socket can be bound.
    /// - [`ErrorKind::ProtocolViolation`] if the peer's greeting cannot be decoded.
    pub async fn dial(
        &self,
        address: SocketAddr,
        expected: VmId,
    ) -> Result<PeerLink, Report<ErrorKind>> {
        let opened =
            timeout(self.settings.handshake_timeout, self.open_link(address, expected)).await;
        if opened.is_err() {
            self.pool.rotate();
        }
        opened
            .change_context(ErrorKind::LinkFailed)
            .flatten()
            .attach_with(|| format!("opening a link to {address}"))
    }

    /// Closes every link without waiting for the peers to be informed.
    pub fn shutdown(&self) {
        self.endpoint.close(CLOSE_NORMAL, b"process ends");
        self.pool.shutdown();
    }

    /// Closes every link immediately; returns once peers are informed and the address is free.
    ///
    /// Dropping the endpoint does the same without waiting. [`PeerLink::drained`] waits until the
    /// peer has received all responses.
    pub async fn close(self) {
        self.shutdown();
        self.pool.wait_idle().await;
        self.endpoint.wait_idle().await;
    }

    async fn open_link(
        &self,
        address: SocketAddr,
        expected: VmId,
    ) -> Result<PeerLink, Report<ErrorKind>> {
        let connection = self
            .pool
            .socket()?
            .connect(address, &server_name(expected))
            .change_context(ErrorKind::LinkFailed)?
            .await
            .change_context(ErrorKind::LinkFailed)?;
        let subject = peer_subject(&connection)?;
        let (mut sender, receiver) =
            connection.open_bi().await.change_context(ErrorKind::LinkFailed)?;
        send_greeting(&mut sender, &self.greeting, &self.settings).await?;
        let mut frames = frame_reader(receiver, self.settings.frame_limit_bytes);
        let peer = read_greeting(&mut frames).await?;
        check_greeting(&peer, &subject).inspect_err(|_| {
            connection.close(CLOSE_REFUSED, b"greeting does not fit certificate");
        })?;
        let control = OpenedControl {
            connection,
            sender,
            frames,
            own: self.greeting,
            peer,
            pool: Some(Arc::clone(&self.pool)),
        };
        Ok(PeerLink::spawn(control, &self.settings))
    }
}

impl Drop for LinkEndpoint {
    fn drop(&mut self) {
        self.shutdown();
    }
}

/// Logs when the certificate expires, as a warning if that is soon.
fn log_expiry(identity: &FleetIdentity) {
    let (name, expires) = (identity.vm_name(), identity.expires());
    let level = match expires - OffsetDateTime::now_utc() < EXPIRY_WARNING {
        true => log::Level::Warn,
        false => log::Level::Info,
    };
    log::log!(level, "certificate of {name} is valid until {expires}");
}

async fn accept_links(
    endpoint: Endpoint,
    greeting: LinkGreeting,
    settings: LinkSettings,
    accepted: mpsc::Sender<PeerLink>,
) {
    let handshakes = Arc::new(Semaphore::new(settings.handshake_limit));
    while let Some(incoming) = endpoint.accept().await {
        let Ok(permit) = Arc::clone(&handshakes).try_acquire_owned() else {
            log::warn!(
                "link from {} is refused: too many handshakes in progress",
                incoming.remote_address()
            );
            incoming.refuse();
            continue;
        };
        tokio::spawn(accept_link(incoming, greeting, settings, accepted.clone(), permit));
    }
}

async fn accept_link(
    incoming: Incoming,
    greeting: LinkGreeting,
    settings: LinkSettings,
    accepted: mpsc::Sender<PeerLink>,
    permit: OwnedSemaphorePermit,
) {
    let address = incoming.remote_address();
    let link = timeout(settings.handshake_timeout, finish_handshake(incoming, greeting, &settings))
        .await
        .change_context(ErrorKind::LinkFailed)
        .flatten();
    drop(permit);
    match link {
        // The queue is closed if the endpoint has been dropped; the link is then closed as well.
        Ok(link) => drop(accepted.send(link).await),
        Err(report) => log::warn!("link from {address} is refused: {}", describe_report(&report)),
    }
}

async fn finish_handshake(
    incoming: Incoming,
    own: LinkGreeting,
    settings: &LinkSettings,
) -> Result<PeerLink, Report<ErrorKind>> {
    let connection = incoming.await.change_context(ErrorKind::LinkFailed)?;
    let subject = peer_subject(&connection)?;
    let (mut sender, receiver) =
        connection.accept_bi().await.change_context(ErrorKind::LinkFailed)?;
    let mut frames = frame_reader(receiver, settings.frame_limit_bytes);
    let checked = match read_greeting(&mut frames).await {
        Ok(peer) => check_greeting(&peer, &subject).map(|()| peer),
        Err(report) => Err(report),
    };
    let peer = checked
        .inspect_err(|_| connection.close(CLOSE_REFUSED, b"greeting does not fit certificate"))?;
    send_greeting(&mut sender, &own, settings).await?;
    Ok(PeerLink::spawn(
        OpenedControl { connection, sender, frames, own, peer, pool: None },
        settings,
    ))
}

fn peer_subject(connection: &Connection) -> Result<CertificateSubject, Report<ErrorKind>> {
    let identity = connection
        .peer_identity()
        .and_then(|identity| identity.downcast::<Vec<CertificateDer<'static>>>().ok());
    let Some(certificate) = identity.as_ref().and_then(|chain| chain.first()) else {
        return Err(Report::new(ErrorKind::LinkFailed).attach("the peer presented no certificate"));
    };
    read_subject(certificate).change_context(ErrorKind::LinkFailed)
}

fn check_greeting(
    greeting: &LinkGreeting,
    subject: &CertificateSubject,
) -> Result<(), Report<ErrorKind>> {
    if greeting.vm == VmId::from_name(&subject.vm_name) && greeting.role == subject.role {
        return Ok(());
    }
    Err(Report::new(ErrorKind::LinkFailed).attach(format!(
        "the greeting states role {:?} on VM {}, but the certificate {:?} on VM {:?}",
        greeting.role, greeting.vm, subject.role, subject.vm_name
    )))
}

async fn send_greeting(
    sender: &mut SendStream,
    greeting: &LinkGreeting,
    settings: &LinkSettings,
) -> Result<(), Report<ErrorKind>> {
    let frame = encode_frame(greeting, settings.frame_limit_bytes)?;
    sender.write_chunk(frame).await.change_context(ErrorKind::LinkFailed)
}

/// Reads a greeting and ignores fields that a newer build has appended to it.
async fn read_greeting(frames: &mut FrameReader) -> Result<LinkGreeting, Report<ErrorKind>> {
    let Some(frame) = frames.next().await else {
        return Err(Report::new(ErrorKind::LinkFailed)
            .attach("the control stream ended before the greeting"));
    };
    let frame = frame.change_context(ErrorKind::LinkFailed)?;
    let (greeting, _) = decode_prefix(&frame)?;
    Ok(greeting)
}
