//! What the platform tells of operators and targets, read whole or followed change by change.
//!
//! A [`Feed`] makes one call at a time. When to ask, how long to wait and what to do about a lost
//! history is up to whoever follows it.

use std::time::Duration;

use async_trait::async_trait;
use cornelpass_core::fleet;
use cornelpass_core::gateway_config::Config;

use crate::error::Error;
use crate::table::Revision;

/// Part of what the platform tells.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, strum::Display, strum::IntoStaticStr,
)]
#[strum(serialize_all = "snake_case")]
pub enum Topic {
    /// What the operators have written.
    Operators,
    /// The targets' entries.
    Targets,
    /// The routers' entries.
    Routers,
}

/// What a row says.
#[derive(Clone, Debug, PartialEq)]
pub enum Fact {
    /// The configuration.
    GatewayConfig(Box<Config>),
    /// A data centre is out of service.
    Closed(String),
    /// A data centre is in service again.
    Opened(String),
    /// A target.
    Target(String, fleet::Row),
    /// A target's entry is gone.
    Gone(String),
    /// A router, by name, with the address for other routers.
    Router(String, std::net::SocketAddr),
    /// A router's entry is gone.
    RouterGone(String),
    /// A row that can not be read.
    Unreadable {
        /// Key of the row.
        key: String,
        /// What is wrong with it.
        problem: String,
    },
    /// A row that says nothing to a router.
    Other,
}

/// A row.
#[derive(Clone, Debug, PartialEq)]
pub struct Entry {
    /// Revision of the row.
    pub revision: Revision,
    /// What it says.
    pub fact: Fact,
}

/// Rows, and the revision that they show.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Page {
    /// Rows in order.
    pub entries: Vec<Entry>,
    /// Revision up to which all changes are in them.
    pub revision: Revision,
    /// Whether there are more changes already.
    pub more: bool,
}

/// Changes after a revision.
#[derive(Clone, Debug, PartialEq)]
pub enum Changes {
    /// All of them.
    Page(Page),
    /// The platform does not have them any more: read everything again.
    Lost,
}

/// Calls to the platform.
#[async_trait]
pub trait Feed: Send + Sync + 'static {
    /// Reads all rows of a topic.
    ///
    /// # Errors
    ///
    /// When the platform gives no whole answer within `patience`, or refuses.
    async fn read(&self, topic: Topic, patience: Duration) -> Result<Page, Error>;

    /// Reads the changes of a topic after a revision, and waits for the first of them.
    ///
    /// # Errors
    ///
    /// When the platform gives no whole answer within `wait` and `patience`, or refuses.
    async fn changes(
        &self,
        topic: Topic,
        since: Revision,
        wait: Duration,
        patience: Duration,
    ) -> Result<Changes, Error>;

    /// Writes this router's entry.
    ///
    /// # Errors
    ///
    /// When the platform gives no whole answer within `patience`, or refuses.
    async fn register(
        &self,
        name: &str,
        address: std::net::SocketAddr,
        patience: Duration,
    ) -> Result<(), Error>;

    /// Writes a note that the routers keep for those that start later.
    ///
    /// # Errors
    ///
    /// When the platform gives no whole answer within `patience`, or refuses.
    async fn write_note(&self, name: &str, note: &[u8], patience: Duration) -> Result<(), Error>;

    /// Reads a note, if there is one.
    ///
    /// # Errors
    ///
    /// When the platform gives no whole answer within `patience`, or refuses.
    async fn read_note(&self, name: &str, patience: Duration) -> Result<Option<Vec<u8>>, Error>;
}
