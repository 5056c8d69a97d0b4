//! Seeded random runs: a router's state never regresses, regardless of the order of updates.

use jackdaw_base::MonotonicTime;
use jackdaw_policy::direct::{
    DirectRouter, Placement, RunId, RunOutcome, StoreRevision, TargetChange, TargetEntry,
    TargetState,
};
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::common::{SERVICE, at, config, entry, prompt, random_contact, request, router};

const STEPS: usize = 4000;
const NAMES: [&str; 5] = ["a", "b", "c", "d", "e"];

/// Changes made in the store, by revision.
#[derive(Default)]
struct StoreHistory {
    revision: u64,
    changes: Vec<TargetChange>,
}

impl StoreHistory {
    fn add_random_change(&mut self, random: &mut ChaCha8Rng) -> TargetChange {
        self.revision += 1;
        let name = NAMES.choose(random).expect("a name");
        let change = match random.random_range(0..4) {
            0 => TargetChange::Removed { name: (*name).to_owned(), revision: self.revision.into() },
            1 => {
                let mut entry = entry(name, self.revision);
                entry.state = TargetState::Draining;
                TargetChange::Present(entry)
            }
            _ => TargetChange::Present(entry(name, self.revision)),
        };
        self.changes.push(change.clone());
        change
    }
}

fn revision_of(router: &DirectRouter, name: &str) -> Option<StoreRevision> {
    router.targets.entries().find(|entry| entry.name == name).map(|entry| entry.revision)
}

/// Applies one random update or request.
fn step(
    router: &mut DirectRouter,
    random: &mut ChaCha8Rng,
    now: MonotonicTime,
    store: &mut StoreHistory,
    runs: &mut Vec<RunId>,
) {
    match random.random_range(0..10) {
        0 => {
            let version = random.random_range(1..40);
            let before = router.config_version();
            router.install_config(config(version));
            assert_eq!(router.config_version(), before.max(version));
        }
        1 => {
            let change = store.add_random_change(random);
            router.targets.apply(now, change);
        }
        2 => {
            // An old change is delivered again.
            if let Some(change) = store.changes.choose(random).cloned() {
                let name = match &change {
                    TargetChange::Present(entry) => entry.name.clone(),
                    TargetChange::Removed { name, .. } => name.clone(),
                };
                let before = revision_of(router, &name);
                router.targets.apply(now, change);
                let after = revision_of(router, &name);
                assert!(
                    after.is_none() || before <= after,
                    "{name} went back to an older revision"
                );
            }
        }
        3 => {
            let contact = random_contact(random, 0.5);
            router.targets.record_contact(now, contact);
        }
        4 => {
            router.expire(now);
        }
        5 if !runs.is_empty() => {
            let run = runs.swap_remove(random.random_range(0..runs.len()));
            let outcomes = [
                RunOutcome::Whole,
                RunOutcome::Broken,
                RunOutcome::Unreachable,
                RunOutcome::Abandoned,
            ];
            router.end_run(now, run, *outcomes.choose(random).expect("an outcome"));
        }
        6 if !runs.is_empty() => {
            router.record_response(now, *runs.choose(random).expect("a run"));
        }
        _ => {
            let prompt = prompt(random.random_range(0..20), 3000, 500);
            let request = request(Some(&prompt), random.random());
            router.record_arrival(now, &request);
            if let Placement::Send { target, prefill_tokens, .. } = router.place(now, &request, &[])
            {
                let known = router.targets.find(target).map(TargetEntry::id);
                assert_eq!(known, Some(target), "sent to a target that is not registered");
                let is_ready =
                    router.targets.ready_targets(SERVICE).any(|entry| entry.id() == target);
                assert!(is_ready, "sent to a draining target");
                runs.push(router.start_run(now, &request, target, prefill_tokens));
            }
        }
    }
}

#[test]
fn state_never_regresses() {
    for seed in 1..=40 {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let mut router = router(1, 0);
        let mut store = StoreHistory::default();
        let mut runs = Vec::new();
        let mut millis = 0;
        for _ in 0..STEPS {
            millis += random.random_range(0..30);
            step(&mut router, &mut random, at(millis), &mut store, &mut runs);
            assert_eq!(router.run_count(), runs.len(), "seed {seed}");
        }
        for run in runs.drain(..) {
            router.end_run(at(millis), run, RunOutcome::Abandoned);
        }
        assert!(router.report(at(millis)).targets.is_empty(), "seed {seed}: load is left over");
    }
}
