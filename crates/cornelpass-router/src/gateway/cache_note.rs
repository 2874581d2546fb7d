//! Stores a note on the platform, a row that routers share: which targets have cached which
//! prefixes of prompts.
//!
//! A router reads the note when it starts. Without the note, after the loss of all routers, the new
//! routers would place prompts by hash alone, and targets would process prefixes again that are
//! cached at other targets. The note is a hint: a wrong entry costs the processing of one prefix.

use std::sync::Arc;
use std::time::Duration;

use cornelpass_core::report::CacheEntry;
use cornelpass_operator::event::Code;
use cornelpass_operator::log;
use cornelpass_platform::feed::Feed;
use tokio::time::sleep;

use super::state::State;

/// Name of the note on the platform.
const NOTE: &str = "homes";

/// Time between two checks whether the cache entries have changed; prefixes seldom move to other
/// targets.
const CHECK_INTERVAL: Duration = Duration::from_secs(5);

/// Limits the time for a response of the platform.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(600);

/// Maximum time since the platform last returned all changes of the targets for which the note is
/// written, in milliseconds.
///
/// A poller gets a response within this time while the platform is available. After a longer time
/// a write would probably fail.
const MAX_SYNC_AGE_MS: u16 = 3_000;

/// Maximum number of entries in the note: as many as certainly fit into a row of 64 KiB.
const MAX_ENTRIES: usize = 4_096;

/// Reads the note once, and then writes it after each change of the entries if this router is the
/// one that writes the note (the first poller).
pub async fn run(state: Arc<State>, feed: Arc<dyn Feed>) {
    let mut last_written = match feed.read_note(NOTE, RESPONSE_TIMEOUT).await {
        Ok(note) => restore(&state, &note.unwrap_or_default()),
        Err(error) => {
            log!(Code::PlatformUnreachable, call = "read_note", %error);
            Vec::new()
        }
    };
    let mut restores = state.restore_count();
    loop {
        sleep(CHECK_INTERVAL).await;
        let known_restores = std::mem::replace(&mut restores, state.restore_count());
        if known_restores != restores {
            // The note may be missing from the copy that the platform was restored from.
            last_written.clear();
        }
        let now = state.clock.now();
        let cache_entries = {
            let mut fleet = state.fleet();
            let available = fleet.change_log().response_age_ms(now) < MAX_SYNC_AGE_MS;
            let writes = available && fleet.writes_notes(now);
            writes.then(|| fleet.cache_index().entries(MAX_ENTRIES))
        };
        let Some(cache_entries) =
            cache_entries.filter(|cache_entries| *cache_entries != last_written)
        else {
            continue;
        };
        let note = postcard::to_stdvec(&cache_entries).unwrap_or_default();
        match feed.write_note(NOTE, &note, RESPONSE_TIMEOUT).await {
            Ok(()) => last_written = cache_entries,
            Err(error) => log!(Code::PlatformUnreachable, call = "write_note", %error),
        }
    }
}

/// Adds the entries of a note to the cache index, and returns them.
fn restore(state: &State, note: &[u8]) -> Vec<CacheEntry> {
    if note.is_empty() {
        return Vec::new();
    }
    match postcard::from_bytes::<Vec<CacheEntry>>(note) {
        Ok(cache_entries) => {
            state.fleet().cache_index().restore(state.clock.now(), &cache_entries);
            log!(Code::HomesRecalled, parts = cache_entries.len());
            cache_entries
        }
        Err(error) => {
            log!(Code::NoteUnreadable, note = NOTE, %error);
            Vec::new()
        }
    }
}
