//! The gateway: requests that are passed on as they came, straight to the targets.
//!
//! [`state::State`] joins the configuration, the fleet and the retry budgets. [`follow`] keeps it up
//! to date from the platform and [`peers`] from the other routers; [`homes`] keeps on the platform
//! where prompts have their parts. [`relay`] takes requests from the callers' side, [`exchange`] makes
//! one attempt at one target; [`crash`] looks whether a target crashed under it, and [`pulse`] whether one
//! is gone without a word.

pub mod console;
pub mod counted;
pub mod crash;
pub mod desk;
pub mod exchange;
pub mod follow;
pub mod homes;
pub mod known;
pub mod peers;
pub mod pulse;
pub mod relay;
pub mod serve;
pub mod state;
