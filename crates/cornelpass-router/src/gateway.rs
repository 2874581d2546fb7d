//! Gateway interface of a router: forwards HTTP requests directly to the targets, with an unchanged
//! body.
//!
//! [`state::State`] combines the configuration, the fleet and the retry budgets. [`platform_sync`]
//! updates it from the platform, and [`peers`] from the other routers. [`cache_note`] stores on the
//! platform which targets have cached which prefixes of prompts, and [`quarantine_note`] which
//! requests are refused because they crash targets.
//!
//! [`relay`] processes the requests of callers, and [`attempt`] makes one attempt at one target.
//! [`accounting`] asks the accountants of targets whether a target may get a request.
//! [`switch`] looks for a place at another target while an attempt is running.
//! [`rate_limit`] follows the rate limits that targets name.
//! [`contention`] applies the urgency classes of a configuration and reports which requests yield.
//! [`crash_check`] checks whether a target crashed during a request, and [`silence`] detects
//! targets that lost their requests by a silent failure or a restart. [`rollout`] moves services to
//! new versions.
//!
//! [`serve`] runs the gateway, [`client_limits`] limits what clients may use, and [`console`] shows its state to operators. [`snapshot`] defines
//! the state that routers fetch from each other, and [`feed_counter`] counts the calls to the
//! platform.

pub mod accounting;
pub mod attempt;
pub mod cache_note;
pub mod client_limits;
pub mod closed;
pub mod console;
pub mod contact;
pub mod contention;
pub mod crash_check;
pub mod feed_counter;
pub mod peers;
pub mod platform_sync;
pub mod quarantine_note;
pub mod rate_limit;
pub mod relay;
pub mod rollout;
pub mod serve;
pub mod silence;
pub mod slow_start;
pub mod snapshot;
pub mod state;
pub mod switch;
