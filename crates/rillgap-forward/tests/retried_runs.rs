//! Load: back ends fail at several levels of a chain, and runs of the local back end are retries.
//! Their calls must be covered by the retry budget of the service that they go to.

mod support;

use googletest::prelude::*;
use rillgap_core::code::ResultCode;
use rillgap_forward::event::ExchangeResult;
use rillgap_forward::id::{ExchangeId, LinkId};
use rillgap_forward::log_record::{LogRecord, RetryCharge};
use rillgap_forward::message::{ForwardResult, ForwardedRequest};
use support::{
    DEEP_SERVICE, SERVICE, TestNode, answer, caller_request, code_of, forwarded_request, settings,
};

/// Calls that a run of the local back end makes.
const CALLS_PER_RUN: u64 = 4;
/// Retries that one of three nodes may send without requests: a third of 0.8 of the slack of 50.
const SLACK_PART: u64 = 13;

/// A node beside a back end of [`SERVICE`], whose runs call [`DEEP_SERVICE`] at one peer.
struct Caller {
    test: TestNode,
    link: LinkId,
    next_number: u64,
}

impl Caller {
    /// Creates a node that has seen one run with its calls. `had_earlier_run` says whether the node
    /// has been restarted.
    fn new(had_earlier_run: bool) -> Self {
        let mut settings = settings("own", SERVICE);
        settings.is_first_start = !had_earlier_run;
        let mut test = TestNode::serving_with(settings);
        test.connect("deep", 5, DEEP_SERVICE);
        let link = test.accept(50);
        let mut caller = Self {
            test,
            link,
            next_number: 0,
        };
        let first = caller.begin(false).expect("a run that is no retry");
        for number in 0..CALLS_PER_RUN {
            expect_that!(caller.call("r1", number), eq(true));
        }
        caller.end(first);
        caller
    }

    /// Forwards a request to the node; returns the exchange if it is begun at the back end.
    fn begin(&mut self, is_retry: bool) -> Option<ExchangeId> {
        self.next_number += 1;
        let request = ForwardedRequest {
            is_retry,
            ..forwarded_request(&format!("r{}", self.next_number), true)
        };
        let before = self.test.exchanges().len();
        self.test.forward(self.link, self.next_number, request);
        let exchanges = self.test.exchanges();
        (exchanges.len() > before).then(|| exchanges[before].id)
    }

    /// Sends a call of the back end for a request; returns whether the node sends it on. The peer
    /// answers it.
    fn call(&mut self, request_id: &str, number: u64) -> bool {
        let before = self.test.sent().len();
        let call = caller_request(&format!("{request_id}.{number}"), "/deep/1");
        self.test.request(number, call);
        let is_sent = self.test.sent().len() > before;
        if is_sent {
            self.test.respond(ForwardResult::Answered(answer(200)));
        }
        is_sent
    }

    fn end(&mut self, exchange: ExchangeId) {
        self.test
            .end_exchange(exchange, ExchangeResult::Answered(answer(200)));
    }

    /// Returns the result code of the latest response of the inbound side.
    fn last_code(&self) -> Option<ResultCode> {
        let results = self.test.results();
        results.last().and_then(|(_, result)| code_of(result))
    }
}

#[gtest]
fn retried_run_is_refused_unsent_if_the_budget_does_not_cover_its_calls() {
    let mut caller = Caller::new(false);
    for _ in 0..SLACK_PART / CALLS_PER_RUN {
        expect_that!(caller.begin(true), some(anything()));
    }
    // All retries are reserved, although no call has been made yet.
    expect_that!(caller.begin(true), none());
    expect_that!(caller.last_code(), some(eq(ResultCode::RetryNotCovered)));
    // Requests that are no retries are not refused.
    let refused = caller.test.results().len();
    caller.begin(false);
    expect_that!(caller.test.results().len(), eq(refused));
}

#[gtest]
fn reserved_retries_are_released_when_the_run_ends_without_its_calls() {
    let mut caller = Caller::new(false);
    for _ in 0..SLACK_PART {
        let exchange = caller.begin(true).expect("a retried run");
        caller.end(exchange);
    }
}

#[gtest]
fn calls_of_a_retried_run_use_its_reserved_retries() {
    let mut caller = Caller::new(false);
    let mut exchanges = Vec::new();
    for _ in 0..SLACK_PART / CALLS_PER_RUN {
        exchanges.push(caller.begin(true).expect("a retried run"));
    }
    for request in 2..=exchanges.len() + 1 {
        for number in 0..CALLS_PER_RUN {
            expect_that!(caller.call(&format!("r{request}"), number), eq(true));
        }
    }
    // Further calls get the retries that are not reserved: one.
    expect_that!(caller.call("r2", CALLS_PER_RUN), eq(true));
    expect_that!(caller.call("r2", CALLS_PER_RUN + 1), eq(false));
    expect_that!(caller.test.statuses().last(), some(eq(&503)));
    // The calls are charged: nothing is released at the end.
    for exchange in exchanges {
        caller.end(exchange);
    }
    expect_that!(caller.begin(true), none());
}

#[gtest]
fn retried_run_makes_no_calls_at_a_node_that_has_just_restarted() {
    // Such a node has no part of the slack, and four requests cover no retry.
    let mut caller = Caller::new(true);
    expect_that!(caller.begin(true), none());
    caller.test.advance(11_500);
    expect_that!(caller.begin(true), some(anything()));
}

/// Returns the charges to the retry budget that the node has logged.
fn charges(caller: &Caller) -> Vec<RetryCharge> {
    let charge = |record: LogRecord| match record {
        LogRecord::RetryBudget { charge, .. } => Some(charge),
        _ => None,
    };
    let records = caller.test.log_records().into_iter();
    records.filter_map(charge).collect()
}

#[gtest]
fn calls_of_a_retried_run_whose_answer_was_lost_are_still_charged() {
    let mut caller = Caller::new(false);
    let exchange = caller.begin(true).expect("a retried run");
    caller.test.end_exchange(exchange, ExchangeResult::Lost);
    // The run goes on at the back end. 13 calls use the budget up, and a further one is refused.
    for number in 0..SLACK_PART {
        expect_that!(caller.call("r2", number), eq(true));
    }
    expect_that!(caller.call("r2", SLACK_PART), eq(false));
    expect_that!(charges(&caller).len() as u64, eq(SLACK_PART + 1));
    // After its deadline the run has ended at the back end as well.
    caller.test.advance(900);
    expect_that!(caller.call("r2", SLACK_PART + 1), eq(true));
    expect_that!(charges(&caller).len() as u64, eq(SLACK_PART + 1));
}

#[gtest]
fn calls_that_a_restarted_node_cannot_attribute_are_charged() {
    let mut caller = Caller::new(true);
    expect_that!(caller.call("of-an-earlier-run", 1), eq(true));
    expect_that!(
        charges(&caller),
        elements_are![eq(&RetryCharge::Unattributed)]
    );
    // A request without the identifier of a call is a caller's.
    let before = caller.test.sent().len();
    caller.test.request(9, caller_request("r9", "/deep/1"));
    expect_that!(caller.test.sent().len(), eq(before + 1));
    // Once no earlier run can matter any more, such calls are requests like others.
    caller.test.advance(11_500);
    caller.call("of-an-earlier-run", 2);
    expect_that!(charges(&caller).len(), eq(1));
}

#[gtest]
fn retries_that_have_waited_for_a_paused_process_are_refused() {
    let mut caller = Caller::new(false);
    caller.test.now += 3_000;
    expect_that!(caller.begin(true), none());
    expect_that!(caller.last_code(), some(eq(ResultCode::RetryNotCovered)));
    caller.test.advance(500);
    expect_that!(caller.begin(true), some(anything()));
}
