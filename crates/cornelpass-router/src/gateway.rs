//! Gateway interface of a router: forwards requests unchanged, directly to the targets.
//!
//! [`state::State`] combines the configuration, the fleet and the retry budgets. [`platform_sync`]
//! updates it from the platform, and [`peers`] from the other routers. [`cache_note`] stores on the
//! platform which targets have cached which prefixes of prompts.
//!
//! [`relay`] processes the requests of callers, and [`attempt`] makes one attempt at one target.
//! [`accounting`] asks the accountants of targets whether a target may get a request.
//! [`crash_check`] checks whether a target crashed during a request, and [`silence`] detects
//! targets that failed without closing their connections.

pub mod accounting;
pub mod attempt;
pub mod cache_note;
pub mod console;
pub mod crash_check;
pub mod feed_counter;
pub mod peers;
pub mod platform_sync;
pub mod relay;
pub mod serve;
pub mod silence;
pub mod snapshot;
pub mod state;
