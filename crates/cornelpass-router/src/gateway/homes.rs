//! Keeps on the platform which targets hold which parts of prompts, for routers that start.
//!
//! When all routers were lost, their successors would place prompts by hash alone, and parts that
//! have moved since would be read again. The list is a hint: what it says wrongly costs one reading.

use std::sync::Arc;
use std::time::Duration;

use cornelpass_core::report::CacheEntry;
use cornelpass_operator::event::Code;
use cornelpass_operator::log;
use cornelpass_platform::feed::Feed;
use tokio::time::sleep;

use super::state::State;

/// Name of the note.
const NOTE: &str = "homes";

/// Time between two looks at whether the list has changed; parts move seldom.
const WRITE_PERIOD: Duration = Duration::from_secs(5);

/// Time for an answer of the platform.
const PATIENCE: Duration = Duration::from_millis(600);

/// Age of what the platform told, in milliseconds, up to which it is worth a call: a router that asks
/// often has heard within it.
const HEARD_MS: u16 = 3_000;

/// Most readings in the list: as many as surely fit a row of 64 KiB.
const LIST_LIMIT: usize = 4_096;

/// Reads the list once, then writes it whenever it has changed and this router is to do so.
pub async fn run(state: Arc<State>, feed: Arc<dyn Feed>) {
    let mut written = match feed.read_note(NOTE, PATIENCE).await {
        Ok(note) => recall(&state, &note.unwrap_or_default()),
        Err(error) => {
            log!(Code::PlatformUnreachable, call = "read_note", %error);
            Vec::new()
        }
    };
    loop {
        sleep(WRITE_PERIOD).await;
        let now = state.clock.now();
        let cache_entries = {
            let mut fleet = state.fleet();
            let heard = fleet.change_log().answer_age_ms(now) < HEARD_MS;
            let writes = heard && fleet.writes_notes(now);
            writes.then(|| fleet.cache_index().entries(LIST_LIMIT))
        };
        let Some(cache_entries) = cache_entries.filter(|cache_entries| *cache_entries != written)
        else {
            continue;
        };
        let note = postcard::to_stdvec(&cache_entries).unwrap_or_default();
        match feed.write_note(NOTE, &note, PATIENCE).await {
            Ok(()) => written = cache_entries,
            Err(error) => log!(Code::PlatformUnreachable, call = "write_note", %error),
        }
    }
}

fn recall(state: &State, note: &[u8]) -> Vec<CacheEntry> {
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
