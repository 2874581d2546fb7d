//! Rate limits that targets name: what responses say, the reports between routers, and the log.

use std::net::SocketAddr;

use cornelpass_core::datagram::Datagram;
use cornelpass_core::fleet::rate_limit::report::LimitReport;
use cornelpass_core::fleet::rate_limit::{Change, Rate, Source};
use cornelpass_operator::event::Code;
use cornelpass_operator::log;
use cornelpass_target::protocol::{Classification, RateLimit};
use hyper::header::HeaderMap;

use super::accounting::send_datagram;
use super::attempt::Dispatch;
use super::state::State;

/// Records what the head of a response says of the rate limit of its target.
///
/// Ignores a response that is not identified as one of this target to this request.
pub fn record(
    state: &State,
    dispatch: &Dispatch,
    classification: Classification,
    headers: &HeaderMap,
) {
    let is_from_target = match classification {
        Classification::Response { .. } => true,
        Classification::NotRun { misdirected, identified } => identified && !misdirected,
        Classification::OtherRequest | Classification::Invalid => false,
    };
    if !is_from_target {
        return;
    }
    let target = &dispatch.choice.target;
    let rate = match state.protocol.rate_limit(headers) {
        RateLimit::Unnamed => None,
        RateLimit::Named(rate) => Some(rate),
        RateLimit::Malformed(value) => {
            log!(Code::RateLimitMalformed, target, value);
            return;
        }
    };
    state.fleet().record_rate_limit(state.clock.now(), target, dispatch.sent_at, rate);
    send_reports(state);
    log_changes(state);
}

/// Applies another router's report.
pub fn apply(state: &State, router: SocketAddr, report: &LimitReport) {
    state.fleet().apply_limit_report(state.clock.now(), router, report);
    log_changes(state);
}

/// Sends the reports that are due.
pub fn send_reports(state: &State) {
    let reports = state.fleet().take_limit_reports();
    for (router, report) in reports {
        send_datagram(state, &[router], &Datagram::RateLimit(report));
    }
}

/// Logs the refusals of the last collection, and sets the gauges.
pub fn report(state: &State) {
    send_reports(state);
    log_changes(state);
    let (refusals, limits) = {
        let mut fleet = state.fleet();
        let refusals = fleet.take_rate_limit_refusals(state.clock.now());
        let limits = fleet.rate_limits().map(|(target, rate)| (target.to_owned(), rate));
        let limits: Vec<(String, f64)> = limits.collect();
        (refusals, limits)
    };
    for (service, count) in refusals {
        log!(Code::RateLimitRefused, service, count);
    }
    state.metrics.set_rate_limited_targets(limits.len() as u64);
    for (target, rate) in limits {
        state.metrics.set_rate_limit(&target, Some(rate));
    }
}

fn log_changes(state: &State) {
    let changes = state.fleet().take_rate_limit_changes();
    for Change { target, kind, before, rate, source } in changes {
        let source = match source {
            Source::Response => "response".to_owned(),
            Source::Router(router) => router.to_string(),
            Source::Restart => "restart".to_owned(),
        };
        let [before, rate] = [before, rate].map(|rate| rate.map(Rate::per_second));
        log!(Code::RateLimit, target, change = %kind, before, rate, source);
        if rate.is_none() {
            state.metrics.set_rate_limit(&target, None);
        }
    }
}
