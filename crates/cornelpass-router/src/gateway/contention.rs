//! Contention for the targets: applies the classes of a configuration, and reports to operators.

use cornelpass_core::contention::Change;
use cornelpass_core::contention::class::Classes;
use cornelpass_core::gateway_config::Config;
use cornelpass_operator::event::Code;
use cornelpass_operator::log;

use super::state::State;

/// Applies the urgency classes of a configuration, and logs the services whose requests differ.
pub fn apply_config(state: &State, config: &Config) {
    let classes = Classes::new(config);
    for (service, priorities) in classes.differing() {
        log!(Code::ClassesApplied, service, priorities = format_args!("{priorities:?}"));
    }
    state.fleet().set_classes(classes);
}

/// Logs and counts the changes since the last call, and sets the gauges.
pub fn report(state: &State) {
    let now = state.clock.now();
    let (changes, short_services, organisations) = {
        let mut fleet = state.fleet();
        let changes = fleet.take_contention_changes(now);
        let contention = fleet.contention();
        (changes, contention.short_services(now), contention.organisation_count())
    };
    for change in changes {
        match change {
            Change::Started { service } => log!(Code::ContentionStarted, service),
            Change::Ended { service } => log!(Code::ContentionEnded, service),
            Change::Withheld { service, cause, count } => {
                state.metrics.contention().count_withheld(&service, cause, count);
                log!(Code::RoomWithheld, service, %cause, count);
            }
            Change::Refused { service, cause, count, organisation } => {
                log!(Code::ContentionRefused, service, %cause, count, organisation);
            }
        }
    }
    state.metrics.contention().set_services(short_services);
    state.metrics.contention().set_organisations(organisations);
}
