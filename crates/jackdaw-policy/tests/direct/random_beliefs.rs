//! Seeded random runs: what a router believes never goes back, whatever order news comes in.

use jackdaw_base::MonotonicTime;
use jackdaw_policy::direct::{
    DirectRouter, Placement, RunId, RunOutcome, TargetChange, TargetEntry, TargetState,
};
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::common::{SERVICE, at, call, config, entry, prompt, router};

const STEPS: usize = 4000;
const NAMES: [&str; 5] = ["a", "b", "c", "d", "e"];

/// What the store has said of one target, by revision.
#[derive(Default)]
struct StoreHistory {
    revision: u64,
    changes: Vec<TargetChange>,
}

impl StoreHistory {
    fn draw(&mut self, random: &mut ChaCha8Rng) -> TargetChange {
        self.revision += 1;
        let name = NAMES.choose(random).expect("a name");
        let change = match random.random_range(0..4) {
            0 => TargetChange::Removed { name: (*name).to_owned(), revision: self.revision },
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

fn revision_of(router: &DirectRouter, name: &str) -> Option<u64> {
    router.targets.entries().find(|entry| entry.name == name).map(|entry| entry.revision)
}

/// Applies one random piece of news or work.
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
            let change = store.draw(random);
            router.targets.apply(now, change);
        }
        2 => {
            // An old statement comes once more.
            if let Some(change) = store.changes.choose(random).cloned() {
                let name = match &change {
                    TargetChange::Present(entry) => entry.name.clone(),
                    TargetChange::Removed { name, .. } => name.clone(),
                };
                let before = revision_of(router, &name);
                router.targets.apply(now, change);
                let after = revision_of(router, &name);
                assert!(after.is_none() || before <= after, "{name} went back");
            }
        }
        3 => {
            router.targets.record_contact(now, random.random_bool(0.5));
        }
        4 => {
            router.expire(now);
        }
        5 if !runs.is_empty() => {
            let run = runs.swap_remove(random.random_range(0..runs.len()));
            let ends = [
                RunOutcome::Whole,
                RunOutcome::Broken,
                RunOutcome::Unreachable,
                RunOutcome::Abandoned,
            ];
            router.end_run(now, run, *ends.choose(random).expect("an end"));
        }
        6 if !runs.is_empty() => {
            router.record_response(now, *runs.choose(random).expect("a run"));
        }
        _ => {
            let prompt = prompt(random.random_range(0..20), 3000, 500);
            let call = call(Some(&prompt), random.random());
            router.record_arrival(now, &call);
            if let Placement::Send { target, prefill_tokens, .. } = router.place(now, &call, &[]) {
                let known = router.targets.find(target).map(TargetEntry::id);
                assert_eq!(known, Some(target), "sent to a target that is not registered");
                let is_ready =
                    router.targets.ready_targets(SERVICE).any(|entry| entry.id() == target);
                assert!(is_ready, "sent to a target that drains");
                runs.push(router.start_run(now, &call, target, prefill_tokens));
            }
        }
    }
}

#[test]
fn beliefs_never_go_back() {
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
