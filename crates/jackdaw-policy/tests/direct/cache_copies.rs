//! Copies of cached prompt parts between targets, where a service offers them.

use std::time::Duration;

use jackdaw_base::ProcessIncarnation;
use jackdaw_policy::direct::{
    CacheTransfer, DirectRouter, Placement, PromptShape, TargetChange, TargetEntry, TargetId,
};

use crate::common::{at, config, direct_policy, entry, prompt, request};

/// A token's cache of 18,432 bytes over a link of 370 Gbit/s, as a known deployment states it.
const TRANSFER: CacheTransfer = CacheTransfer { token_bytes: 18_432, bytes_per_ms: 46_250_000 };

fn router(transfer: Option<CacheTransfer>, targets: usize) -> DirectRouter {
    let mut router = DirectRouter::new(direct_policy(), ProcessIncarnation(1));
    let mut config = config(1);
    config.services[0].cache_transfer = transfer;
    router.install_config(config);
    for index in 0..targets {
        let entry = entry(&format!("target-{index}"), 1 + index as u64);
        router.targets.apply(at(0), TargetChange::Present(entry));
    }
    router
}

/// Places a request without sending it; returns its target, the tokens to prefill and the source.
fn place(router: &mut DirectRouter, prompt: &PromptShape) -> (TargetId, u64, Option<TargetId>) {
    match router.place(at(0), &request(Some(prompt), 1), &[]) {
        Placement::Send { target, prefill_tokens, cache_source, .. } => {
            (target, prefill_tokens, cache_source)
        }
        Placement::Refuse { reason, .. } => panic!("refused: {reason:?}"),
    }
}

/// Sends requests with the same long shared part at the same moment; returns the tokens to prefill and
/// the number of requests at each target.
fn send_crowd(router: &mut DirectRouter, count: u64) -> (u64, Vec<(TargetId, usize)>) {
    let (mut tokens, mut counts) = (0, Vec::<(TargetId, usize)>::new());
    let prompt = prompt(5, 5000, 300);
    for number in 0..count {
        let request = request(Some(&prompt), number);
        let Placement::Send { target, prefill_tokens, .. } = router.place(at(0), &request, &[])
        else {
            continue;
        };
        router.start_run(at(0), &request, target, prefill_tokens);
        tokens += prefill_tokens;
        match counts.iter_mut().find(|(known, _)| *known == target) {
            Some((_, count)) => *count += 1,
            None => counts.push((target, 1)),
        }
    }
    (tokens, counts)
}

/// The copy of a long part takes a fraction of its prefill.
#[test]
fn copy_takes_the_time_of_the_link() {
    assert_eq!(TRANSFER.time(0), Duration::ZERO);
    assert_eq!(TRANSFER.time(5000), Duration::from_micros(1992));
    let slow = CacheTransfer { token_bytes: u32::MAX, bytes_per_ms: 0 };
    assert!(slow.time(u64::MAX) > Duration::from_secs(1));
}

/// A request names the other candidate as the source, and none where the service copies nothing.
#[test]
fn other_candidate_is_the_source() {
    let prompt = prompt(5, 5000, 300);
    let (target, _, source) = place(&mut router(Some(TRANSFER), 8), &prompt);
    let source = source.expect("a source");
    assert_ne!(source, target);
    let (_, _, without) = place(&mut router(None, 8), &prompt);
    assert_eq!(without, None);
    let (_, _, alone) = place(&mut router(Some(TRANSFER), 1), &prompt);
    assert_eq!(alone, None);
    // Once the home is away, the second candidate takes over.
    let mut router = router(Some(TRANSFER), 8);
    router.record_leaving(at(0), target);
    let (next, _, next_source) = place(&mut router, &prompt);
    assert_eq!(next, source);
    assert!(next_source.is_some_and(|source| source != target));
}

/// A prompt without shared parts has nothing to copy.
#[test]
fn prompts_without_shared_parts_name_no_source() {
    let mut lone = prompt(5, 0, 300);
    lone.parts.remove(0);
    assert_eq!(place(&mut router(Some(TRANSFER), 8), &lone).2, None);
}

/// A crowd with the same session: with copies it spreads over both candidates and prefills the
/// shared part nowhere again.
#[test]
fn crowds_with_one_part_spread_without_prefilling_it_again() {
    let (tokens, counts) = send_crowd(&mut router(Some(TRANSFER), 8), 12);
    assert!(counts.len() >= 2, "{counts:?}");
    let sent: usize = counts.iter().map(|(_, count)| count).sum();
    assert_eq!(tokens, 300 * sent as u64);
    let (_, without) = send_crowd(&mut router(None, 8), 12);
    assert!(without.len() <= counts.len(), "{without:?}");
}

/// During a release, targets copy from those of their own software version only.
#[test]
fn other_versions_are_no_source() {
    let mut router = router(Some(TRANSFER), 1);
    let newer = TargetEntry { version: Some("v2".to_owned()), ..entry("target-1", 2) };
    router.targets.apply(at(0), TargetChange::Present(newer));
    for part in 0..20 {
        assert_eq!(place(&mut router, &prompt(part, 5000, 300)).2, None);
    }
}
