//! An outage of the platform must lower the rate of calls, not raise it.

use std::time::Duration;

use jackdaw_base::MonotonicTime;
use jackdaw_objects::{
    CallGovernor, CallPermission, GovernorSettings, ObjectStore, PlatformClient, PlatformSettings,
};
use jackdaw_standin::{AnswerFault, PlatformFaults, PlatformStandin, StandinSettings};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Calls per second that the tasks of the process attempt.
const ATTEMPTED_PER_SECOND: u64 = 200;
/// Length in seconds of the phases before, during and after the outage.
const PHASE_SECONDS: [u64; 3] = [20, 60, 20];
/// Virtual time in microseconds between two attempted calls.
const STEP_MICROS: u64 = 1_000_000 / ATTEMPTED_PER_SECOND;

fn seed() -> u64 {
    let seed = std::env::var("JACKDAW_SEED").map_or(1, |seed| seed.parse().unwrap());
    println!("seed {seed}");
    seed
}

/// Runs the governor in virtual time and returns the calls made in each second.
fn calls_per_second(settings: &GovernorSettings, seed: u64) -> Vec<u64> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut governor = CallGovernor::new(settings, MonotonicTime(0));
    let total: u64 = PHASE_SECONDS.iter().sum();
    let mut calls = vec![0; total as usize];
    let mut failures: Vec<MonotonicTime> = Vec::new();
    for step in 0..total * ATTEMPTED_PER_SECOND {
        let now = MonotonicTime(step * STEP_MICROS);
        let ended = failures.iter().filter(|end| **end <= now).count();
        failures.retain(|end| *end > now);
        for _ in 0..ended {
            governor.record_failure(now, &mut rng);
        }
        if governor.request(now) != CallPermission::Granted {
            continue;
        }
        let second = now.0 / 1_000_000;
        calls[second as usize] += 1;
        let down = second >= PHASE_SECONDS[0] && second < PHASE_SECONDS[0] + PHASE_SECONDS[1];
        if down {
            let elapsed = Duration::from_millis(rng.random_range(1..=1000));
            failures.push(now.after(elapsed));
        } else {
            governor.record_success();
        }
    }
    calls
}

#[test]
fn virtual_outage() {
    let seed = seed();
    let settings = GovernorSettings::default();
    let rate = u64::from(settings.calls_per_second);
    let calls = calls_per_second(&settings, seed);
    let (start, end) = (PHASE_SECONDS[0] as usize, (PHASE_SECONDS[0] + PHASE_SECONDS[1]) as usize);
    let during: u64 = calls[start + 2..end].iter().sum();
    println!(
        "before {:?}\nduring {:?}\nafter {:?}",
        &calls[..start],
        &calls[start..end],
        &calls[end..]
    );
    assert!(during <= PHASE_SECONDS[1], "{during} calls in the outage");
    for (second, count) in calls.iter().enumerate() {
        let limit =
            if second == 0 || second >= end { rate + u64::from(settings.burst) } else { rate };
        assert!(*count <= limit + 1, "second {second}: {count} calls");
    }
    let recovered = calls[end..].iter().position(|count| *count >= rate).unwrap();
    assert!(recovered <= 3, "{recovered} s until calls are back");
}

#[actix_rt::test]
async fn counted_attempts() {
    let standin = PlatformStandin::bind(StandinSettings::default()).unwrap();
    let mut settings = PlatformSettings::new(standin.address());
    settings.governor.burst = 100_000;
    settings.governor.initial_open_time = Duration::from_secs(60);
    settings.governor.max_open_time = Duration::from_secs(60);
    let client = PlatformClient::open(settings);
    client.read("a").await.unwrap();
    let down = Some(AnswerFault::Gateway);
    standin.set_faults(PlatformFaults { down, ..PlatformFaults::default() });
    let before = standin.counts().calls();
    let callers = (0..50).map(|_| async {
        for _ in 0..20 {
            assert!(client.read("a").await.is_err());
        }
    });
    futures_util::future::join_all(callers).await;
    let attempts = standin.counts().calls() - before;
    println!("{attempts} attempts for 1000 calls");
    assert!(attempts <= 50 + 5, "{attempts} attempts for 1000 calls by 50 callers");
    standin.close().await;
}
