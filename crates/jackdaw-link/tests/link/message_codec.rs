//! Property tests of the encoding of messages.

use std::net::{Ipv4Addr, SocketAddr};

use bytes::Bytes;
use jackdaw_base::{
    CrashEvidence, CustomerId, CustomerRecord, CustomerShare, DocumentBody, DocumentKey, DomainId,
    ErrorKind, FleetTotal, KeyDigest, NormalisedService, OfferId, ProcessIncarnation, RequestClass,
    RequestId, ServiceId, ServiceReport, VersionedDocument, VmId, VmRecord, VmState, WorkOffer,
    WorkUnits,
};
use jackdaw_link::{ControlMessage, RunReply};
use quickcheck::{Arbitrary, Gen, QuickCheck, TestResult};

const SEED: u64 = 2026;
const SIZE: usize = 40;
const CASES: u64 = 500;

#[derive(Debug, Clone)]
struct AnyMessage(ControlMessage);

#[derive(Debug, Clone)]
struct AnyReply(RunReply);

fn offer_id(g: &mut Gen) -> OfferId {
    let router = ProcessIncarnation(u64::arbitrary(g));
    let request = RequestId { router, sequence: u64::arbitrary(g) };
    OfferId { request, attempt: u32::arbitrary(g) }
}

fn fleet_total(g: &mut Gen) -> FleetTotal {
    FleetTotal {
        customer: CustomerId(u64::arbitrary(g)),
        total: NormalisedService(u64::arbitrary(g)),
        own: NormalisedService(u64::arbitrary(g)),
    }
}

fn service_report(g: &mut Gen) -> ServiceReport {
    ServiceReport {
        vm: VmId(u64::arbitrary(g)),
        agent: ProcessIncarnation(u64::arbitrary(g)),
        customer: CustomerId(u64::arbitrary(g)),
        given: NormalisedService(u64::arbitrary(g)),
        known_total: NormalisedService(u64::arbitrary(g)),
        virtual_time: NormalisedService(u64::arbitrary(g)),
        waiting: bool::arbitrary(g),
    }
}

fn work_offer(g: &mut Gen) -> WorkOffer {
    let classes =
        [RequestClass::Short, RequestClass::Long, RequestClass::Read, RequestClass::Recording];
    WorkOffer {
        id: offer_id(g),
        customer: CustomerId(u64::arbitrary(g)),
        share: CustomerShare(u32::arbitrary(g)),
        service: ServiceId(u64::arbitrary(g)),
        class: *g.choose(&classes).expect("not empty"),
        estimate: WorkUnits(u64::arbitrary(g)),
        prefix: u64::arbitrary(g),
        patience_micros: u64::arbitrary(g),
    }
}

fn document(g: &mut Gen) -> VersionedDocument {
    let customer = CustomerRecord {
        name: String::arbitrary(g),
        share: CustomerShare(u32::arbitrary(g)),
        keys: vec![KeyDigest([u8::arbitrary(g); 32])],
        queue_limit: u32::arbitrary(g),
    };
    let vm = VmRecord {
        name: String::arbitrary(g),
        domain: DomainId(u64::arbitrary(g)),
        link_address: SocketAddr::from((Ipv4Addr::from(u32::arbitrary(g)), u16::arbitrary(g))),
        service: Option::<u64>::arbitrary(g).map(ServiceId),
        state: VmState::Leaving,
    };
    let bodies = [None, Some(DocumentBody::Customer(customer)), Some(DocumentBody::Vm(vm))];
    let body = g.choose(&bodies).expect("not empty").clone();
    let key = DocumentKey::Vm(VmId(u64::arbitrary(g)));
    VersionedDocument { number: u64::arbitrary(g), key, body }
}

fn vec_of<T>(g: &mut Gen, make: fn(&mut Gen) -> T) -> Vec<T> {
    let length = usize::arbitrary(g) % SIZE;
    (0..length).map(|_| make(g)).collect()
}

impl Arbitrary for AnyMessage {
    fn arbitrary(g: &mut Gen) -> AnyMessage {
        AnyMessage(match u32::arbitrary(g) % 16 {
            0 => ControlMessage::Offer(work_offer(g)),
            1 => ControlMessage::Withdraw(offer_id(g)),
            2 => ControlMessage::Decline(offer_id(g)),
            3 => ControlMessage::Grant(offer_id(g)),
            4 => ControlMessage::Room(u32::arbitrary(g)),
            5 => ControlMessage::Leaving,
            6 => ControlMessage::Reports(vec_of(g, service_report)),
            7 => ControlMessage::Totals(vec_of(g, fleet_total)),
            8 => ControlMessage::RelayedTotals {
                agent: VmId(u64::arbitrary(g)),
                totals: vec_of(g, fleet_total),
            },
            9 => ControlMessage::Documents(vec_of(g, document)),
            10 => ControlMessage::DocumentDigest(u64::arbitrary(g)),
            11 => ControlMessage::BucketDigests(vec_of(g, u64::arbitrary)),
            12 => ControlMessage::Probe(u64::arbitrary(g)),
            13 => ControlMessage::ProbeReply(u64::arbitrary(g)),
            14 => ControlMessage::BucketRequest(vec_of(g, u16::arbitrary)),
            _ => ControlMessage::CrashEvidence(CrashEvidence {
                fingerprint: u64::arbitrary(g),
                target: Option::arbitrary(g).map(VmId),
            }),
        })
    }
}

impl Arbitrary for AnyReply {
    fn arbitrary(g: &mut Gen) -> AnyReply {
        AnyReply(match u32::arbitrary(g) % 5 {
            0 => RunReply::Head {
                status: u16::arbitrary(g),
                headers: vec![(String::arbitrary(g), String::arbitrary(g))],
            },
            1 => RunReply::Chunk {
                events: u64::arbitrary(g),
                bytes: Bytes::from(Vec::<u8>::arbitrary(g)),
            },
            2 => RunReply::End { length: u64::arbitrary(g), units: WorkUnits(u64::arbitrary(g)) },
            3 => RunReply::Refused {
                kind: *g.choose(ErrorKind::ALL).expect("not empty"),
                retry_after_millis: u64::arbitrary(g),
            },
            _ => RunReply::Broken { crashed: bool::arbitrary(g) },
        })
    }
}

fn checker() -> QuickCheck {
    println!("seed {SEED}");
    QuickCheck::new().tests(CASES).rng(Gen::from_size_and_seed(SIZE, SEED))
}

#[test]
fn control_messages_round_trip() {
    fn holds(AnyMessage(message): AnyMessage) -> bool {
        let bytes = postcard::to_stdvec(&message).expect("encoded");
        postcard::from_bytes::<ControlMessage>(&bytes).expect("decoded") == message
    }
    checker().quickcheck(holds as fn(AnyMessage) -> bool);
}

#[test]
fn run_replies_round_trip() {
    fn holds(AnyReply(reply): AnyReply) -> bool {
        let bytes = postcard::to_stdvec(&reply).expect("encoded");
        postcard::from_bytes::<RunReply>(&bytes).expect("decoded") == reply
    }
    checker().quickcheck(holds as fn(AnyReply) -> bool);
}

#[test]
fn truncated_messages_are_rejected() {
    fn holds(AnyMessage(message): AnyMessage, cut: usize) -> TestResult {
        let bytes = postcard::to_stdvec(&message).expect("encoded");
        let length = cut % bytes.len();
        TestResult::from_bool(postcard::from_bytes::<ControlMessage>(&bytes[..length]).is_err())
    }
    checker().quickcheck(holds as fn(AnyMessage, usize) -> TestResult);
}
