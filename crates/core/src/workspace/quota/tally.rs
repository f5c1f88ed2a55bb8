//! Counts of quota decisions in a reporting interval, for logs and metrics.

use smol_str::SmolStr;

/// Basis on which an entry admits or refuses a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QuotaBasis {
    /// Recent verdicts of homes.
    Verdicts,
    /// No home has sent a verdict recently.
    NoVerdict,
    /// The entry has just started, and no home has sent a verdict yet.
    Starting,
    /// No home answers; the entry uses its own part of the quota.
    Alone,
}

impl QuotaBasis {
    /// All variants, in the order of their discriminants.
    pub const ALL: [Self; 4] = [Self::Verdicts, Self::NoVerdict, Self::Starting, Self::Alone];

    /// Returns the name used in logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Verdicts => "verdicts",
            Self::NoVerdict => "no-verdict",
            Self::Starting => "starting",
            Self::Alone => "alone",
        }
    }
}

/// Decisions of an entry about the requests of a workspace, by their basis.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct QuotaTally {
    admitted: [u32; QuotaBasis::ALL.len()],
    refused: [u32; QuotaBasis::ALL.len()],
}

impl QuotaTally {
    /// Counts one decision.
    pub(super) fn count(&mut self, basis: QuotaBasis, admitted: bool) {
        match admitted {
            true => self.admitted[basis as usize] += 1,
            false => self.refused[basis as usize] += 1,
        }
    }

    /// Returns the number of requests admitted on a basis.
    pub fn admitted(&self, basis: QuotaBasis) -> u32 {
        self.admitted[basis as usize]
    }

    /// Returns the number of requests refused on a basis.
    pub fn refused(&self, basis: QuotaBasis) -> u32 {
        self.refused[basis as usize]
    }

    /// Returns the number of requests refused on any basis.
    pub fn total_refused(&self) -> u32 {
        self.refused.iter().sum()
    }

    /// Returns whether no decision was counted.
    pub fn is_empty(&self) -> bool {
        *self == Self::default()
    }
}

/// Claims that a home received for a workspace, and its latest state.
#[derive(Clone, Debug, PartialEq)]
pub struct HomeTally {
    /// Name of the workspace.
    pub workspace: SmolStr,
    /// Number of claims received.
    pub claims: u32,
    /// Requests received by entries, as reported in the claims.
    pub asked: f64,
    /// Requests admitted by entries, as reported in the claims.
    pub used: f64,
    /// Requests that may be admitted on top of the rate; negative if too many have been admitted.
    pub saved: f64,
    /// Share of requests to admit by the latest verdict, from 0 to 1.
    pub share: f64,
}
