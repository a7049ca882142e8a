//! Command-line arguments. The help texts name defaults and units.

use std::path::PathBuf;

use argh::{FromArgValue, FromArgs};
use rillgap_core::id::ChangeId;

/// Operator listener to connect to if no `--node` is given.
pub const DEFAULT_NODE: &str = "127.0.0.1:7440";

/// Default of `--timeout`.
const DEFAULT_TIMEOUT_SECONDS: u64 = 10;
/// Default of `--wait`.
const DEFAULT_WAIT_SECONDS: u64 = 10;

/// Operates a rillgap deployment. docs/ERRORS.md lists the exit codes.
#[derive(Clone, Debug, PartialEq, FromArgs)]
pub struct Arguments {
    /// operator listener of a node, IP:PORT (default 127.0.0.1:7440); may be repeated: if one does
    /// not answer, the next one is tried
    #[argh(option)]
    pub node: Vec<String>,
    /// output format: text or json (default text)
    #[argh(option, default = "OutputForm::Text")]
    pub output: OutputForm,
    /// timeout of one call, in seconds, 1 to 300 (default 10)
    #[argh(option, default = "Seconds(DEFAULT_TIMEOUT_SECONDS)")]
    pub timeout: Seconds,
    /// command to run
    #[argh(subcommand)]
    pub command: Command,
}

/// Output format.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OutputForm {
    /// Human-readable lines; a policy is printed as a policy file.
    Text,
    /// One JSON document.
    Json,
}

impl FromArgValue for OutputForm {
    fn from_arg_value(value: &str) -> Result<Self, String> {
        match value {
            "text" => Ok(Self::Text),
            "json" => Ok(Self::Json),
            _ => Err("allowed are `text` and `json`".to_owned()),
        }
    }
}

/// Duration in whole seconds, 1 to 300.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Seconds(pub u64);

impl FromArgValue for Seconds {
    fn from_arg_value(value: &str) -> Result<Self, String> {
        match value.parse() {
            Ok(seconds @ 1..=300) => Ok(Self(seconds)),
            _ => Err("allowed are 1 to 300 seconds".to_owned()),
        }
    }
}

/// Identifier of a change, written as a UUID.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ChangeArgument(pub ChangeId);

impl FromArgValue for ChangeArgument {
    fn from_arg_value(value: &str) -> Result<Self, String> {
        rillgap_operator::client::parse_change_id(value)
            .map(Self)
            .map_err(|error| error.to_string())
    }
}

/// Top-level command.
#[derive(Clone, Debug, PartialEq, FromArgs)]
#[argh(subcommand)]
pub enum Command {
    /// Shows, checks, compares or replaces the policy of the deployment.
    Policy(PolicyArguments),
    /// Shows the progress of a policy change.
    Change(ChangeArguments),
    /// Takes back ends out of service, or puts them back.
    BackEnd(BackEndArguments),
    /// Shows the status of the deployment.
    Status(StatusArguments),
    /// Acts on one node.
    Node(NodeArguments),
    /// Explains the outcome of a request from logs.
    Explain(ExplainArguments),
    /// Adds up the retries of all nodes from logs.
    Retries(RetriesArguments),
}

/// add up the retries of each service over the logs of all nodes; contacts no node
#[derive(Clone, Debug, PartialEq, FromArgs)]
#[argh(subcommand, name = "retries")]
pub struct RetriesArguments {
    /// retries allowed per request (default: 0.2)
    #[argh(option, default = "0.2")]
    pub ratio: f64,
    /// retries allowed on top of the ratio (default: 50)
    #[argh(option, default = "50.0")]
    pub slack: f64,
    /// length of the sliding window, in seconds (default: 10)
    #[argh(option, default = "Seconds(10)")]
    pub window: Seconds,
    /// log files of all nodes, each named after its node (default: standard input)
    #[argh(positional)]
    pub files: Vec<PathBuf>,
}

/// explain from node logs how a request ended and why; contacts no node
#[derive(Clone, Debug, PartialEq, Eq, FromArgs)]
#[argh(subcommand, name = "explain")]
pub struct ExplainArguments {
    /// identifier of the request
    #[argh(positional)]
    pub request: String,
    /// log files, each named after its node (default: standard input)
    #[argh(positional)]
    pub files: Vec<PathBuf>,
}

/// show, check, compare or replace the policy
#[derive(Clone, Debug, PartialEq, Eq, FromArgs)]
#[argh(subcommand, name = "policy")]
pub struct PolicyArguments {
    /// policy command to run
    #[argh(subcommand)]
    pub command: PolicyCommand,
}

/// Command on the policy.
#[derive(Clone, Debug, PartialEq, Eq, FromArgs)]
#[argh(subcommand)]
pub enum PolicyCommand {
    /// Prints the policy in force.
    Get(GetPolicyArguments),
    /// Checks a policy file.
    Check(CheckPolicyArguments),
    /// Compares a policy file with the policy in force.
    Plan(PlanPolicyArguments),
    /// Alias of `plan`.
    Diff(DiffPolicyArguments),
    /// Puts a policy file in force.
    Apply(ApplyPolicyArguments),
}

/// print the policy that is in force at the node
#[derive(Clone, Debug, PartialEq, Eq, FromArgs)]
#[argh(subcommand, name = "get")]
pub struct GetPolicyArguments {}

/// check a policy file; contacts no node
#[derive(Clone, Debug, PartialEq, Eq, FromArgs)]
#[argh(subcommand, name = "check")]
pub struct CheckPolicyArguments {
    /// policy file in TOML
    #[argh(positional)]
    pub file: PathBuf,
}

/// show the differences between the policy in force and a policy file
#[derive(Clone, Debug, PartialEq, Eq, FromArgs)]
#[argh(subcommand, name = "plan")]
pub struct PlanPolicyArguments {
    /// policy file in TOML
    #[argh(positional)]
    pub file: PathBuf,
}

/// show the differences between the policy in force and a policy file (alias of plan)
#[derive(Clone, Debug, PartialEq, Eq, FromArgs)]
#[argh(subcommand, name = "diff")]
pub struct DiffPolicyArguments {
    /// policy file in TOML
    #[argh(positional)]
    pub file: PathBuf,
}

/// put a policy file in force; exits with 0 once every machine has confirmed it, and with 102 if
/// some have not within the wait time
#[derive(Clone, Debug, PartialEq, Eq, FromArgs)]
#[argh(subcommand, name = "apply")]
pub struct ApplyPolicyArguments {
    /// policy file in TOML
    #[argh(positional)]
    pub file: PathBuf,
    /// version that must still be in force, as printed by plan (default: any)
    #[argh(option)]
    pub expect_version: Option<u64>,
    /// UUID of an earlier change whose answer was lost, to repeat that change (default: a new UUID)
    #[argh(option)]
    pub change: Option<ChangeArgument>,
    /// maximum time to wait until every machine has confirmed, in seconds, 1 to 300 (default 10)
    #[argh(option, default = "Seconds(DEFAULT_WAIT_SECONDS)")]
    pub wait: Seconds,
}

/// show which machines have not confirmed a change yet
#[derive(Clone, Debug, PartialEq, Eq, FromArgs)]
#[argh(subcommand, name = "change")]
pub struct ChangeArguments {
    /// UUID of the change
    #[argh(positional)]
    pub id: ChangeArgument,
    /// maximum time to wait until every machine has confirmed, in seconds, 1 to 300 (default 10)
    #[argh(option, default = "Seconds(DEFAULT_WAIT_SECONDS)")]
    pub wait: Seconds,
}

/// take back ends out of service, or put them back
#[derive(Clone, Debug, PartialEq, Eq, FromArgs)]
#[argh(subcommand, name = "back-end")]
pub struct BackEndArguments {
    /// back-end command to run
    #[argh(subcommand)]
    pub command: BackEndCommand,
}

/// Command on a back end.
#[derive(Clone, Debug, PartialEq, Eq, FromArgs)]
#[argh(subcommand)]
pub enum BackEndCommand {
    /// Takes a back end out of service.
    Drain(DrainArguments),
    /// Puts a back end back into service.
    Restore(RestoreArguments),
}

/// take a back end out of service: it receives no new requests and finishes those in flight
#[derive(Clone, Debug, PartialEq, Eq, FromArgs)]
#[argh(subcommand, name = "drain")]
pub struct DrainArguments {
    /// name of the back end in the policy
    #[argh(positional)]
    pub name: String,
    /// maximum time to wait until every machine has confirmed, in seconds, 1 to 300 (default 10)
    #[argh(option, default = "Seconds(DEFAULT_WAIT_SECONDS)")]
    pub wait: Seconds,
}

/// put a back end back into service
#[derive(Clone, Debug, PartialEq, Eq, FromArgs)]
#[argh(subcommand, name = "restore")]
pub struct RestoreArguments {
    /// name of the back end in the policy
    #[argh(positional)]
    pub name: String,
    /// maximum time to wait until every machine has confirmed, in seconds, 1 to 300 (default 10)
    #[argh(option, default = "Seconds(DEFAULT_WAIT_SECONDS)")]
    pub wait: Seconds,
}

/// print the versions and members that the node knows
#[derive(Clone, Debug, PartialEq, Eq, FromArgs)]
#[argh(subcommand, name = "status")]
pub struct StatusArguments {}

/// act on the first named node
#[derive(Clone, Debug, PartialEq, Eq, FromArgs)]
#[argh(subcommand, name = "node")]
pub struct NodeArguments {
    /// node command to run
    #[argh(subcommand)]
    pub command: NodeCommand,
}

/// Command on a node.
#[derive(Clone, Debug, PartialEq, Eq, FromArgs)]
#[argh(subcommand)]
pub enum NodeCommand {
    /// Stops the node.
    Stop(StopArguments),
}

/// stop the first named node gracefully: it finishes the requests in flight
#[derive(Clone, Debug, PartialEq, Eq, FromArgs)]
#[argh(subcommand, name = "stop")]
pub struct StopArguments {}
