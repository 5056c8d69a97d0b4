//! Checks that the commands in `docs/CALLERS.md` return the status and title documented there.

use awc::Client;
use awc::http::Method;
use jackdaw_base::{CustomerShare, ErrorKind, RequestOutcome};
use jackdaw_demo::fleet::{DemoFleet, FleetPlan, MODEL_NAME};
use jackdaw_demo::population::{CustomerPlan, CustomerRole};
use jackdaw_policy::SharePolicy;
use jackdaw_standin::EngineSettings;
use serde_json::Value;

/// The documentation for callers.
const PAGE: &str = include_str!("../../../docs/CALLERS.md");

/// The router address used in the documentation.
const PAGE_HOST: &str = "router.example:8080";

/// A `curl` command of the documentation and its documented response.
#[derive(Debug, Default)]
struct PageCommand {
    url: String,
    headers: Vec<(String, String)>,
    body: Option<String>,
    status: u16,
    title: Option<String>,
}

/// Splits a shell command into words; only single quotes are supported.
fn split_words(text: &str) -> Vec<String> {
    let mut words = Vec::new();
    for (index, part) in text.split('\'').enumerate() {
        if index % 2 == 1 {
            words.push(part.to_owned());
        } else {
            words.extend(part.split_whitespace().filter(|word| *word != "\\").map(str::to_owned));
        }
    }
    words
}

/// Parses a code block: a `curl` command and a comment with the status and the title.
fn read_command(block: &str) -> PageCommand {
    let (text, comment) = block.rsplit_once("\n# ").expect("code block must end with a comment");
    let mut documented = comment.split_whitespace();
    let mut command = PageCommand {
        status: documented.next().unwrap().parse().unwrap(),
        title: documented.next().map(str::to_owned),
        ..PageCommand::default()
    };
    let mut words = split_words(text).into_iter();
    assert_eq!(words.next().as_deref(), Some("curl"));
    while let Some(word) = words.next() {
        match word.as_str() {
            "-s" | "-sN" => {}
            "-d" => command.body = words.next(),
            "-H" => {
                let header = words.next().unwrap();
                let (name, value) = header.split_once(": ").unwrap();
                command.headers.push((name.to_owned(), value.to_owned()));
            }
            url if url.starts_with("http://") => command.url = word,
            other => panic!("unsupported curl argument: {other}"),
        }
    }
    command
}

/// Parses all commands of the documentation.
fn read_page() -> Vec<PageCommand> {
    let blocks = PAGE.split("```sh\n").skip(1);
    blocks.map(|block| read_command(block.split("\n```").next().unwrap())).collect()
}

/// Starts a fleet with the customer that the documentation uses.
async fn spawn_fleet() -> DemoFleet {
    let customer = CustomerPlan {
        name: "union".to_owned(),
        key: "example-key-of-the-union".to_owned(),
        share: CustomerShare(1),
        role: CustomerRole::Interactive,
        long_answer_percent: 0,
        routers: vec![0],
        concurrency: 0,
    };
    let engine =
        EngineSettings { models: vec![MODEL_NAME.to_owned()], ..EngineSettings::default() };
    let plan = FleetPlan { routers: 1, engines: 1, engine, policy: SharePolicy::Fleet, seed: 1 };
    DemoFleet::spawn(plan, &[customer]).await.unwrap()
}

#[actix_web::test]
async fn documented_commands_get_documented_responses() {
    let fleet = spawn_fleet().await;
    let router = fleet.router_addresses()[0].to_string();
    let commands = read_page();
    assert_eq!(commands.len(), PAGE.matches("curl ").count());
    for command in commands {
        let method = if command.body.is_some() { Method::POST } else { Method::GET };
        let url = command.url.replace(PAGE_HOST, &router);
        let mut request = Client::new().request(method, url);
        for (name, value) in &command.headers {
            request = request.insert_header((name.as_str(), value.as_str()));
        }
        let body = command.body.clone().unwrap_or_default();
        let mut response = request.send_body(body).await.unwrap();
        assert_eq!(response.status().as_u16(), command.status, "{command:?}");
        let body = response.body().await.unwrap();
        if let Some(title) = &command.title {
            let problem: Value = serde_json::from_slice(&body).unwrap();
            assert_eq!(problem["title"], title.as_str(), "{command:?}");
            assert_eq!(problem["status"], command.status);
            assert!(problem["outcome"].is_string());
        }
    }
    fleet.close().await;
}

#[test]
fn documented_error_kinds_match_code() {
    let mut listed = 0;
    for line in PAGE.lines() {
        let cells: Vec<&str> = line.split('|').map(str::trim).collect();
        if cells.len() != 7 || cells[2].parse::<u16>().is_err() {
            continue;
        }
        let slug = cells[1].trim_matches('`');
        let kind = ErrorKind::ALL.iter().find(|kind| kind.slug() == slug).expect(slug);
        assert_eq!(cells[2], kind.status().to_string(), "{slug}");
        let outcome = match kind.outcome() {
            RequestOutcome::NotRun => "not run",
            RequestOutcome::Unknown => "unknown",
        };
        assert_eq!(cells[3], outcome, "{slug}");
        assert_eq!(cells[4] == "yes", kind.is_retryable(), "{slug}");
        listed += 1;
    }
    assert_eq!(listed, 17, "every error kind that callers can receive must be listed");
}
