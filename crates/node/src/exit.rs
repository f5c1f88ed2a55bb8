//! Exit codes of the commands.

use std::process::ExitCode;

/// Result of a command, reported as the exit code of the process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Exit {
    /// The command succeeded; for `call`: the request ran and its status is below 400.
    Ok,
    /// The command failed for a reason that has no code of its own.
    Failed,
    /// The command line is invalid.
    Usage,
    /// The checked document or settings are invalid.
    Invalid,
    /// At least one operators address gave no usable answer; the answers of the others are printed.
    Unreachable,
    /// `call`: the request ran and its status is 400 or above.
    RanWithError,
    /// `call`: the request did not run and never will.
    NotRun,
    /// `call`: the request may or may not have run.
    Unknown,
}

impl Exit {
    /// All results.
    pub const ALL: [Self; 8] = [
        Self::Ok,
        Self::Failed,
        Self::Usage,
        Self::Invalid,
        Self::Unreachable,
        Self::RanWithError,
        Self::NotRun,
        Self::Unknown,
    ];

    /// Returns the exit code of the process.
    pub const fn code(self) -> u8 {
        match self {
            Self::Ok => 0,
            Self::Failed => 3,
            Self::Usage => 2,
            Self::Invalid => 1,
            Self::Unreachable => 4,
            Self::RanWithError => 10,
            Self::NotRun => 11,
            Self::Unknown => 12,
        }
    }

    /// Returns the description for `--help` and `docs/OPERATIONS.md`.
    pub const fn description(self) -> &'static str {
        match self {
            Self::Ok => "all went well; call: the request ran, status below 400",
            Self::Failed => "the command failed for another reason",
            Self::Usage => "the command line is wrong",
            Self::Invalid => "check: the document or the settings are invalid",
            Self::Unreachable => "status, timeline: an operators address gave no usable answer",
            Self::RanWithError => "call: the request ran, status 400 or above",
            Self::NotRun => "call: the request did not run and never will",
            Self::Unknown => "call: the request may or may not have run",
        }
    }
}

impl From<Exit> for ExitCode {
    fn from(exit: Exit) -> Self {
        Self::from(exit.code())
    }
}
