//! Measures platform calls, bytes and latency per recording at several rates, for each strategy of
//! storing claims.
//!
//! `claim_rate [SEED] [SECONDS] [WRITERS]` prints a Markdown table with one line per strategy and
//! rate.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use error_stack::{Report, ResultExt};
use jackdaw_base::{ErrorKind, ProcessIncarnation};
use jackdaw_objects::{
    ClaimLayout, ClaimSettings, ClaimWriter, ObjectStore, PlatformClient, PlatformSettings,
    WriteCondition,
};
use jackdaw_standin::{PlatformStandin, StandinSettings};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use uuid::Uuid;

/// Recordings per second over all writers.
const RATES: [u32; 3] = [50, 200, 800];

/// Strategy of storing claims; printed with its variant and field names.
#[derive(Debug, Clone, Copy)]
enum ClaimStrategy {
    /// One object and one write per recording.
    Single,
    /// Batched writes to shared objects, as [`ClaimWriter`] makes them.
    Grouped { slots: u64, bucket_millis: u64, interval_millis: u64 },
}

/// Strategies to measure.
const STRATEGIES: [ClaimStrategy; 7] = [
    ClaimStrategy::Single,
    ClaimStrategy::Grouped { slots: 1, bucket_millis: 1000, interval_millis: 0 },
    ClaimStrategy::Grouped { slots: 1, bucket_millis: 1000, interval_millis: 20 },
    ClaimStrategy::Grouped { slots: 1, bucket_millis: 1000, interval_millis: 50 },
    ClaimStrategy::Grouped { slots: 1, bucket_millis: 1000, interval_millis: 100 },
    ClaimStrategy::Grouped { slots: 1, bucket_millis: 10_000, interval_millis: 50 },
    ClaimStrategy::Grouped { slots: 4, bucket_millis: 1000, interval_millis: 50 },
];

/// A process that claims keys with one strategy.
#[derive(Clone)]
enum Claimer {
    Single(PlatformClient),
    Grouped(ClaimWriter<PlatformClient>),
}

impl Claimer {
    fn open(standin: &PlatformStandin, strategy: ClaimStrategy) -> Claimer {
        let mut settings = PlatformSettings::new(standin.address());
        settings.governor.calls_per_second = 100_000;
        settings.governor.burst = 100_000;
        let client = PlatformClient::open(settings);
        let ClaimStrategy::Grouped { slots, bucket_millis, interval_millis } = strategy else {
            return Claimer::Single(client);
        };
        let settings = ClaimSettings {
            layout: ClaimLayout { slots, bucket_millis, ring: 1024 },
            write_interval: Duration::from_millis(interval_millis),
            ..ClaimSettings::default()
        };
        Claimer::Grouped(ClaimWriter::spawn(client, ProcessIncarnation::random(), settings))
    }

    async fn claim(&self, key: &str) -> Result<(), Report<ErrorKind>> {
        match self {
            Claimer::Single(client) => {
                let owner = Bytes::copy_from_slice(&rand::random::<[u8; 16]>());
                let object_key = format!("claims/{key}");
                client.write(&object_key, WriteCondition::Absent, owner).await.map(|_| ())
            }
            Claimer::Grouped(writer) => writer.claim(key).await,
        }
    }
}

fn main() -> Result<(), Report<ErrorKind>> {
    let mut arguments = std::env::args().skip(1);
    let seed = read_number(arguments.next(), 1)?;
    let seconds = read_number(arguments.next(), 10)?;
    let writers = read_number(arguments.next(), 3)?.max(1) as usize;
    println!("seed {seed}, {seconds} s per line, {writers} writers\n");
    println!(
        "| strategy | recordings/s | granted | failed | writes per recording | reads per recording \
              | bytes written per recording | p50 ms | p99 ms |"
    );
    println!("|---|---|---|---|---|---|---|---|---|");
    actix_rt::System::new().block_on(async {
        for strategy in STRATEGIES {
            for rate in RATES {
                let load =
                    RecordingLoad { rate, seed, writers, duration: Duration::from_secs(seconds) };
                measure(strategy, load).await?;
            }
        }
        Ok(())
    })
}

fn read_number(argument: Option<String>, default: u64) -> Result<u64, Report<ErrorKind>> {
    match argument {
        Some(text) => text.parse().change_context(ErrorKind::Malformed),
        None => Ok(default),
    }
}

/// Load of recordings to send.
#[derive(Debug, Clone, Copy)]
struct RecordingLoad {
    /// Recordings per second over all writers.
    rate: u32,
    /// Seed for their times and writers.
    seed: u64,
    /// Number of processes that claim.
    writers: usize,
    /// How long recordings are sent.
    duration: Duration,
}

/// Runs one strategy at one rate and prints its line of the table.
async fn measure(strategy: ClaimStrategy, load: RecordingLoad) -> Result<(), Report<ErrorKind>> {
    let RecordingLoad { rate, seed, writers, duration } = load;
    let standin = PlatformStandin::bind(StandinSettings::default())?;
    let claimers: Vec<Claimer> = (0..writers).map(|_| Claimer::open(&standin, strategy)).collect();
    let latencies: Rc<RefCell<Vec<f64>>> = Rc::default();
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let start = Instant::now();
    let mut due = Duration::ZERO;
    let mut tasks = Vec::new();
    while due < duration {
        due += Duration::from_secs_f64(-(1.0 - rng.random::<f64>()).ln() / f64::from(rate));
        actix_rt::time::sleep(due.saturating_sub(start.elapsed())).await;
        let claimer = claimers[rng.random_range(0..writers)].clone();
        let latencies = Rc::clone(&latencies);
        tasks.push(actix_rt::spawn(async move {
            let key = Uuid::now_v7().to_string();
            let sent = Instant::now();
            if claimer.claim(&key).await.is_ok() {
                latencies.borrow_mut().push(sent.elapsed().as_secs_f64() * 1000.0);
            }
        }));
    }
    let sent = tasks.len();
    for task in tasks {
        task.await.change_context(ErrorKind::InvariantViolated)?;
    }
    let counts = standin.counts();
    let mut latencies = latencies.take();
    latencies.sort_by(f64::total_cmp);
    let granted = latencies.len();
    let per_recording = |count: u64| count as f64 / granted.max(1) as f64;
    println!(
        "| {strategy:?} | {rate} | {granted} | {} | {:.3} | {:.3} | {:.0} | {:.1} | {:.1} |",
        sent - granted,
        per_recording(counts.writes),
        per_recording(counts.reads),
        per_recording(counts.written_bytes),
        latencies.get(granted / 2).copied().unwrap_or_default(),
        latencies.get(granted * 99 / 100).copied().unwrap_or_default(),
    );
    standin.close().await;
    Ok(())
}
