//! Decides which log records are written, and writes them with their fields.

use std::hash::{BuildHasher, BuildHasherDefault, DefaultHasher};

use rillgap_clock::SteadyClock;
use rillgap_forward::back_end_notice::RequestRate;
use rillgap_forward::log_record::LogRecord;
use rillgap_forward::message::NotRunProof;

use crate::settings::LogSection;

/// Writes log records, with a limit on those about requests.
///
/// Successes are sampled by a hash of the request's identifier, so that every node on a request's
/// path logs the same requests. Records about requests are omitted once the lines of the current
/// second have reached the limit; all other records are written.
#[derive(Debug)]
pub struct RequestLog {
    settings: LogSection,
    current_second: u64,
    lines_in_second: u32,
    omitted_lines: u64,
    clock: SteadyClock,
}

impl RequestLog {
    /// Creates a log with this sampling rate and this limit.
    pub fn new(settings: LogSection) -> Self {
        Self {
            settings,
            current_second: 0,
            lines_in_second: 0,
            omitted_lines: 0,
            clock: SteadyClock::start(),
        }
    }

    /// Writes a record unless sampling or the limit omits it.
    pub fn write(&mut self, record: &LogRecord) {
        if self.is_sampled_out(record) || !self.is_within_limit(record) {
            return;
        }
        write(record, self.clock.elapsed().as_secs_f64());
    }

    fn is_sampled_out(&self, record: &LogRecord) -> bool {
        let id = match record {
            LogRecord::Answered {
                request_id,
                status,
                attempts,
                ..
            } if *status < 300 && *attempts <= 1 => request_id,
            LogRecord::Cancelled { request_id } | LogRecord::UnknownParent { request_id } => {
                request_id
            }
            _ => return false,
        };
        match self.settings.success_sample {
            0 => true,
            sample => !sample_hash(id).is_multiple_of(u64::from(sample)),
        }
    }

    fn is_within_limit(&mut self, record: &LogRecord) -> bool {
        let second = self.clock.elapsed().as_secs();
        if second != self.current_second {
            if self.omitted_lines > 0 {
                log::warn!(lines = self.omitted_lines; "log: lines left out");
            }
            self.current_second = second;
            self.lines_in_second = 0;
            self.omitted_lines = 0;
        }
        let is_about_request = matches!(
            record,
            LogRecord::Answered { .. }
                | LogRecord::Retried { .. }
                | LogRecord::RetryBudget { .. }
                | LogRecord::UnknownParent { .. }
                | LogRecord::NotAnswered { .. }
                | LogRecord::BackEndRateLimit { .. }
                | LogRecord::BackEndSlowdown { .. }
                | LogRecord::ExchangeEnded { .. }
                | LogRecord::ForeignAnswer { .. }
                | LogRecord::Cancelled { .. }
                | LogRecord::RequestQuarantined { .. }
        );
        if is_about_request && self.lines_in_second >= self.settings.lines_per_second {
            self.omitted_lines += 1;
            return false;
        }
        self.lines_in_second += 1;
        true
    }
}

/// Returns an age for a log field; -1 stands for none.
fn age_or_minus_one(millis: Option<u64>) -> i64 {
    millis.map_or(-1, |millis| i64::try_from(millis).unwrap_or(i64::MAX))
}

/// Returns a rate for a log field, in requests per second; -1 stands for no limit.
fn rate_or_minus_one(rate: Option<RequestRate>) -> f64 {
    rate.map_or(-1.0, RequestRate::per_second)
}

/// Returns a proof for a log field; empty if the request may have run.
fn proof_name(proof: Option<NotRunProof>) -> &'static str {
    proof.map_or("", NotRunProof::name)
}

fn sample_hash(id: &str) -> u64 {
    BuildHasherDefault::<DefaultHasher>::default().hash_one(id)
}

fn write(record: &LogRecord, uptime: f64) {
    match record {
        LogRecord::Answered {
            request_id,
            route,
            status,
            code,
            attempts,
            last_attempt,
            elapsed_micros,
            configuration,
            timing,
            tenant,
            proof_age_millis,
        } => log::info!(
            uptime, tenant = tenant.as_str(), proof_age_millis = age_or_minus_one(*proof_age_millis), request = request_id.as_str(), route = route.as_str(), status,
            code = code.map_or(0, |code| code.number()), peer = last_attempt.node.as_str(), attempts,
            sequence = last_attempt.sequence, proof = proof_name(last_attempt.proof), elapsed_micros, queued_micros = timing.queued_micros,
            back_end_micros = timing.back_end_micros, configuration; "outbound: answered"
        ),
        LogRecord::Retried {
            request_id,
            attempt,
            code,
            paid,
        } => log::info!(
            uptime, request = request_id.as_str(), from = attempt.node.as_str(), sequence = attempt.sequence,
            code = code.number(), proof = proof_name(attempt.proof), paid; "outbound: sent to another node"
        ),
        LogRecord::RetryBudget {
            request_id,
            service,
            charge,
            state,
        } => log::info!(
            uptime, request = request_id.as_str(), service = service.as_str(), charge = charge.name(),
            requests = state.requests, retries = state.retries, remaining = state.remaining;
            "outbound: retry budget"
        ),
        LogRecord::ServiceRetries {
            service,
            covered_millis,
            tally,
            state,
            slack_part,
            nodes,
        } => log::info!(
            uptime, service = service.as_str(), covered_millis, requests = tally.requests,
            retries = tally.retries, calls = tally.calls, unattributed = tally.unattributed,
            denied = tally.denied, calls_denied = tally.calls_denied, free = tally.free,
            remaining = state.remaining, slack_part, nodes = *nodes as u64;
            "outbound: retries of a service"
        ),
        LogRecord::UnknownParent { request_id } => log::info!(
            uptime, request = request_id.as_str(); "outbound: call without a running parent"
        ),
        LogRecord::NotAnswered {
            request_id,
            sequence,
            exchange,
            code,
            proof,
            elapsed_micros,
            running,
            queued,
            limit,
            lost: None,
        } => log::info!(
            uptime, request = request_id.as_str(), sequence, exchange, code = code.number(),
            reason = code.title(), proof = proof_name(*proof), elapsed_micros, running, queued, limit; "inbound: no answer"
        ),
        LogRecord::NotAnswered {
            request_id,
            sequence,
            exchange,
            code,
            proof,
            elapsed_micros,
            running,
            queued,
            limit,
            lost: Some(lost),
        } => log::info!(
            uptime, request = request_id.as_str(), sequence, exchange, code = code.number(),
            reason = code.title(), proof = proof_name(*proof), elapsed_micros, running, queued, limit,
            instance = lost.instance.as_str(), content = lost.content.to_string().as_str(); "inbound: no answer"
        ),
        LogRecord::ExchangeEnded {
            request_id,
            exchange,
            connection,
            end,
            status,
            elapsed_micros,
        } => log::info!(
            uptime, request = request_id.as_str(), exchange, connection, end = *end, status, elapsed_micros;
            "back end: exchange ended"
        ),
        LogRecord::ForeignAnswer {
            request_id,
            answered_id,
            connection,
        } => log::info!(
            uptime, request = request_id.as_str(), answered = answered_id.as_str(), connection;
            "back end: answer to another request skipped"
        ),
        LogRecord::Cancelled { request_id } => log::info!(
            uptime, request = request_id.as_str(); "outbound: caller gone"
        ),
        LogRecord::BackEnd {
            instance,
            health,
            cause,
            sequence,
        } => log::info!(
            uptime, instance = instance.as_str(), standing = *health, cause = *cause, sequence;
            "inbound: back end"
        ),
        LogRecord::BackEndRateLimit {
            instance,
            before,
            rate,
            request_id,
            source,
            running,
            queued,
        } => log::info!(
            uptime, instance = instance.as_str(), request = request_id.as_str(),
            source = *source, before = rate_or_minus_one(*before), per_second = rate_or_minus_one(*rate),
            running, queued; "inbound: rate limit of the back end"
        ),
        LogRecord::BackEndSlowdown {
            instance,
            is_slow,
            measured_percent,
            stated_percent,
            percent,
            running,
            queued,
        } => log::info!(
            uptime, instance = instance.as_str(), is_slow, measured_percent,
            stated_percent = stated_percent.map_or(-1, i64::from), percent,
            running, queued; "inbound: slowdown of the back end"
        ),
        LogRecord::BackEndRefusals {
            service,
            instance,
            is_refusing,
            refused_permille,
        } => log::info!(
            uptime, service = service.as_str(), instance = instance.as_str(), is_refusing, refused_permille;
            "inbound: refusals of the back end"
        ),
        LogRecord::BackEndCrashed {
            instance,
            in_flight,
            previously_suspected,
        } => log::warn!(
            uptime, instance = instance.as_str(), under_way = *in_flight as u64,
            known = *previously_suspected as u64; "inbound: back end has crashed"
        ),
        LogRecord::SuspicionChanged(change) => log::warn!(
            uptime, content = change.content.to_string().as_str(), standing = change.suspicion.name(),
            crashes = change.crashes as u64, alone = change.crashes_as_only_suspect as u64;
            "crash: standing of requests"
        ),
        LogRecord::RequestQuarantined {
            request_id,
            content,
        } => log::info!(
            uptime, request = request_id.as_str(), content = content.to_string().as_str();
            "crash: request held back"
        ),
        LogRecord::Admission {
            service,
            priority,
            admitted_percent,
        } => log::info!(
            uptime, service = service.as_str(), priority, admitted_percent; "outbound: admission"
        ),
        LogRecord::Peer { peer, is_up, cause } => log::info!(
            uptime, peer = peer.as_str(), is_up, cause = *cause; "mesh: peer"
        ),
        LogRecord::Configuration {
            version,
            routes,
            tenants,
            source,
        } => log::info!(
            uptime, version, routes = *routes as u64, tenants = *tenants as u64, source = *source; "configuration: in force"
        ),
        LogRecord::NewerConfiguration {
            version,
            own_version,
            peer,
        } => log::info!(
            uptime, version, own = own_version, peer = peer.as_str(); "configuration: newer version known"
        ),
        LogRecord::ConfigurationQuery {
            version,
            own_version,
            peer,
        } => log::info!(
            uptime, version, own = own_version, peer = peer.as_str(); "configuration: asked of a peer"
        ),
        LogRecord::Store { failure: None } => log::info!(uptime, is_up = true; "store: dependency"),
        LogRecord::Store {
            failure: Some((call, failure)),
        } => log::warn!(
            uptime, is_up = false, call = *call, code = failure.code.number(),
            detail = failure.detail.as_str(); "store: dependency"
        ),
        LogRecord::UnreadableRecords { unreadable } => log::warn!(
            uptime, entries = *unreadable as u64; "store: entries that are no records of nodes"
        ),
        LogRecord::StoreRestored {
            before,
            epoch,
            configuration,
            peer,
        } => log::warn!(
            uptime, before = before.0, epoch = epoch.0, configuration,
            peer = peer.as_deref().unwrap_or_default(); "store: back from a copy"
        ),
        LogRecord::Watch {
            is_watching,
            fresh,
            preceding,
        } => log::info!(
            uptime, is_watching, fresh = *fresh as u64, preceding;
            "store: watch"
        ),
        LogRecord::Freshness {
            is_proven,
            proof_age_millis,
        } => log::info!(
            uptime, is_proven, proof_age_millis = age_or_minus_one(*proof_age_millis); "configuration: freshness"
        ),
        LogRecord::BucketLease {
            tenant,
            is_held,
            standing,
            lost,
        } => log::info!(
            uptime, tenant = tenant.as_str(), is_held, votes = standing.votes as u64,
            voters = standing.voters as u64, lost = *lost as u64; "limits: lease on a bucket"
        ),
        LogRecord::BucketOffer { offers, peers } => log::info!(
            uptime, offers, peers = *peers as u64; "limits: offer to own buckets"
        ),
        LogRecord::TenantLimit(change) => log::info!(
            uptime, tenant = change.tenant.as_str(), change = change.kind.name(),
            priority = change.priority, demand = change.demand, limit = change.limit,
            shortage_millis = change.shortage_millis; "limits: tenant at its limit"
        ),
        LogRecord::BufferShortage {
            is_short,
            held,
            limit,
        } => log::warn!(
            uptime, is_short, held = *held as u64, limit = *limit as u64; "node: buffers"
        ),
        LogRecord::Lifecycle { state, in_flight } => log::info!(
            uptime, state = *state, in_flight = *in_flight as u64; "node: lifecycle"
        ),
    }
}
