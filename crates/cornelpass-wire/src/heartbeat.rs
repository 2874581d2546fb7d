//! State that a router sends regularly to the sidecar of a target.

use cornelpass_core::admission::Mean;
use serde::{Deserialize, Serialize};

/// Heartbeat of a router; the response is a [`cornelpass_core::target_report::Report`].
///
/// The field names are the JSON keys.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// Name of the instance that runs the router.
    pub router: String,
    /// Version of the active configuration of the router.
    pub version: u64,
    /// Mean load per unit of weight of the targets that serve the same model or service as this
    /// target, if known.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub mean: Option<Mean>,
    /// Digests of request contents that are suspected of crashing targets; a digest occurs once for
    /// each counted crash.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub suspects: Vec<u64>,
}
