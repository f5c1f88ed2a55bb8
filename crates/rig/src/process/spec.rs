//! Specification of a child process to start.

use std::fs::{File, OpenOptions};
use std::path::PathBuf;
use std::process::{Command, Stdio};

use crate::error::RigError;

/// Destination of a child's standard output and standard error.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub enum Output {
    /// Discarded.
    #[default]
    Null,
    /// Inherited from this process.
    Inherit,
    /// Appended to a file.
    File(PathBuf),
}

/// Program, arguments, input and output of a child process.
#[derive(Clone, Debug, Default)]
pub struct ProcessSpec {
    /// Name used in messages.
    pub name: String,
    /// Path or name of the program.
    pub program: PathBuf,
    /// Command-line arguments.
    pub args: Vec<String>,
    /// Text for its standard input, such as its settings. If `None`, standard input is the null device.
    pub input: Option<String>,
    /// Destination of standard output and standard error.
    pub output: Output,
}

impl ProcessSpec {
    /// Creates a spec without input that discards the output.
    pub fn new<N, P, A>(name: N, program: P, args: A) -> Self
    where
        N: Into<String>,
        P: Into<PathBuf>,
        A: IntoIterator,
        A::Item: ToString,
    {
        Self {
            name: name.into(),
            program: program.into(),
            args: args.into_iter().map(|arg| arg.to_string()).collect(),
            ..Self::default()
        }
    }

    pub(super) fn command(&self) -> Result<Command, RigError> {
        let mut command = Command::new(&self.program);
        command.args(&self.args);
        command.stdin(match self.input {
            Some(_) => Stdio::piped(),
            None => Stdio::null(),
        });
        command
            .stdout(self.output.stdio()?)
            .stderr(self.output.stdio()?);
        Ok(command)
    }
}

impl Output {
    fn stdio(&self) -> Result<Stdio, RigError> {
        match self {
            Self::Null => Ok(Stdio::null()),
            Self::Inherit => Ok(Stdio::inherit()),
            Self::File(path) => {
                let file: File = OpenOptions::new().create(true).append(true).open(path)?;
                Ok(file.into())
            }
        }
    }
}
