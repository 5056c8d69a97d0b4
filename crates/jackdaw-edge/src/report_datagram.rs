//! Datagrams that routers send each other, and their encoding.
//!
//! A datagram is followed by extensions. Each build reads those that it knows and ignores the rest, so
//! that builds can be mixed in a fleet.

use std::net::Ipv4Addr;

use jackdaw_base::{ProcessIncarnation, plain_data};
use jackdaw_policy::direct::{
    CrashFinding, EvacuationState, LimitUsage, PeerReport, PrefillUsage, StreamBinding,
    StreamFinding, StreamKey, TargetId,
};
use serde::Serialize;
use serde::de::DeserializeOwned;

/// Maximum size of a datagram, in bytes.
pub(crate) const MAX_DATAGRAM_BYTES: usize = 60 * 1024;

plain_data! {
    /// A report and the address of the router that it describes.
    pub(crate) struct RouterReport {
        /// Address of the router that made the report.
        pub(crate) address: Ipv4Addr,
        /// The reported state.
        pub(crate) report: PeerReport,
    }
}

plain_data! {
    /// Recent prefills of the router with an incarnation, which follow its report in a datagram.
    pub(crate) struct RouterPrefills {
        /// Incarnation of the router.
        pub(crate) incarnation: ProcessIncarnation,
        /// Tokens by target.
        pub(crate) usages: Vec<PrefillUsage>,
    }
}

plain_data! {
    /// Use of limited targets by the router with an incarnation, which follows its report in a
    /// datagram.
    pub(crate) struct RouterLimits {
        /// Incarnation of the router.
        pub(crate) incarnation: ProcessIncarnation,
        /// Usage by target.
        pub(crate) usages: Vec<LimitUsage>,
    }
}

/// What follows a router's report in a datagram.
#[derive(Debug, Clone, Default)]
pub(crate) struct ReportDetails {
    /// The router's recent prefills.
    pub(crate) prefills: Vec<PrefillUsage>,
    /// The router's use of limited targets.
    pub(crate) limits: Vec<LimitUsage>,
}

plain_data! {
    /// A datagram sent between routers, encoded with postcard.
    #[derive(Default)]
    pub(crate) struct ReportDatagram {
        /// The report of the sender, or reports of several routers in its failure domain.
        pub(crate) reports: Vec<RouterReport>,
        /// Routers that the sender has received reports from; empty in most periods.
        pub(crate) known: Vec<Ipv4Addr>,
        /// Whether the receiver forwards the reports within its own failure domain.
        pub(crate) is_bundle: bool,
    }
}

plain_data! {
    /// Data that follows a datagram. Builds that do not know it ignore the bytes after the datagram,
    /// and send none.
    #[derive(Default)]
    pub(crate) struct DatagramExtension {
        /// Targets whose announced leaving the sender learned of recently, from whatever source.
        pub(crate) leaving: Vec<TargetId>,
        /// Recent prefills of the routers whose reports the datagram contains.
        pub(crate) prefills: Vec<RouterPrefills>,
    }
}

plain_data! {
    /// Data that follows a [`DatagramExtension`], as known to builds that track crashes.
    #[derive(Default)]
    pub(crate) struct CrashExtension {
        /// Findings that the sender knows, from whatever source.
        pub(crate) findings: Vec<CrashFinding>,
    }
}

plain_data! {
    /// Data that follows a [`CrashExtension`], as known to builds that heed limits of targets.
    #[derive(Default)]
    pub(crate) struct LimitExtension {
        /// Use of limited targets by the routers whose reports the datagram contains.
        pub(crate) limits: Vec<RouterLimits>,
    }
}

plain_data! {
    /// Data that follows a [`LimitExtension`], as known to builds that track versions of streams.
    #[derive(Default)]
    pub(crate) struct StreamExtension {
        /// Streams that the receiver is to keep.
        pub(crate) bindings: Vec<StreamBinding>,
        /// Streams that the sender looks up.
        pub(crate) questions: Vec<StreamQuestion>,
        /// Answers to questions of the receiver.
        pub(crate) answers: Vec<StreamAnswer>,
    }
}

plain_data! {
    /// Question which software version began a stream.
    pub(crate) struct StreamQuestion {
        /// Random number that the answer repeats.
        pub(crate) number: u64,
        /// The stream; `None` if the caller does not name it.
        pub(crate) key: Option<StreamKey>,
        /// Name of the service that the stream belongs to.
        pub(crate) service: String,
    }
}

plain_data! {
    /// Answer to a [`StreamQuestion`].
    pub(crate) struct StreamAnswer {
        /// Number of the question.
        pub(crate) number: u64,
        /// What the sender knows.
        pub(crate) finding: StreamFinding,
    }
}

plain_data! {
    /// Data that follows a [`StreamExtension`], as known to builds that heed evacuations.
    #[derive(Default)]
    pub(crate) struct EvacuationExtension {
        /// Evacuated domains as the sender knows them; `None` while it does not.
        pub(crate) evacuations: Option<EvacuationState>,
    }
}

/// A datagram with all that follows it.
pub(crate) struct ReceivedDatagram {
    pub(crate) datagram: ReportDatagram,
    pub(crate) extension: DatagramExtension,
    pub(crate) crashes: CrashExtension,
    pub(crate) limits: LimitExtension,
    pub(crate) streams: StreamExtension,
    pub(crate) evacuations: EvacuationExtension,
}

impl ReceivedDatagram {
    /// Returns what follows the report of the router with this incarnation.
    pub(crate) fn details(&self, incarnation: ProcessIncarnation) -> ReportDetails {
        let prefills = self.extension.prefills.iter();
        let prefills = prefills.filter(|prefills| prefills.incarnation == incarnation);
        let limits = self.limits.limits.iter();
        let limits = limits.filter(|limits| limits.incarnation == incarnation);
        ReportDetails {
            prefills: prefills.flat_map(|prefills| prefills.usages.iter().copied()).collect(),
            limits: limits.flat_map(|limits| limits.usages.iter().copied()).collect(),
        }
    }
}

/// Encodes a datagram with its extensions; logs why if that is not possible.
pub(crate) fn encode_datagram(datagram: &impl Serialize) -> Option<Vec<u8>> {
    match postcard::to_stdvec(datagram) {
        Ok(bytes) if bytes.len() <= MAX_DATAGRAM_BYTES => Some(bytes),
        Ok(bytes) => {
            log::error!(bytes = bytes.len(); "report exceeds the datagram size limit");
            None
        }
        Err(error) => {
            log::error!(error:% = error; "failed to encode a report");
            None
        }
    }
}

/// Decodes a datagram and what follows it; older builds send only the first extensions, or none.
pub(crate) fn decode_datagram(bytes: &[u8]) -> postcard::Result<ReceivedDatagram> {
    let (datagram, rest) = postcard::take_from_bytes(bytes)?;
    let (extension, rest) = take_extension(rest)?;
    let (crashes, rest) = take_extension(rest)?;
    let (limits, rest) = take_extension(rest)?;
    let (streams, rest) = take_extension(rest)?;
    let (evacuations, _) = take_extension(rest)?;
    Ok(ReceivedDatagram { datagram, extension, crashes, limits, streams, evacuations })
}

/// Decodes an extension, which is empty if the bytes end before it, and returns the bytes after it.
pub(crate) fn take_extension<T: DeserializeOwned + Default>(
    bytes: &[u8],
) -> postcard::Result<(T, &[u8])> {
    match bytes {
        [] => Ok((T::default(), bytes)),
        bytes => postcard::take_from_bytes(bytes),
    }
}
