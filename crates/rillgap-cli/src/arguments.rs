//! Arguments of the command line, with defaults and units in their help.

use std::path::PathBuf;

use argh::{FromArgValue, FromArgs};
use rillgap_core::id::ChangeId;

/// Address of the operators' listener that is asked if none is named.
pub const DEFAULT_NODE: &str = "127.0.0.1:7440";

const DEFAULT_TIMEOUT_SECONDS: u64 = 10;
const DEFAULT_WAIT_SECONDS: u64 = 10;

/// Operates a rillgap deployment. Exit codes are the numbers of docs/ERRORS.md.
#[derive(Clone, Debug, PartialEq, Eq, FromArgs)]
pub struct Arguments {
    /// operators' listener of a node, IP:PORT (default 127.0.0.1:7440); if repeated, the next
    /// one is asked when one gives no answer
    #[argh(option)]
    pub node: Vec<String>,
    /// form of the output: text or json (default text)
    #[argh(option, default = "OutputForm::Text")]
    pub output: OutputForm,
    /// longest wait for the answer to one call, in seconds, 1 to 300 (default 10)
    #[argh(option, default = "Seconds(DEFAULT_TIMEOUT_SECONDS)")]
    pub timeout: Seconds,
    /// what to do
    #[argh(subcommand)]
    pub command: Command,
}

/// Form of the output.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OutputForm {
    /// Lines for people; a policy is printed as a policy file.
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

/// A time in whole seconds, 1 to 300.
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
        rillgap_operator::client::parse_change(value)
            .map(Self)
            .map_err(|error| error.to_string())
    }
}

/// What to do.
#[derive(Clone, Debug, PartialEq, Eq, FromArgs)]
#[argh(subcommand)]
pub enum Command {
    /// Policy of the deployment.
    Policy(PolicyArguments),
    /// One change of the policy.
    Change(ChangeArguments),
    /// Back ends entering and leaving service.
    BackEnd(BackEndArguments),
    /// Status of the deployment.
    Status(StatusArguments),
    /// One node.
    Node(NodeArguments),
    /// Logs.
    Explain(ExplainArguments),
}

/// tell from logs of nodes what became of a request and why; asks no node
#[derive(Clone, Debug, PartialEq, Eq, FromArgs)]
#[argh(subcommand, name = "explain")]
pub struct ExplainArguments {
    /// identifier of the request
    #[argh(positional)]
    pub request: String,
    /// logs of nodes, each named after its node (default: standard input)
    #[argh(positional)]
    pub files: Vec<PathBuf>,
}

/// show, check, compare or replace the policy
#[derive(Clone, Debug, PartialEq, Eq, FromArgs)]
#[argh(subcommand, name = "policy")]
pub struct PolicyArguments {
    /// what to do with the policy
    #[argh(subcommand)]
    pub command: PolicyCommand,
}

/// What to do with the policy.
#[derive(Clone, Debug, PartialEq, Eq, FromArgs)]
#[argh(subcommand)]
pub enum PolicyCommand {
    /// Print it.
    Get(GetPolicyArguments),
    /// Check a file.
    Check(CheckPolicyArguments),
    /// Compare a file.
    Plan(PlanPolicyArguments),
    /// Compare a file; another name of `plan`.
    Diff(DiffPolicyArguments),
    /// Put a file in force.
    Apply(ApplyPolicyArguments),
}

/// print the policy in force at the node
#[derive(Clone, Debug, PartialEq, Eq, FromArgs)]
#[argh(subcommand, name = "get")]
pub struct GetPolicyArguments {}

/// check a policy file without asking any node
#[derive(Clone, Debug, PartialEq, Eq, FromArgs)]
#[argh(subcommand, name = "check")]
pub struct CheckPolicyArguments {
    /// policy file in TOML
    #[argh(positional)]
    pub file: PathBuf,
}

/// show what a policy file would change against the policy in force
#[derive(Clone, Debug, PartialEq, Eq, FromArgs)]
#[argh(subcommand, name = "plan")]
pub struct PlanPolicyArguments {
    /// policy file in TOML
    #[argh(positional)]
    pub file: PathBuf,
}

/// show what a policy file would change against the policy in force (same as plan)
#[derive(Clone, Debug, PartialEq, Eq, FromArgs)]
#[argh(subcommand, name = "diff")]
pub struct DiffPolicyArguments {
    /// policy file in TOML
    #[argh(positional)]
    pub file: PathBuf,
}

/// put a policy file in force; exits with 0 once every machine has confirmed it, with 102 if some have not
#[derive(Clone, Debug, PartialEq, Eq, FromArgs)]
#[argh(subcommand, name = "apply")]
pub struct ApplyPolicyArguments {
    /// policy file in TOML
    #[argh(positional)]
    pub file: PathBuf,
    /// version that must still be in force, as printed by plan (default: whichever is)
    #[argh(option)]
    pub expect_version: Option<u64>,
    /// UUID of an earlier change whose answer was lost (default: a new one)
    #[argh(option)]
    pub change: Option<ChangeArgument>,
    /// longest wait until every machine has confirmed, in seconds, 1 to 300 (default 10)
    #[argh(option, default = "Seconds(DEFAULT_WAIT_SECONDS)")]
    pub wait: Seconds,
}

/// tell how far a change has spread
#[derive(Clone, Debug, PartialEq, Eq, FromArgs)]
#[argh(subcommand, name = "change")]
pub struct ChangeArguments {
    /// UUID of the change
    #[argh(positional)]
    pub id: ChangeArgument,
    /// longest wait until every machine has confirmed, in seconds, 1 to 300 (default 10)
    #[argh(option, default = "Seconds(DEFAULT_WAIT_SECONDS)")]
    pub wait: Seconds,
}

/// move back ends out of service and back
#[derive(Clone, Debug, PartialEq, Eq, FromArgs)]
#[argh(subcommand, name = "back-end")]
pub struct BackEndArguments {
    /// what to do with the back end
    #[argh(subcommand)]
    pub command: BackEndCommand,
}

/// What to do with a back end.
#[derive(Clone, Debug, PartialEq, Eq, FromArgs)]
#[argh(subcommand)]
pub enum BackEndCommand {
    /// Take it out of service.
    Drain(DrainArguments),
    /// Put it back into service.
    Restore(RestoreArguments),
}

/// take a back end out of service: it gets no new requests and finishes those in flight
#[derive(Clone, Debug, PartialEq, Eq, FromArgs)]
#[argh(subcommand, name = "drain")]
pub struct DrainArguments {
    /// name of the back end in the policy
    #[argh(positional)]
    pub name: String,
    /// longest wait until every machine has confirmed, in seconds, 1 to 300 (default 10)
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
    /// longest wait until every machine has confirmed, in seconds, 1 to 300 (default 10)
    #[argh(option, default = "Seconds(DEFAULT_WAIT_SECONDS)")]
    pub wait: Seconds,
}

/// print versions and members as the node sees them
#[derive(Clone, Debug, PartialEq, Eq, FromArgs)]
#[argh(subcommand, name = "status")]
pub struct StatusArguments {}

/// act on the node that is asked
#[derive(Clone, Debug, PartialEq, Eq, FromArgs)]
#[argh(subcommand, name = "node")]
pub struct NodeArguments {
    /// what to do with the node
    #[argh(subcommand)]
    pub command: NodeCommand,
}

/// What to do with a node.
#[derive(Clone, Debug, PartialEq, Eq, FromArgs)]
#[argh(subcommand)]
pub enum NodeCommand {
    /// Stop it.
    Stop(StopArguments),
}

/// stop the first named node as planned: it cuts no request in flight
#[derive(Clone, Debug, PartialEq, Eq, FromArgs)]
#[argh(subcommand, name = "stop")]
pub struct StopArguments {}
