//! A chat that no state of the fleet lets through is refused at once, as too large.

#![allow(clippy::unwrap_used, reason = "helpers of tests")]

mod common;

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use common::{Fixture, ORGANISATION, until};
use cornelpass_caller::event::Event;
use cornelpass_caller::request::Chat;
use cornelpass_core::chat::{TOKENS_PER_COST, cost};
use cornelpass_core::config::Snapshot;
use cornelpass_core::refusal::{Execution, Reason};
use cornelpass_core::table::Kind;
use cornelpass_router::chats;
use cornelpass_router::node::Need;

/// Limit of each target and organisation of the fixture, in units of load.
const LIMIT: u32 = 100;

async fn fixture() -> Fixture {
    let fixture = Fixture::new().await;
    let now = || fixture.node.clock.now();
    until(|| fixture.node.view().report("t-2", now()).is_some()).await;
    fixture
}

fn choose(fixture: &Fixture, cost: u32) -> Result<String, Reason> {
    let organisation = ORGANISATION;
    let need = Need { kind: Kind::Model, serves: "m", organisation, key: 1, cost };
    fixture.node.choose(&need, &BTreeSet::new()).map(|choice| choice.target)
}

#[tokio::test(flavor = "multi_thread")]
async fn the_limits_themselves_still_fit() {
    let fixture = fixture().await;
    assert_eq!(choose(&fixture, LIMIT), Ok("t-2".to_owned()));
    assert_eq!(choose(&fixture, LIMIT + 1), Err(Reason::TooLarge));
}

#[tokio::test(flavor = "multi_thread")]
async fn the_limit_of_the_organisation_counts_too() {
    let fixture = fixture().await;
    let mut table = fixture.node.replica().current().table.clone();
    table.organisations.get_mut(ORGANISATION).unwrap().limit = 5;
    fixture.node.offer(Snapshot { version: 2, source: 2, table });
    assert_eq!(choose(&fixture, 5), Ok("t-2".to_owned()));
    assert_eq!(choose(&fixture, 6), Err(Reason::TooLarge));
}

#[tokio::test(flavor = "multi_thread")]
async fn the_caller_is_told_at_once_and_not_to_come_back() {
    let fixture = fixture().await;
    let prompt_tokens = TOKENS_PER_COST * LIMIT;
    assert_eq!(cost(prompt_tokens), LIMIT + 1);
    let chat = Chat {
        organisation: ORGANISATION.to_owned(),
        placement_key: 1,
        digest: 2,
        model: "m".to_owned(),
        messages: "[]".to_owned(),
        prompt_tokens,
        max_tokens: 1,
        streamed: true,
        timeout: Duration::from_secs(20),
    };
    let (sender, events) = flume::bounded(1);
    chats::run(Arc::clone(&fixture.node), "r".to_owned(), chat, sender).await;
    let Event::Problem(problem) = events.recv().unwrap() else { panic!("not refused") };
    assert_eq!((problem.reason, problem.execution), (Reason::TooLarge, Execution::NotRun));
    assert_eq!(problem.retry_after, None);
}
