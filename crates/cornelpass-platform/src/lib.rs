//! Client of the platform's services: transactional table, object store and instance list.
//!
//! [`table::Table`], [`objects::Objects`] and [`instances::Instances`] are the interfaces;
//! [`http::Platform`] implements them over HTTP. [`config`] follows the configuration and accepts
//! new versions of it, [`claims`] stores the claims of calls that may not be repeated, and
//! [`declaration`] parses the operators' table from TOML. Every error states whether a write may
//! have taken effect, and the HTTP client sends each write once, never twice.
//!
//! [`feed`] belongs to the gateway interface: it is the interface to the rows of the gateway's
//! store, and the package `cornelpass-adapter` implements it. The other modules serve the chat
//! interface; [`error`] and [`table::Revision`] are common to both.

pub mod claims;
pub mod config;
pub mod declaration;
pub mod error;
pub mod feed;
pub mod http;
pub mod instances;
pub mod objects;
pub mod table;

pub use error::Error;
