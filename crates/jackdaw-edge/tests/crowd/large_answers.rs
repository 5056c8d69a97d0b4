//! Complete answers whose callers do not read them.

use std::time::Duration;

use jackdaw_platform_standins::TargetBehavior;

use crate::client_crowd::{ClientCrowd, WritePace, request_head};
use crate::support::{CrowdFleet, DESCRIPTORS, large_text, run_alone};

/// Clients, and the length of an answer in megabytes: more than a socket takes.
const CLIENTS: usize = 24;
const ANSWER_MB: usize = 6;

/// Time in which the router reads an answer.
const ANSWER_INTERVAL: Duration = Duration::from_millis(300);

/// The budget for answers ended with their collection, and not with their delivery.
#[test]
fn unread_answers_stay_within_memory() {
    run_alone(async {
        let fleet = CrowdFleet::spawn(DESCRIPTORS).await;
        let answer = TargetBehavior::Complete(200, large_text(ANSWER_MB));
        fleet.target.set_default_behavior(answer);
        let mut crowds = Vec::new();
        for client in 0..CLIENTS {
            let text = vec![request_head("/once/x", client, "content-length: 0")];
            crowds.push(ClientCrowd::connect(fleet.address, vec![text], WritePace::Whole));
            // One after another, since few answers are read at the same time.
            tokio::time::sleep(ANSWER_INTERVAL).await;
        }
        fleet.target.set_default_behavior(TargetBehavior::Complete(200, "done"));
        fleet.check().await;
    });
}
