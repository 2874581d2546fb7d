//! Interfaces of a process for its operators: command line, settings, log events, metrics, and a
//! read-only HTTP console.
//!
//! ```
//! use cornelpass_operator::event::Code;
//!
//! assert_eq!(Code::Started.number(), 100);
//! ```

pub mod cli;
pub mod console;
pub mod event;
pub mod limit;
pub mod metrics;
pub mod process;
pub mod settings;
pub mod stop;
pub mod supervisor;
pub mod trace;
pub mod writer;
