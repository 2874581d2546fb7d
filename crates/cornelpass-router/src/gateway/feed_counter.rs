//! Counts the calls to the platform, by kind and result.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use cornelpass_core::rollout::Status;
use cornelpass_platform::error::Error;
use cornelpass_platform::feed::{Changes, Feed, Page, Topic};
use cornelpass_platform::table::Revision;

use super::state::State;

/// Feed that passes each call to another feed and counts it.
pub struct Counter {
    state: Arc<State>,
    feed: Box<dyn Feed>,
}

impl Counter {
    /// Creates a counter of the calls to a feed.
    #[must_use]
    pub fn new(state: Arc<State>, feed: Box<dyn Feed>) -> Self {
        Self { state, feed }
    }

    fn count<T>(&self, kind: &'static str, response: Result<T, Error>) -> Result<T, Error> {
        let result = match &response {
            Ok(_) => "answered",
            Err(Error::Unreachable { .. }) => "unreachable",
            Err(Error::Lost { .. }) => "lost",
            Err(_) => "rejected",
        };
        self.state.metrics.count_platform_call(kind, result);
        response
    }
}

#[async_trait]
impl Feed for Counter {
    async fn read_all(&self, topic: Topic, timeout: Duration) -> Result<Page, Error> {
        self.count("read", self.feed.read_all(topic, timeout).await)
    }

    async fn read_changes(
        &self,
        topic: Topic,
        since: Revision,
        wait: Duration,
        timeout: Duration,
    ) -> Result<Changes, Error> {
        self.count("changes", self.feed.read_changes(topic, since, wait, timeout).await)
    }

    async fn register(
        &self,
        name: &str,
        address: SocketAddr,
        timeout: Duration,
    ) -> Result<(), Error> {
        self.count("register", self.feed.register(name, address, timeout).await)
    }

    async fn write_note(&self, name: &str, note: &[u8], timeout: Duration) -> Result<(), Error> {
        self.count("write_note", self.feed.write_note(name, note, timeout).await)
    }

    async fn read_note(&self, name: &str, timeout: Duration) -> Result<Option<Vec<u8>>, Error> {
        self.count("read_note", self.feed.read_note(name, timeout).await)
    }

    async fn read_status(
        &self,
        service: &str,
        timeout: Duration,
    ) -> Result<Option<(Status, Revision)>, Error> {
        self.count("read_status", self.feed.read_status(service, timeout).await)
    }

    async fn write_status(
        &self,
        service: &str,
        status: &Status,
        expected: Revision,
        timeout: Duration,
    ) -> Result<(), Error> {
        let written = self.feed.write_status(service, status, expected, timeout).await;
        self.count("write_status", written)
    }
}
