//! Output of results as text or JSON.

use std::io::Write;

use rillgap_core::id::{ChangeId, PolicyVersion};
use rillgap_core::operator::{ChangeState, MemberStatus};
use rillgap_core::policy::Policy;
use rillgap_operator::client::{Change, DeploymentStatus, format_change_id};
use serde_json::{Value, json};

use crate::arguments::OutputForm;
use crate::difference::Difference;
use crate::error::CommandError;
use crate::explain::{Explanation, Record};
use crate::policy_file;
use crate::retries::WorstWindow;

/// Writes the results of commands.
#[derive(Debug)]
pub struct Printer<'a, W> {
    /// Output format.
    pub form: OutputForm,
    /// Destination of the output.
    pub target: &'a mut W,
}

impl<W: Write> Printer<'_, W> {
    /// Writes a policy.
    pub fn policy(&mut self, policy: &Policy) -> Result<(), CommandError> {
        let text = match self.form {
            OutputForm::Text => policy_file::write(policy)?,
            OutputForm::Json => serde_json::to_string_pretty(policy)
                .map_err(|error| CommandError::Encode(error.to_string()))?,
        };
        self.line(text.trim_end())
    }

    /// Writes that a policy file is valid.
    pub fn valid(&mut self, policy: &Policy) -> Result<(), CommandError> {
        let services = policy.services.len();
        let routes = policy.routes.len();
        let back_ends = policy.back_ends.len();
        match self.form {
            OutputForm::Text => self.line(&format!(
                "valid: {services} services, {routes} routes, {back_ends} back ends"
            )),
            OutputForm::Json => self.json(&json!({
                "valid": true, "services": services, "routes": routes, "back-ends": back_ends,
            })),
        }
    }

    /// Writes the differences between the policy in force, which has this `version`, and a new one.
    pub fn plan(
        &mut self,
        version: PolicyVersion,
        differences: &[Difference],
    ) -> Result<(), CommandError> {
        if self.form == OutputForm::Json {
            return self.json(&json!({ "version": version.0, "differences": differences }));
        }
        for difference in differences {
            self.line(&difference.to_string())?;
        }
        let count = differences.len();
        let version = version.0;
        self.line(&format!("{count} differences against version {version}"))
    }

    /// Writes how a request ended, why, and the log records that show it.
    pub fn explanation(&mut self, explanation: &Explanation) -> Result<(), CommandError> {
        if self.form == OutputForm::Json {
            return self.json(&json!(explanation));
        }
        if let Some(configuration) = &explanation.configuration {
            self.line(&format!("{}: {configuration}", explanation.request))?;
        }
        for sentence in &explanation.verdict.because {
            self.line(sentence)?;
        }
        self.records("\nPath", &explanation.path)?;
        self.records("\nEvents at its nodes", &explanation.node_events)
    }

    /// Writes for each service the window that has used most of the retry budget.
    pub fn retries(&mut self, windows: &[WorstWindow]) -> Result<(), CommandError> {
        if self.form == OutputForm::Json {
            return self.json(&json!(windows));
        }
        windows
            .iter()
            .try_for_each(|window| self.line(&retries_line(window)))
    }

    /// Writes a table of log records with their time since the first one.
    fn records(&mut self, title: &str, records: &[Record]) -> Result<(), CommandError> {
        let Some(first) = records.first() else {
            return Ok(());
        };
        self.line(title)?;
        let width = records.iter().map(|record| record.node.len()).max();
        let width = width.unwrap_or(0);
        for record in records {
            let after = (record.time - first.time) * 1_000.0;
            let (node, message, detail) = (&record.node, &record.message, record.detail());
            let request = record.request.as_deref().unwrap_or_default();
            self.line(&format!(
                "{after:9.1} ms  {node:width$}  {message}  {request} {detail}"
            ))?;
        }
        Ok(())
    }

    /// Writes whether a change is in force everywhere, and which nodes have not confirmed it.
    pub fn change(&mut self, id: ChangeId, change: &Change) -> Result<(), CommandError> {
        let id = format_change_id(id);
        let version = change.version.0;
        match (self.form, &change.state) {
            (OutputForm::Json, state) => self.json(&change_value(&id, version, state)),
            (OutputForm::Text, ChangeState::Accepted) => self.line(&format!(
                "accepted: version {version} is in force on every machine; change {id}"
            )),
            (OutputForm::Text, ChangeState::Pending { missing, nodes }) => {
                self.line(&format!(
                    "pending: version {version} is stored, {missing} machines have not confirmed; \
                     change {id}"
                ))?;
                nodes
                    .iter()
                    .try_for_each(|node| self.line(&format!("  missing {node}")))
            }
        }
    }

    /// Writes the status of the deployment.
    pub fn status(&mut self, status: &DeploymentStatus) -> Result<(), CommandError> {
        let policy = status.policy.0;
        let view = status.view.0;
        let serving = status.serving;
        if self.form == OutputForm::Json {
            let members: Vec<Value> = status.members.iter().map(member_value).collect();
            return self.json(&json!({
                "policy-version": policy, "view-version": view,
                "serving": serving, "members": members,
            }));
        }
        self.line(&format!(
            "policy version {policy}, view version {view}, serving {serving}"
        ))?;
        status
            .members
            .iter()
            .try_for_each(|member| self.line(&member_line(member)))
    }

    /// Writes that the node is stopping.
    pub fn stopping(&mut self) -> Result<(), CommandError> {
        match self.form {
            OutputForm::Text => self.line("stopping: the node finishes what is in flight"),
            OutputForm::Json => self.json(&json!({ "stopping": true })),
        }
    }

    fn json(&mut self, value: &Value) -> Result<(), CommandError> {
        self.line(&value.to_string())
    }

    fn line(&mut self, text: &str) -> Result<(), CommandError> {
        Ok(writeln!(self.target, "{text}")?)
    }
}

fn change_value(id: &str, version: u64, state: &ChangeState) -> Value {
    match state {
        ChangeState::Accepted => json!({
            "change": id, "version": version, "state": "accepted",
            "missing": 0, "missing-nodes": [],
        }),
        ChangeState::Pending { missing, nodes } => json!({
            "change": id, "version": version, "state": "pending",
            "missing": missing, "missing-nodes": nodes,
        }),
    }
}

fn retries_line(window: &WorstWindow) -> String {
    let WorstWindow {
        service,
        end,
        sums,
        counted_requests,
        allowed,
        busiest_node,
        busiest_charged,
    } = window;
    let verdict = if window.is_exceeded() {
        "EXCEEDED"
    } else {
        "within the budget"
    };
    format!(
        "{service}: {verdict}; in the window until {end:.1}: {:.0} of {allowed:.0} allowed for \
         {counted_requests:.0} requests: {:.0} retries, {:.0} calls made for retries, {:.0} \
         unattributed; most from {busiest_node}, {busiest_charged:.0}",
        sums.charged(),
        sums.retries,
        sums.calls,
        sums.unattributed,
    )
}

fn member_value(member: &MemberStatus) -> Value {
    json!({
        "node": member.node, "zone": member.zone,
        "reachable": member.reachable, "policy-version": member.policy.0,
    })
}

fn member_line(member: &MemberStatus) -> String {
    let reachable = if member.reachable {
        "reachable"
    } else {
        "unreachable"
    };
    let MemberStatus {
        node, zone, policy, ..
    } = member;
    format!(
        "{node}  zone {zone}  {reachable}  policy version {}",
        policy.0
    )
}
