//! Execution of the commands.

use std::fs::File;
use std::io::{BufRead, BufReader, Write};
use std::path::{Path, PathBuf};
use std::time::Duration;

use rillgap_core::code::ResultCode;
use rillgap_core::id::{BackEndName, ChangeId, PolicyVersion};
use rillgap_core::operator::ChangeState;
use rillgap_core::policy::BackEndState;
use rillgap_operator::client::{Change, format_change_id};
use uuid::Uuid;

use crate::arguments::{
    ApplyPolicyArguments, Arguments, BackEndCommand, Command, ExplainArguments, NodeCommand,
    PolicyCommand, RetriesArguments, Seconds,
};
use crate::difference;
use crate::error::CommandError;
use crate::explain::Explainer;
use crate::output::Printer;
use crate::policy_file;
use crate::retries::{RetryBudget, RetryLogs, WorstWindow};
use crate::session::{ChangeRequest, Session};

/// Runs one command and returns the exit code of the process.
pub async fn run(
    arguments: Arguments,
    output: &mut impl Write,
) -> Result<ResultCode, CommandError> {
    let session = Session::new(&arguments)?;
    let printer = Printer {
        form: arguments.output,
        target: output,
    };
    let runner = Runner { session, printer };
    runner.run(arguments.command).await
}

/// Executes one command: calls nodes through the session and prints the result.
struct Runner<'a, W> {
    session: Session,
    printer: Printer<'a, W>,
}

impl<W: Write> Runner<'_, W> {
    async fn run(mut self, command: Command) -> Result<ResultCode, CommandError> {
        match command {
            Command::Policy(policy) => self.policy(policy.command).await,
            Command::Change(change) => self.follow(change.id.0, change.wait).await,
            Command::BackEnd(back_end) => self.back_end(back_end.command).await,
            Command::Status(_) => self.status().await,
            Command::Node(node) => match node.command {
                NodeCommand::Stop(_) => self.stop().await,
            },
            Command::Explain(explain) => self.explain(&explain),
            Command::Retries(retries) => self.retries(&retries),
        }
    }

    async fn policy(&mut self, command: PolicyCommand) -> Result<ResultCode, CommandError> {
        match command {
            PolicyCommand::Get(_) => self.get().await,
            PolicyCommand::Check(check) => self.check(&check.file),
            PolicyCommand::Plan(plan) => self.plan(&plan.file).await,
            PolicyCommand::Diff(diff) => self.plan(&diff.file).await,
            PolicyCommand::Apply(apply) => self.apply(apply).await,
        }
    }

    async fn get(&mut self) -> Result<ResultCode, CommandError> {
        let policy = self.session.client().get_policy().await?;
        self.printer.policy(&policy)?;
        Ok(ResultCode::Ok)
    }

    fn check(&mut self, file: &Path) -> Result<ResultCode, CommandError> {
        let policy = policy_file::load(file)?;
        self.printer.valid(&policy)?;
        Ok(ResultCode::Ok)
    }

    async fn plan(&mut self, file: &Path) -> Result<ResultCode, CommandError> {
        let planned = policy_file::load(file)?;
        let in_force = self.session.client().get_policy().await?;
        let differences = difference::between(&in_force, &planned);
        self.printer.plan(in_force.version, &differences)?;
        Ok(ResultCode::Ok)
    }

    async fn apply(&mut self, apply: ApplyPolicyArguments) -> Result<ResultCode, CommandError> {
        let policy = policy_file::load(&apply.file)?;
        let expected = apply.expect_version.map(PolicyVersion);
        let change = apply.change.map_or_else(new_change_id, |change| change.0);
        let request = ChangeRequest::Policy { policy, expected };
        self.submit_change(request, change, apply.wait).await
    }

    async fn back_end(&mut self, command: BackEndCommand) -> Result<ResultCode, CommandError> {
        let (name, state, wait) = match command {
            BackEndCommand::Drain(drain) => (drain.name, BackEndState::Leaving, drain.wait),
            BackEndCommand::Restore(restore) => (restore.name, BackEndState::Serving, restore.wait),
        };
        let name = BackEndName(name);
        let request = ChangeRequest::BackEnd { name, state };
        self.submit_change(request, new_change_id(), wait).await
    }

    async fn submit_change(
        &mut self,
        request: ChangeRequest,
        id: ChangeId,
        wait: Seconds,
    ) -> Result<ResultCode, CommandError> {
        log::info!("ctl: sending change; change={}", format_change_id(id));
        let wait = Duration::from_secs(wait.0);
        let change = self.session.change(&request, id, wait).await?;
        self.report(id, &change)
    }

    async fn follow(&mut self, id: ChangeId, wait: Seconds) -> Result<ResultCode, CommandError> {
        let wait = Duration::from_secs(wait.0);
        let change = self.session.follow(id, wait).await?;
        self.report(id, &change)
    }

    fn report(&mut self, id: ChangeId, change: &Change) -> Result<ResultCode, CommandError> {
        self.printer.change(id, change)?;
        Ok(match change.state {
            ChangeState::Accepted => ResultCode::Ok,
            ChangeState::Pending { .. } => ResultCode::ChangePending,
        })
    }

    async fn status(&mut self) -> Result<ResultCode, CommandError> {
        let status = self.session.client().get_status().await?;
        self.printer.status(&status)?;
        Ok(ResultCode::Ok)
    }

    fn explain(&mut self, arguments: &ExplainArguments) -> Result<ResultCode, CommandError> {
        let mut explainer = Explainer::new(&arguments.request);
        read_logs(&arguments.files, |node, log| explainer.read(node, log))?;
        let explanation = explainer.explain();
        self.printer.explanation(&explanation)?;
        Ok(match explanation.path.is_empty() {
            true => ResultCode::TargetUnknown,
            false => ResultCode::Ok,
        })
    }

    fn retries(&mut self, arguments: &RetriesArguments) -> Result<ResultCode, CommandError> {
        let mut logs = RetryLogs::default();
        read_logs(&arguments.files, |node, log| logs.read(node, log))?;
        let windows = logs.worst_windows(RetryBudget {
            ratio: arguments.ratio,
            slack: arguments.slack,
            window: arguments.window.0 as f64,
        });
        self.printer.retries(&windows)?;
        Ok(match windows.iter().any(WorstWindow::is_exceeded) {
            true => ResultCode::RetryNotCovered,
            false => ResultCode::Ok,
        })
    }

    async fn stop(&mut self) -> Result<ResultCode, CommandError> {
        self.session.client().stop_node().await?;
        self.printer.stopping()?;
        Ok(ResultCode::Ok)
    }
}

/// Passes log files to `read`, each with the name of its node, or the standard input if there are
/// none.
fn read_logs(
    files: &[PathBuf],
    mut read: impl FnMut(&str, &mut dyn BufRead) -> std::io::Result<()>,
) -> Result<(), CommandError> {
    for file in files {
        let unreadable = |source| CommandError::Unreadable {
            file: file.clone(),
            source,
        };
        let node = file.file_stem().unwrap_or_default().to_string_lossy();
        let log = File::open(file).map_err(unreadable)?;
        read(&node, &mut BufReader::new(log)).map_err(unreadable)?;
    }
    if files.is_empty() {
        read("", &mut std::io::stdin().lock())?;
    }
    Ok(())
}

fn new_change_id() -> ChangeId {
    ChangeId(Uuid::now_v7().as_u128())
}
