//! How to start a child process.

use std::fs::{File, OpenOptions};
use std::path::PathBuf;
use std::process::{Command, Stdio};

use crate::error::RigError;

/// Where a child's standard output and error go.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub enum Output {
    /// Nowhere.
    #[default]
    Null,
    /// To this process's own.
    Inherit,
    /// To the end of a file.
    File(PathBuf),
}

/// A child process to start.
#[derive(Clone, Debug, Default)]
pub struct ProcessSpec {
    /// Name, for messages.
    pub name: String,
    /// The program.
    pub program: PathBuf,
    /// Its arguments.
    pub args: Vec<String>,
    /// Text for its standard input, such as its settings; closed input where missing.
    pub input: Option<String>,
    /// Where its output goes.
    pub output: Output,
}

impl ProcessSpec {
    /// A program with arguments, without input and output.
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
