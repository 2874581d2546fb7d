//! Decision logic of cornelpass, without I/O.
//!
//! Each module implements one concept. The code that uses a module passes in the time, as an
//! `Instant` read from a [`clock::Clock`], and the received messages, as values; the module returns
//! an enum that states what to do next. The other packages do the I/O: each handles one kind of
//! peer, such as the callers, the platform or the targets.
//!
//! # Terms
//!
//! - A *caller* is a client of the fleet. A *target* is a back end: a model engine or a plain HTTP
//!   service.
//! - A *router* receives the requests of callers and sends each of them to a target. The settings
//!   of a router select one of the two interfaces below.
//! - A *sidecar* is the process beside one target that admits and runs the requests to the target.
//!   Only the chat interface uses sidecars.
//! - The *platform* is the users' store (the platform's table), their object store and their list
//!   of instances.
//! - A *unit of load* is the unit of the loads, costs and limits of the chat interface: a call adds
//!   one unit to a target, and a chat request adds [`chat::cost`] units. The gateway interface
//!   counts requests instead.
//!
//! # Interfaces
//!
//! The crate serves two interfaces, each with modules of its own. Some names therefore occur twice,
//! such as the configuration, the organisations, the retry budgets and the failed attempts.
//!
//! The *chat interface* sends chat requests, and calls of plain services, through the sidecar of
//! each target:
//!
//! - [`table`], [`check`], [`config`] and [`lease`]: the operators' rows, and the versions of the
//!   configuration that are built from them;
//! - [`chat`]: cost and result of a chat;
//! - [`target_report`]: reports of the sidecars, from which a router chooses a target;
//! - [`admission`]: final decision of the sidecar on each request;
//! - [`attempt`] and [`retry`]: what follows a failed attempt;
//! - [`stream`]: reassembly of a streamed response;
//! - [`claim`]: execution of a call at most once.
//!
//! The *gateway interface* forwards HTTP requests unchanged, directly from the router to the
//! targets. The bodies are opaque to it, except that it splits event streams into events:
//!
//! - [`gateway_config`] and [`route`]: the configuration;
//! - [`request`]: the decoded request;
//! - [`fleet`]: state of the targets, and the choice of one for a request;
//! - [`accounting`]: counts of the requests of all routers at a target;
//! - [`contention`]: which requests yield while a service is short of room;
//! - [`peers`], [`report`] and [`datagram`]: reports and messages between routers;
//! - [`history`] and [`budget`]: what follows a failed attempt;
//! - [`contention`]: requests beyond the capacity of the targets;
//! - [`quarantine`]: requests that crash targets;
//! - [`rollout`]: moving a service to another version;
//! - [`revision`]: order of the platform's revisions over its restores;
//! - [`events`]: complete events of the streams that targets send.
//!
//! Both interfaces use [`placement`], [`refusal`], [`digest`] and [`clock`]. The chat interface
//! detects contents that crash targets in [`admission::suspect`].
//!
//! ```
//! use cornelpass_core::placement::{Bounded, Candidate, Placement};
//!
//! let candidates = [Candidate::new("engine-1", 1), Candidate::new("engine-2", 1)];
//! let ranked = Bounded.rank(42, &candidates);
//! assert_eq!(ranked.len(), 2);
//! ```

pub mod accounting;
pub mod admission;
pub mod attempt;
pub mod budget;
pub mod chat;
pub mod check;
pub mod claim;
pub mod clock;
pub mod config;
pub mod contention;
pub mod datagram;
pub mod digest;
pub mod events;
pub mod fleet;
pub mod gateway_config;
pub mod history;
pub mod lease;
pub mod peers;
pub mod placement;
pub mod quarantine;
pub mod refusal;
pub mod report;
pub mod request;
pub mod retry;
pub mod revision;
pub mod rollout;
pub mod route;
pub mod stream;
pub mod table;
pub mod target_report;
