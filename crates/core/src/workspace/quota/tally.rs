//! What was decided about a quota within a reporting interval, for logs and metrics.

use smol_str::SmolStr;

/// What an entry goes by when it decides about a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QuotaBasis {
    /// Fresh verdicts of homes.
    Verdicts,
    /// No home has told a verdict lately.
    NoVerdict,
    /// Its own start: no home has told anything yet.
    Starting,
    /// No home answers.
    Alone,
}

impl QuotaBasis {
    /// All of them, in the order of their numbers.
    pub const ALL: [Self; 4] = [Self::Verdicts, Self::NoVerdict, Self::Starting, Self::Alone];

    /// Its name in logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Verdicts => "verdicts",
            Self::NoVerdict => "no-verdict",
            Self::Starting => "starting",
            Self::Alone => "alone",
        }
    }
}

/// Decisions of an entry about the requests of a workspace.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct QuotaTally {
    admitted: [u32; QuotaBasis::ALL.len()],
    refused: [u32; QuotaBasis::ALL.len()],
}

impl QuotaTally {
    /// Counts a decision.
    pub(super) fn count(&mut self, basis: QuotaBasis, admitted: bool) {
        match admitted {
            true => self.admitted[basis as usize] += 1,
            false => self.refused[basis as usize] += 1,
        }
    }

    /// Requests admitted on this basis.
    pub fn admitted(&self, basis: QuotaBasis) -> u32 {
        self.admitted[basis as usize]
    }

    /// Requests refused on this basis.
    pub fn refused(&self, basis: QuotaBasis) -> u32 {
        self.refused[basis as usize]
    }

    /// Requests refused in all.
    pub fn all_refused(&self) -> u32 {
        self.refused.iter().sum()
    }

    /// Whether no request came.
    pub fn is_empty(&self) -> bool {
        *self == Self::default()
    }
}

/// What a home took in and decided about a workspace.
#[derive(Clone, Debug, PartialEq)]
pub struct HomeTally {
    /// The workspace.
    pub workspace: SmolStr,
    /// Claims taken in.
    pub claims: u32,
    /// Requests that entries were asked for.
    pub asked: f64,
    /// Requests that entries let run.
    pub used: f64,
    /// Requests that may run besides the rate; negative where more ran than may.
    pub saved: f64,
    /// Share of requests to admit, from 0 to 1.
    pub share: f64,
}
