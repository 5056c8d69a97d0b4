//! Peer with valid credentials that can send arbitrary bytes.

use std::net::SocketAddr;
use std::sync::Arc;

use jackdaw_base::VmId;
use jackdaw_link::{FleetAuthority, LinkGreeting};
use quinn::crypto::rustls::QuicClientConfig;
use quinn::{Connection, Endpoint, RecvStream, SendStream};
use rustls::crypto::ring;
use rustls_pki_types::pem::PemObject;
use rustls_pki_types::{CertificateDer, PrivateKeyDer};

use crate::common;

/// QUIC connection with its control stream, without the framing and checks of a link.
pub(crate) struct RawPeer {
    pub(crate) connection: Connection,
    pub(crate) sender: SendStream,
    pub(crate) receiver: RecvStream,
}

impl RawPeer {
    /// Connects with a certificate for the VM name to the expected VM and opens the control stream.
    pub(crate) async fn connect(
        authority: &FleetAuthority,
        greeting: &LinkGreeting,
        vm_name: &str,
        address: SocketAddr,
        expected: &str,
    ) -> RawPeer {
        let keys = authority.issue(vm_name, greeting.role, 1).expect("issued");
        let mut roots = rustls::RootCertStore::empty();
        let pem = authority.certificate_pem().as_bytes();
        roots.add(CertificateDer::from_pem_slice(pem).expect("PEM")).expect("root");
        let chain = CertificateDer::from_pem_slice(keys.certificate_pem.as_bytes()).expect("PEM");
        let key = PrivateKeyDer::from_pem_slice(keys.key_pem.as_bytes()).expect("PEM");
        let provider = Arc::new(ring::default_provider());
        let mut config = rustls::ClientConfig::builder_with_provider(provider)
            .with_protocol_versions(&[&rustls::version::TLS13])
            .expect("version")
            .with_root_certificates(roots)
            .with_client_auth_cert(vec![chain], key)
            .expect("keys");
        config.alpn_protocols = vec![b"jackdaw/1".to_vec()];
        let config = QuicClientConfig::try_from(config).expect("suite");
        let mut endpoint = Endpoint::client(common::loopback()).expect("socket");
        endpoint.set_default_client_config(quinn::ClientConfig::new(Arc::new(config)));
        let name = format!("{}.vm.jackdaw", VmId::from_name(expected));
        let connection =
            endpoint.connect(address, &name).expect("dialled").await.expect("connected");
        let (sender, receiver) = connection.open_bi().await.expect("stream");
        RawPeer { connection, sender, receiver }
    }

    /// Sends the payload as one frame on the control stream.
    pub(crate) async fn send_frame(&mut self, payload: &[u8]) {
        self.sender.write_all(&frame(payload)).await.expect("sent");
    }
}

/// Returns the payload with its length prefix.
pub(crate) fn frame(payload: &[u8]) -> Vec<u8> {
    let mut frame = (payload.len() as u32).to_be_bytes().to_vec();
    frame.extend_from_slice(payload);
    frame
}
