//! The socket on which a process takes links; those it opens come from a pool of their own.

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

use crate::dial_pool::DialPool;
use crate::frame::{FrameReader, decode_prefix, encode_frame, frame_reader};
use crate::identity::{CertificateSubject, FleetIdentity, read_subject};
use crate::keys::server_name;
use crate::peer::{ORDINARY, OpenedControl, REFUSED};
use crate::{LinkGreeting, LinkSettings, PeerLink};

/// The links that may wait for [`LinkEndpoint::accept`].
const ACCEPT_QUEUE: usize = 64;
/// The rest of a certificate's validity below which its end is a warning.
const EXPIRY_NOTICE: time::Duration = time::Duration::days(7);

/// A bound endpoint.
pub struct LinkEndpoint {
    endpoint: Endpoint,
    address: SocketAddr,
    pool: Arc<DialPool>,
    greeting: LinkGreeting,
    settings: LinkSettings,
    accepted: Mutex<mpsc::Receiver<PeerLink>>,
}

impl LinkEndpoint {
    /// Binds the address and starts to take links.
    ///
    /// # Errors
    ///
    /// `SettingsInvalid` where identity and greeting do not fit each other, `LocalResource`
    /// where the address cannot be used.
    pub fn bind(
        address: SocketAddr,
        identity: &FleetIdentity,
        greeting: LinkGreeting,
        settings: LinkSettings,
    ) -> Result<LinkEndpoint, Report<ErrorKind>> {
        if greeting.vm != identity.vm() || greeting.role != identity.role() {
            return Err(Report::new(ErrorKind::SettingsInvalid).attach(format!(
                "the certificate is for {:?} on {:?}, not for the VM and role of the settings",
                identity.role(),
                identity.vm_name()
            )));
        }
        note_expiry(identity);
        let server = identity.server_config(&settings)?;
        let client = identity.client_config(&settings)?;
        let endpoint = Endpoint::server(server, address)
            .change_context(ErrorKind::LocalResource)
            .attach_with(|| format!("link address {address}"))?;
        let address = endpoint.local_addr().change_context(ErrorKind::LocalResource)?;
        let (sender, accepted) = mpsc::channel(ACCEPT_QUEUE);
        tokio::spawn(take_links(endpoint.clone(), greeting, settings, sender));
        Ok(LinkEndpoint {
            endpoint,
            address,
            pool: Arc::new(DialPool::new(address.ip(), client)),
            greeting,
            settings,
            accepted: Mutex::new(accepted),
        })
    }

    /// Returns the address that is bound.
    pub fn local_address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the next link that a peer has opened, or `None` after the endpoint is closed.
    pub async fn accept(&self) -> Option<PeerLink> {
        self.accepted.lock().await.recv().await
    }

    /// Opens a link to the process on a VM.
    ///
    /// # Errors
    ///
    /// `LinkFailed` where nothing answers in time, or the answer comes from another VM or
    /// proves no identity of the fleet.
    pub async fn dial(
        &self,
        address: SocketAddr,
        expected: VmId,
    ) -> Result<PeerLink, Report<ErrorKind>> {
        let opened =
            timeout(self.settings.handshake_timeout, self.open_link(address, expected)).await;
        if opened.is_err() {
            self.pool.renew();
        }
        opened
            .change_context(ErrorKind::LinkFailed)
            .flatten()
            .attach_with(|| format!("link to {address}"))
    }

    /// Ends every link without waiting for the peers to learn of it.
    pub fn shutdown(&self) {
        self.endpoint.close(ORDINARY, b"process ends");
        self.pool.shutdown();
    }

    /// Ends every link at once and frees the address; dropping does the same without waiting.
    ///
    /// [`PeerLink::drained`] tells when the peers have all answers.
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
        check_greeting(&peer, &subject)
            .inspect_err(|_| connection.close(REFUSED, b"greeting does not fit certificate"))?;
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

/// Logs until when peers take the certificate; a warning where that is soon.
fn note_expiry(identity: &FleetIdentity) {
    let (name, expires) = (identity.vm_name(), identity.expires());
    let level = match expires - OffsetDateTime::now_utc() < EXPIRY_NOTICE {
        true => log::Level::Warn,
        false => log::Level::Info,
    };
    log::log!(level, "certificate of {name} is valid until {expires}");
}

async fn take_links(
    endpoint: Endpoint,
    greeting: LinkGreeting,
    settings: LinkSettings,
    accepted: mpsc::Sender<PeerLink>,
) {
    let handshakes = Arc::new(Semaphore::new(settings.handshake_limit));
    while let Some(incoming) = endpoint.accept().await {
        let Ok(permit) = Arc::clone(&handshakes).try_acquire_owned() else {
            log::warn!("link from {} is refused: too many handshakes", incoming.remote_address());
            incoming.refuse();
            continue;
        };
        tokio::spawn(take_link(incoming, greeting, settings, accepted.clone(), permit));
    }
}

async fn take_link(
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
        // A closed queue means that the endpoint is gone, and the link with it.
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
    let peer =
        checked.inspect_err(|_| connection.close(REFUSED, b"greeting does not fit certificate"))?;
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
        return Err(Report::new(ErrorKind::LinkFailed).attach("the peer has no certificate"));
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
        "the greeting says {:?} on VM {}, the certificate {:?} on {:?}",
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

/// Reads a greeting; fields that a newer process adds at its end are passed over.
async fn read_greeting(frames: &mut FrameReader) -> Result<LinkGreeting, Report<ErrorKind>> {
    let Some(frame) = frames.next().await else {
        return Err(Report::new(ErrorKind::LinkFailed).attach("the stream ended before a greeting"));
    };
    let frame = frame.change_context(ErrorKind::LinkFailed)?;
    let (greeting, _) = decode_prefix(&frame)?;
    Ok(greeting)
}
