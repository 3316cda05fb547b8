//! The command-line tool for operators.

mod controller;
mod flags;
mod load;
mod logs;
mod printer;

use std::process::ExitCode;

fn main() -> ExitCode {
    let flags = flags::Larkwick::from_env_or_exit();
    match controller::run(flags) {
        Ok(code) => code,
        Err(error) => {
            eprintln!("larkwick: {error:#}");
            ExitCode::FAILURE
        }
    }
}
