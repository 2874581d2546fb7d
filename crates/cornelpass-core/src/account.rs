//! Who counts the work at a target, and how routers ask for it.
//!
//! Every router sees its own requests only, and what the others tell in turns is older than requests
//! last as soon as there are many routers. So each target has one router that counts for it, its
//! *accountant*, which all routers find by the same hash ([`accountant`]). A router that is about to
//! send a request asks the accountant of the target first ([`message::Question`]); the answer grants
//! the place or says how full the target is. What a router has in progress is told in absolute numbers
//! ([`message::Line`]) with each question, at the end of each request and once in a while, so that
//! neither lost nor repeated messages make a count drift ([`book`]).
//!
//! A request costs three datagrams, however many routers and targets there are. Nothing depends on the
//! accountant: while it does not answer, a router goes by what it was last told ([`sounding`]) and by
//! its own part of the bound, and after some unanswered questions the next router by hash counts.

pub mod accountant;
pub mod book;
pub mod message;
pub mod sounding;
