//! A request answered with `not-run` has not run and never will.

use std::time::Duration;

use jackdaw_base::ServiceKind;
use jackdaw_proofs::caller::CallerAnswer;
use jackdaw_proofs::fleet::{ENGINE_SERVICE, customer_key, wait_agents, wait_until};
use jackdaw_proofs::load::count_runs;
use jackdaw_proofs::{CallerClient, FleetProcess, ProcessFleet, ProcessSignal};
use jackdaw_standin::{EngineSettings, EngineStandin, expected_answer};

const CUSTOMER: &str = "delegados";

/// Deadline of a request to start, in milliseconds.
const DEADLINE_MILLIS: &str = "400";

/// Maximum number of tokens of an answer.
const TOKENS: u32 = 20;

/// Sends prompts with a short deadline concurrently and returns each prompt with its answer.
async fn send_all(
    router: &FleetProcess,
    label: &str,
    count: u32,
) -> Vec<(String, Option<CallerAnswer>)> {
    let mut callers = Vec::new();
    for number in 0..count {
        let prompt = format!("{label} {number}");
        let caller = CallerClient::open(router.address("callers"), CUSTOMER);
        let body = serde_json::json!({
            "model": ENGINE_SERVICE,
            "prompt": prompt,
            "max_tokens": TOKENS,
            // The head of an unstreamed answer is sent only when the answer is complete.
            "stream": number % 2 == 0,
            "user": customer_key(CUSTOMER),
        });
        let headers =
            [("content-type", "application/json"), ("x-request-deadline-ms", DEADLINE_MILLIS)];
        let call = async move {
            caller.call(hyper::Method::POST, "/v1/completions", &headers, body.to_string()).await
        };
        callers.push((prompt, actix_rt::spawn(call)));
    }
    let mut results = Vec::new();
    for (prompt, caller) in callers {
        results.push((prompt, caller.await.expect("caller does not panic")));
    }
    results
}

/// Waits until a request sent now has run, after which no older request is in transit.
async fn wait_barrier(router: &FleetProcess, label: &str) {
    let caller = CallerClient::open(router.address("callers"), CUSTOMER);
    wait_until("a later request runs", || async {
        let answer = caller.complete(label, TOKENS).await;
        answer.is_some_and(|answer| answer.tokens() == Some(expected_answer(label, TOKENS)))
    })
    .await;
}

/// The agent is frozen before the offer and resumed while the router still has the link open.
#[actix_rt::test]
async fn agent_frozen() {
    let mut fleet = ProcessFleet::spawn(&[(CUSTOMER, 1)]).await;
    let engine = EngineStandin::bind(EngineSettings::default()).unwrap();
    let router = fleet.spawn_router("router-1");
    let agent = fleet.spawn_agent("a-1", ENGINE_SERVICE, ServiceKind::Engine, engine.address());
    wait_agents(&router, 1).await;
    wait_barrier(&router, "before").await;
    agent.signal(ProcessSignal::Stop);
    let results = send_all(&router, "frozen", 12).await;
    agent.signal(ProcessSignal::Continue);
    wait_barrier(&router, "after").await;
    let tally = engine.tally();
    for (prompt, answer) in results {
        let answer = answer.expect("caller gets an answer");
        assert_eq!(answer.outcome().as_deref(), Some("not-run"), "{answer:?}");
        assert!(answer.retry_after.is_some(), "{answer:?}");
        assert_eq!(count_runs(&tally, &prompt), 0, "{prompt:?} was run: {answer:?}");
    }
}

/// The agent is frozen repeatedly at random times, which may fall between offer, grant and run.
#[actix_rt::test]
async fn frozen_at_random_times() {
    let seed = jackdaw_proofs::seed("JACKDAW_SEED");
    let mut pauses = jackdaw_proofs::SeededPauses::new(seed);
    let mut fleet = ProcessFleet::spawn(&[(CUSTOMER, 1)]).await;
    let settings = EngineSettings { step_base: Duration::from_millis(2), ..Default::default() };
    let engine = EngineStandin::bind(settings).unwrap();
    let router = fleet.spawn_router("router-1");
    let agent = fleet.spawn_agent("a-1", ENGINE_SERVICE, ServiceKind::Engine, engine.address());
    wait_agents(&router, 1).await;
    wait_barrier(&router, "before").await;
    let mut results = Vec::new();
    for round in 0..6 {
        let label = format!("round {round}");
        let sent = send_all(&router, &label, 16);
        let faults = async {
            pauses.sleep(0..30).await;
            agent.signal(ProcessSignal::Stop);
            pauses.sleep(300..600).await;
            agent.signal(ProcessSignal::Continue);
        };
        let (mut sent, ()) = futures_util::future::join(sent, faults).await;
        results.append(&mut sent);
    }
    wait_barrier(&router, "after").await;
    let tally = engine.tally();
    let mut not_run = 0;
    for (prompt, answer) in results {
        let answer = answer.expect("caller gets an answer");
        if answer.status == 200 {
            assert_answer(&prompt, &answer);
            continue;
        }
        let outcome = answer.outcome().expect("problem document states the outcome");
        if outcome == "not-run" {
            not_run += 1;
            assert_eq!(count_runs(&tally, &prompt), 0, "{prompt:?} was run: {answer:?}");
        }
    }
    assert!(not_run > 0, "no request was answered with not-run");
    println!("seed {seed}: {not_run} of 96 requests were answered with not-run");
}

/// Asserts that an answer is complete and correct, or visibly truncated if it is streamed.
fn assert_answer(prompt: &str, answer: &CallerAnswer) {
    let expected = expected_answer(prompt, TOKENS);
    match answer.content_type.starts_with("text/event-stream") {
        true if !answer.is_complete => {}
        true => assert_eq!(answer.tokens(), Some(expected), "{prompt:?}"),
        false => {
            assert!(answer.is_complete && answer.body.contains(&expected.concat()), "{answer:?}");
        }
    }
}
