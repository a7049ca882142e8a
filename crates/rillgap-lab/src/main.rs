//! Entry point of `rillgap-lab`.

use std::process::ExitCode;

use rillgap_lab::command::LabArguments;

fn main() -> ExitCode {
    env_logger::init();
    let arguments: LabArguments = argh::from_env();
    match arguments.run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            log::error!("lab: {error}");
            ExitCode::FAILURE
        }
    }
}
