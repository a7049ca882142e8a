//! Calls from the command line to nodes, with retries of changes whose answer was lost.

use std::time::Duration;

use rillgap_core::code::ResultCode;
use rillgap_core::id::{BackEndName, ChangeId, PolicyVersion};
use rillgap_core::operator::ChangeState;
use rillgap_core::policy::{BackEndState, Policy};
use rillgap_operator::client::{Change, OperatorClient, format_change_id};
use rillgap_operator::error::OperatorError;
use tokio::time::{Instant, sleep, timeout_at};

use crate::arguments::{Arguments, DEFAULT_NODE};
use crate::error::CommandError;

/// Maximum number of calls for one change.
const MAX_CALLS: usize = 5;

/// Delay before a call is retried.
const RETRY_DELAY: Duration = Duration::from_millis(300);

/// Interval between two queries of a pending change.
const POLL_INTERVAL: Duration = Duration::from_millis(200);

/// A requested change of the policy.
#[derive(Clone, Debug)]
pub enum ChangeRequest {
    /// Replaces the policy.
    Policy {
        /// The new policy.
        policy: Policy,
        /// Version that must still be in force.
        expected: Option<PolicyVersion>,
    },
    /// Puts a back end into service or takes it out.
    BackEnd {
        /// Name of the back end.
        name: BackEndName,
        /// New state of the back end.
        state: BackEndState,
    },
}

/// Clients of the named nodes, one of which is in use at a time.
#[derive(Debug)]
pub struct Session {
    clients: Vec<OperatorClient>,
    /// Index in `clients` of the one in use.
    current: usize,
}

impl Session {
    /// Creates clients of the nodes given by `--node`, or of [`DEFAULT_NODE`] without that option.
    pub fn new(arguments: &Arguments) -> Result<Self, CommandError> {
        let timeout = Duration::from_secs(arguments.timeout.0);
        let client = |address: &str| OperatorClient::new(address, timeout);
        let clients = if arguments.node.is_empty() {
            vec![client(DEFAULT_NODE)?]
        } else {
            let addresses = arguments.node.iter().map(String::as_str);
            addresses.map(client).collect::<Result<_, _>>()?
        };
        Ok(Self {
            clients,
            current: 0,
        })
    }

    /// Returns the client in use.
    pub fn client(&mut self) -> &mut OperatorClient {
        &mut self.clients[self.current]
    }

    /// Sends a change and polls it until every node has confirmed it or `wait` has passed.
    ///
    /// `wait` counts from the start but does not bound the sending: each call of it has the timeout
    /// of the client.
    ///
    /// Retries carry the same change identifier, so the change is applied at most once.
    pub async fn change(
        &mut self,
        request: &ChangeRequest,
        change: ChangeId,
        wait: Duration,
    ) -> Result<Change, CommandError> {
        let deadline = Instant::now() + wait;
        let stored = self.send_with_retries(request, change).await?;
        self.poll_until_accepted(stored, change, deadline).await
    }

    /// Polls an earlier change until it is accepted or `wait` has passed; returns its last known
    /// state.
    pub async fn follow(
        &mut self,
        change: ChangeId,
        wait: Duration,
    ) -> Result<Change, CommandError> {
        let deadline = Instant::now() + wait;
        let first = self.client().get_change(change).await?;
        self.poll_until_accepted(first, change, deadline).await
    }

    /// Sends a change until an answer shows its effect, at most [`MAX_CALLS`] times.
    async fn send_with_retries(
        &mut self,
        request: &ChangeRequest,
        change: ChangeId,
    ) -> Result<Change, CommandError> {
        for _ in 1..MAX_CALLS {
            match self.send_once(request, change).await {
                Err(error) if has_unknown_effect(&error) => {
                    let change = format_change_id(change);
                    log::warn!(
                        "ctl: effect of the change unknown, retrying; change={change} error={error}"
                    );
                    self.switch_to_next_node();
                    sleep(RETRY_DELAY).await;
                }
                result => return Ok(result?),
            }
        }
        let last = self.send_once(request, change).await;
        last.map_err(|error| self.final_error(error, change))
    }

    /// Returns the error of the last call as the error of the command.
    fn final_error(&self, error: OperatorError, change: ChangeId) -> CommandError {
        if !has_unknown_effect(&error) {
            return CommandError::Call(error);
        }
        CommandError::Unsettled {
            change: format_change_id(change),
            source: error,
        }
    }

    async fn send_once(
        &mut self,
        request: &ChangeRequest,
        change: ChangeId,
    ) -> Result<Change, OperatorError> {
        let client = self.client();
        match request.clone() {
            ChangeRequest::Policy { policy, expected } => {
                client.apply_policy(policy, expected, change).await
            }
            ChangeRequest::BackEnd { name, state } => {
                client.set_back_end_state(name, state, change).await
            }
        }
    }

    /// Queries a change until it is accepted or the deadline has passed; returns its last known
    /// state.
    async fn poll_until_accepted(
        &mut self,
        mut latest: Change,
        change: ChangeId,
        deadline: Instant,
    ) -> Result<Change, CommandError> {
        while latest.state != ChangeState::Accepted && Instant::now() < deadline {
            sleep(POLL_INTERVAL).await;
            match timeout_at(deadline, self.client().get_change(change)).await {
                Ok(Ok(newer)) => latest = newer,
                Ok(Err(error)) => {
                    log::warn!("ctl: cannot query the change; error={error}");
                    self.switch_to_next_node();
                }
                Err(_) => break,
            }
        }
        Ok(latest)
    }

    fn switch_to_next_node(&mut self) {
        self.current = (self.current + 1) % self.clients.len();
    }
}

/// Returns whether it is unknown if the call took effect. A retry with the same change identifier
/// is safe and can settle it.
fn has_unknown_effect(error: &OperatorError) -> bool {
    matches!(
        error.code(),
        ResultCode::OperatorUnreachable | ResultCode::ChangeUnsettled
    )
}
