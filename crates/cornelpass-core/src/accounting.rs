//! Counts the requests that all routers have in progress at a target.
//!
//! A router sees only its own requests. Loads in the periodic reports of the routers would be older
//! than a request lasts, as soon as there are many routers. So each target has an *accountant*: the
//! one router that counts the requests of all routers at that target. All routers find the
//! accountant by the same hash ([`accountant`]), without a message. Log events and metrics use the
//! word "accountant" as well.
//!
//! Before a router sends a request, it asks the accountant of the target ([`message::Question`]).
//! The reply grants or refuses the request, and states the load of the target. A router reports its
//! usage of a target in absolute numbers ([`message::Usage`]): with each question, at the end of
//! each request and at a fixed interval. Absolute numbers keep lost or repeated messages from
//! making a count drift ([`aggregator`]).
//!
//! A request costs three datagrams (question, reply, and the note at its end), whatever the number
//! of routers and targets. No request depends on the accountant: while the accountant does not
//! reply, a router uses the last load that it received ([`selection`]) and its own share of the
//! bound. After [`accountant::MAX_MISSES`] unanswered questions, the router that ranks next by hash
//! becomes the accountant.

pub mod accountant;
pub mod aggregator;
pub mod message;
pub mod selection;
