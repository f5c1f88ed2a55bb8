//! Wire format of quota claims and verdicts.

use coltsfootport_core::workspace::{QuotaNotice, QuotaUsage, Verdict};
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

/// Number of requests of a workspace that an entry node received and admitted since its last claim.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimFrame {
    workspace: SmolStr,
    asked: u32,
    used: i32,
}

/// A home's verdict on a workspace.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct NoticeFrame {
    workspace: SmolStr,
    place: u8,
    verdict: VerdictFrame,
}

/// Wire form of a quota verdict.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct VerdictFrame {
    rate: f32,
    saved: f32,
    most_saved: f32,
    demand: f32,
}

/// Verdicts in the order of the claims; empty if the home does not know one of the workspaces.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct VerdictsFrame(pub Vec<VerdictFrame>);

impl From<&QuotaUsage> for ClaimFrame {
    fn from(claim: &QuotaUsage) -> Self {
        Self {
            workspace: claim.workspace.clone(),
            asked: claim.asked,
            used: claim.used,
        }
    }
}

impl From<ClaimFrame> for QuotaUsage {
    fn from(frame: ClaimFrame) -> Self {
        Self {
            workspace: frame.workspace,
            asked: frame.asked,
            used: frame.used,
        }
    }
}

impl From<Verdict> for VerdictFrame {
    fn from(verdict: Verdict) -> Self {
        Self {
            rate: verdict.rate as f32,
            saved: verdict.saved as f32,
            most_saved: verdict.max_saved as f32,
            demand: verdict.demand as f32,
        }
    }
}

impl From<VerdictFrame> for Verdict {
    fn from(frame: VerdictFrame) -> Self {
        Self {
            rate: frame.rate.into(),
            saved: frame.saved.into(),
            max_saved: frame.most_saved.into(),
            demand: frame.demand.into(),
        }
    }
}

impl From<&QuotaNotice> for NoticeFrame {
    fn from(notice: &QuotaNotice) -> Self {
        Self {
            workspace: notice.workspace.clone(),
            place: u8::try_from(notice.home_index).unwrap_or(u8::MAX),
            verdict: notice.verdict.into(),
        }
    }
}

impl From<NoticeFrame> for QuotaNotice {
    fn from(frame: NoticeFrame) -> Self {
        Self {
            workspace: frame.workspace,
            home_index: usize::from(frame.place),
            verdict: frame.verdict.into(),
        }
    }
}
