//! Interface to the platform's rows of operators, targets and routers.
//!
//! The rows are divided into topics ([`Topic`]). A topic is read completely, or followed by reading
//! the changes after a revision. A [`Feed`] makes one call at a time. The code that uses it decides
//! when to call, how long to wait, and what to do when the platform no longer has the changes after
//! a revision.

use std::time::Duration;

use async_trait::async_trait;
use cornelpass_core::fleet;
use cornelpass_core::gateway_config::Config;
use cornelpass_core::rollout;

use crate::error::Error;
use crate::table::Revision;

/// Part of the platform's rows that is read and followed on its own.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, strum::Display, strum::IntoStaticStr,
)]
#[strum(serialize_all = "snake_case")]
pub enum Topic {
    /// Rows that the operators write: the configuration, data centres out of service, and rollouts.
    Operators,
    /// Rows of the targets.
    Targets,
    /// Rows of the routers.
    Routers,
}

/// Decoded content of a row.
#[derive(Clone, Debug, PartialEq)]
pub enum Record {
    /// The gateway configuration.
    GatewayConfig(Box<Config>),
    /// The data centre of this name is out of service.
    DataCentreClosed(String),
    /// The data centre of this name is in service again.
    DataCentreOpened(String),
    /// Order to move the service of this name to another version.
    Rollout(String, rollout::Order),
    /// The order for the service of this name was removed.
    RolloutRemoved(String),
    /// An order for the service of this name that cannot be decoded, and the cause.
    RolloutMalformed(String, String),
    /// Row of a target, with its name.
    Target(String, fleet::Row),
    /// The row of the target of this name was removed.
    TargetRemoved(String),
    /// Row of a router: its name, and the address at which other routers reach it.
    Router(String, std::net::SocketAddr),
    /// The row of the router of this name was removed.
    RouterRemoved(String),
    /// A row that cannot be decoded.
    Malformed {
        /// Key of the row.
        key: String,
        /// Cause.
        problem: String,
    },
    /// A row that routers do not use.
    Other,
}

/// A row of a topic.
#[derive(Clone, Debug, PartialEq)]
pub struct TopicRow {
    /// Revision of the row.
    pub revision: Revision,
    /// Content of the row.
    pub record: Record,
}

/// Rows of a topic, and the revision that they correspond to.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Page {
    /// Rows, in the order in which the platform returned them.
    pub rows: Vec<TopicRow>,
    /// Revision up to which the rows include all changes.
    pub revision: Revision,
    /// Whether the platform already has more changes, which did not fit into this page.
    pub more: bool,
}

/// Result of reading the changes after a revision.
#[derive(Clone, Debug, PartialEq)]
pub enum Changes {
    /// The changes; [`Page::more`] says whether there are more.
    Page(Page),
    /// The platform no longer has all changes after the revision: read the topic completely again.
    HistoryLost,
}

/// Interface of the calls to the platform.
#[async_trait]
pub trait Feed: Send + Sync + 'static {
    /// Reads all rows of a topic; `timeout` applies to each page that is requested.
    ///
    /// # Errors
    ///
    /// If the head of a response does not arrive within `timeout`, the response is incomplete or
    /// malformed, or the platform rejects the request.
    async fn read_all(&self, topic: Topic, timeout: Duration) -> Result<Page, Error>;

    /// Reads the changes of a topic after a revision; the platform holds the call for up to `wait`
    /// until there is one.
    ///
    /// # Errors
    ///
    /// If the head of a response does not arrive within `wait` plus `timeout`, the response is
    /// incomplete or malformed, or the platform rejects the request.
    async fn read_changes(
        &self,
        topic: Topic,
        since: Revision,
        wait: Duration,
        timeout: Duration,
    ) -> Result<Changes, Error>;

    /// Writes the row of this router.
    ///
    /// # Errors
    ///
    /// If the head of a response does not arrive within `timeout`, the response is incomplete, or
    /// the platform rejects the request.
    async fn register(
        &self,
        name: &str,
        address: std::net::SocketAddr,
        timeout: Duration,
    ) -> Result<(), Error>;

    /// Writes a note: a row of bytes that routers store for routers that start later.
    ///
    /// # Errors
    ///
    /// If the head of a response does not arrive within `timeout`, the response is incomplete, or
    /// the platform rejects the request.
    async fn write_note(&self, name: &str, note: &[u8], timeout: Duration) -> Result<(), Error>;

    /// Reads a note; `None` if there is none of this name.
    ///
    /// # Errors
    ///
    /// If the head of a response does not arrive within `timeout`, the response is incomplete or
    /// malformed, or the platform rejects the request.
    async fn read_note(&self, name: &str, timeout: Duration) -> Result<Option<Vec<u8>>, Error>;

    /// Reads the status row of the rollout of a service, and its revision; `None` if there is none.
    ///
    /// # Errors
    ///
    /// If the head of a response does not arrive within `timeout`, the response is incomplete or
    /// malformed, or the platform rejects the request. A row that cannot be decoded is no error:
    /// its status names no version.
    async fn read_status(
        &self,
        service: &str,
        timeout: Duration,
    ) -> Result<Option<(rollout::Status, Revision)>, Error>;

    /// Writes the status row of the rollout of a service if the row still has the revision
    /// `expected`, or does not exist if `expected` is 0.
    ///
    /// # Errors
    ///
    /// [`Error::Conflict`] if the row has another revision; nothing was written. Otherwise if the
    /// head of a response does not arrive within `timeout`, the response is incomplete, or the
    /// platform rejects the request.
    async fn write_status(
        &self,
        service: &str,
        status: &rollout::Status,
        expected: Revision,
        timeout: Duration,
    ) -> Result<(), Error>;
}
