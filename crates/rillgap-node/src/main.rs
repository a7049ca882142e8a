//! Entry point of `rillgapd`.

use std::process::ExitCode;

use rillgap_node::arguments::{self, Arguments};
use rillgap_node::{daemon, logging, settings, threads};

fn main() -> ExitCode {
    let arguments = match arguments::from_environment() {
        Ok(arguments) => arguments,
        Err(exit) => return exit,
    };
    logging::start();
    threads::exit_on_panic();
    run(&arguments)
}

fn run(arguments: &Arguments) -> ExitCode {
    let settings = match settings::load(&arguments.settings, &arguments.overrides()) {
        Ok(settings) => settings,
        Err(error) => {
            log::error!(code = error.code().number(); "settings: {error}");
            return ExitCode::from(error.code().number());
        }
    };
    if arguments.check_settings {
        log::info!(node = settings.name.as_str(); "settings: valid");
        return ExitCode::SUCCESS;
    }
    match daemon::run(settings) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            log::error!(code = error.code().number(); "node: {error}");
            ExitCode::from(error.code().number())
        }
    }
}
