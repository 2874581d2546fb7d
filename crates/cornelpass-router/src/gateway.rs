//! The gateway: requests that are passed on as they came, straight to the targets.
//!
//! [`state::State`] joins the configuration, the fleet and the retry budgets. [`follow`] keeps it up
//! to date from the platform and [`peers`] from the other routers, [`relay`] takes requests from the callers' side and [`exchange`] makes
//! one attempt at one target.

pub mod crash;
pub mod exchange;
pub mod follow;
pub mod homes;
pub mod known;
pub mod peers;
pub mod relay;
pub mod serve;
pub mod state;
