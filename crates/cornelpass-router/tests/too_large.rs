//! A chat whose cost exceeds the limits of all targets or of its organisation is refused at once.

#![allow(clippy::unwrap_used, reason = "helpers of tests")]

mod common;

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use common::{Fixture, MODEL_TARGET, ORGANISATION, wait_until};
use cornelpass_caller::event::Event;
use cornelpass_caller::request::Chat;
use cornelpass_core::chat::{TOKENS_PER_COST, cost};
use cornelpass_core::config::Snapshot;
use cornelpass_core::refusal::{Execution, Reason};
use cornelpass_core::table::Kind;
use cornelpass_router::chats;
use cornelpass_router::state::Requirements;

/// Limit of each target and organisation of the fixture, in units of load.
const LIMIT: u32 = 100;

/// A fixture whose [`MODEL_TARGET`] has reported.
async fn fixture() -> Fixture {
    let fixture = Fixture::new().await;
    let now = || fixture.state.clock.now();
    wait_until(|| fixture.state.target_reports().report(MODEL_TARGET, now()).is_some()).await;
    fixture
}

fn choose(fixture: &Fixture, cost: u32) -> Result<String, Reason> {
    let organisation = ORGANISATION;
    let requirements =
        Requirements { kind: Kind::Model, serves: "m", organisation, placement_key: 1, cost };
    fixture.state.choose(&requirements, &BTreeSet::new()).map(|choice| choice.target)
}

#[tokio::test(flavor = "multi_thread")]
async fn a_cost_equal_to_the_limit_is_accepted() {
    let fixture = fixture().await;
    assert_eq!(choose(&fixture, LIMIT), Ok(MODEL_TARGET.to_owned()));
    assert_eq!(choose(&fixture, LIMIT + 1), Err(Reason::TooLarge));
}

#[tokio::test(flavor = "multi_thread")]
async fn the_limit_of_the_organisation_applies_as_well() {
    let fixture = fixture().await;
    let mut table = fixture.state.replica().current().table.clone();
    table.organisations.get_mut(ORGANISATION).unwrap().limit = 5;
    fixture.state.offer(Snapshot { version: 2, source: 2, table });
    assert_eq!(choose(&fixture, 5), Ok(MODEL_TARGET.to_owned()));
    assert_eq!(choose(&fixture, 6), Err(Reason::TooLarge));
}

#[tokio::test(flavor = "multi_thread")]
async fn a_chat_that_is_too_large_is_refused_without_a_retry_delay() {
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
    chats::run(Arc::clone(&fixture.state), "r".to_owned(), chat, sender).await;
    let Event::Problem(problem) = events.recv().unwrap() else { panic!("not refused") };
    assert_eq!((problem.reason, problem.execution), (Reason::TooLarge, Execution::NotRun));
    assert_eq!(problem.retry_after, None);
}
