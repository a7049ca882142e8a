//! Entry point of `rillgapctl`.

use std::process::ExitCode;

use argh::FromArgs;
use rillgap_cli::arguments::Arguments;
use rillgap_core::code::ResultCode;

fn main() -> ExitCode {
    env_logger::Builder::from_env(env_logger::Env::default().default_filter_or("warn")).init();
    let arguments = match parse() {
        Ok(arguments) => arguments,
        Err(code) => return code,
    };
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    let runtime = match runtime {
        Ok(runtime) => runtime,
        Err(error) => {
            log::error!("ctl: cannot create the runtime; error={error}");
            return exit_code(ResultCode::Internal);
        }
    };
    let mut output = std::io::stdout().lock();
    match runtime.block_on(rillgap_cli::run(arguments, &mut output)) {
        Ok(code) => exit_code(code),
        Err(error) => {
            eprintln!("rillgapctl: {error}");
            exit_code(error.code())
        }
    }
}

/// Parses the command line. Prints the help or an error and returns the exit code if there is
/// nothing to run.
fn parse() -> Result<Arguments, ExitCode> {
    let words: Vec<String> = std::env::args().collect();
    let words: Vec<&str> = words.iter().map(String::as_str).collect();
    let arguments = words.get(1..).unwrap_or_default();
    Arguments::from_args(&["rillgapctl"], arguments).map_err(|early| match early.status {
        Ok(()) => {
            println!("{}", early.output);
            exit_code(ResultCode::Ok)
        }
        Err(()) => {
            eprintln!("{}", early.output);
            exit_code(ResultCode::Usage)
        }
    })
}

fn exit_code(code: ResultCode) -> ExitCode {
    ExitCode::from(code.number())
}
