//! Protocol between a router and the sidecar of a target: JSON-RPC over a WebSocket that the router
//! opens.
//!
//! A chat request is a [`request::Submission`]; the router receives the response as a subscription
//! of [`frame::Frame`]s. A router that lost its connection resumes the stream with a
//! [`request::Resume`]; a router whose caller has disconnected cancels the stream by its ID. A call
//! of a plain service is a [`request::Call`] with one [`frame::Response`]. About once a second, and
//! earlier if a stream receives no frames or a target was lost, the router sends a
//! [`heartbeat::Heartbeat`] and receives a report. Both contain the version of the active
//! configuration, so that the router can send a newer configuration to the sidecar, or fetch it
//! from there.
//!
//! ```
//! use cornelpass_wire::frame::{Body, Frame};
//!
//! let frame = Frame::new(1, Body::Text { offset: 0, text: "violin".to_owned() });
//! assert!(!frame.body.is_last());
//! ```

pub mod frame;
pub mod heartbeat;
pub mod link;
pub mod request;
