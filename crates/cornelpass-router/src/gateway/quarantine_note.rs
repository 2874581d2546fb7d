//! Stores the quarantined groups in a note on the platform, a row that routers share.
//!
//! Routers tell each other what is quarantined, but that is lost if all of them restart. A router
//! reads the note when it starts, as soon as the platform is available. One router, the first
//! poller, writes it after each change.

use std::sync::Arc;
use std::time::{Duration, SystemTime};

use cornelpass_core::quarantine::bulletin::Group;
use cornelpass_core::quarantine::feature::Feature;
use cornelpass_operator::event::Code;
use cornelpass_operator::log;
use cornelpass_platform::feed::Feed;
use serde::{Deserialize, Serialize};
use tokio::time::sleep;

use super::state::State;

/// Name of the note on the platform.
const NOTE: &str = "quarantine";

/// Time between two checks whether the note has to be read or written.
const CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// Limits the time for a response of the platform.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(600);

/// Maximum time since the last response of the platform for which it counts as available, in
/// milliseconds.
const MAX_SYNC_AGE_MS: u16 = 3_000;

/// Group in the note.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
struct Entry {
    features: Vec<Feature>,
    /// Wall-clock time of the first crash, in seconds since 1970.
    first_crash_s: u64,
}

/// Reads the note once, and then writes it after each change of the groups if this router is the one
/// that writes notes.
pub async fn run(state: Arc<State>, feed: Arc<dyn Feed>) {
    let mut stored = read(&state, &*feed).await;
    let mut restores = state.restore_count();
    loop {
        sleep(CHECK_INTERVAL).await;
        let known_restores = std::mem::replace(&mut restores, state.restore_count());
        if known_restores != restores {
            // The note may be missing from the copy that the platform was restored from.
            stored = stored.map(|_| Vec::new());
        }
        let now = state.clock.now();
        let (available, writes, groups) = {
            let mut fleet = state.fleet();
            let available = fleet.change_log().response_age_ms(now) < MAX_SYNC_AGE_MS;
            (available, fleet.writes_notes(now), fleet.quarantine().groups(now))
        };
        let Some(known) = &stored else {
            if available {
                stored = read(&state, &*feed).await;
            }
            continue;
        };
        let features: Vec<&Vec<Feature>> = groups.iter().map(|group| &group.features).collect();
        if !available || !writes || known.iter().map(|entry| &entry.features).eq(features) {
            continue;
        }
        let entries = to_entries(state.clock.wall(), &groups);
        let note = postcard::to_stdvec(&entries).unwrap_or_default();
        match feed.write_note(NOTE, &note, RESPONSE_TIMEOUT).await {
            Ok(()) => stored = Some(entries),
            Err(error) => log!(Code::PlatformUnreachable, call = "write_note", %error),
        }
    }
}

/// Reads the note and applies its groups; none if the platform did not respond.
async fn read(state: &State, feed: &dyn Feed) -> Option<Vec<Entry>> {
    let note = match feed.read_note(NOTE, RESPONSE_TIMEOUT).await {
        Ok(note) => note.unwrap_or_default(),
        Err(error) => {
            log!(Code::PlatformUnreachable, call = "read_note", %error);
            return None;
        }
    };
    if note.is_empty() {
        return Some(Vec::new());
    }
    let entries: Vec<Entry> = match postcard::from_bytes(&note) {
        Ok(entries) => entries,
        Err(error) => {
            log!(Code::NoteUnreadable, note = NOTE, %error);
            return Some(Vec::new());
        }
    };
    let groups = to_groups(state.clock.wall(), &entries);
    state.fleet().quarantine().apply_groups(state.clock.now(), &groups);
    state.process_quarantine_changes();
    Some(entries)
}

fn to_entries(wall: SystemTime, groups: &[Group]) -> Vec<Entry> {
    let wall_s = unix_seconds(wall);
    let entry = |group: &Group| Entry {
        features: group.features.clone(),
        first_crash_s: wall_s.saturating_sub(u64::from(group.age_ms / 1_000)),
    };
    groups.iter().map(entry).collect()
}

fn to_groups(wall: SystemTime, entries: &[Entry]) -> Vec<Group> {
    let wall_s = unix_seconds(wall);
    let group = |entry: &Entry| {
        let age_ms = wall_s.saturating_sub(entry.first_crash_s).saturating_mul(1_000);
        let age_ms = u32::try_from(age_ms).unwrap_or(u32::MAX);
        Group { features: entry.features.clone(), age_ms }
    };
    entries.iter().map(group).collect()
}

fn unix_seconds(wall: SystemTime) -> u64 {
    wall.duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default().as_secs()
}
