//! Overload and fault scenarios of the experiments.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

use crate::error::RigError;

/// Load and faults that a fleet is exposed to during the trigger phase.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Scenario {
    /// Twice the normal load.
    Surge2x,
    /// Four times the normal load.
    Surge4x,
    /// Eight times the normal load.
    Surge8x,
    /// The deepest service takes five times its normal service time.
    SlowDeep,
    /// Four times the normal load while the deepest service takes five times its normal service time.
    SurgeSlowDeep,
    /// Half of the calls to the deepest service fail, and clients make up to ten attempts for each call.
    RetryStorm,
    /// The first target of each service, about a third of all, is replaced by a cold one.
    ColdStart,
    /// All nodes and targets of one failure domain are killed.
    DomainGone,
    /// Four times the normal load; the platform is down from before the load starts until the run ends.
    PlatformDown,
    /// One target of the deepest service fails every call but reports healthy; its working peers report unhealthy.
    LyingHealth,
    /// One failure domain is partitioned from the others.
    Partition,
}

impl Scenario {
    /// All scenarios.
    pub const ALL: [Self; 11] = [
        Self::Surge2x,
        Self::Surge4x,
        Self::Surge8x,
        Self::SlowDeep,
        Self::SurgeSlowDeep,
        Self::RetryStorm,
        Self::ColdStart,
        Self::DomainGone,
        Self::PlatformDown,
        Self::LyingHealth,
        Self::Partition,
    ];

    /// Name on the command line and in results.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Surge2x => "surge-2x",
            Self::Surge4x => "surge-4x",
            Self::Surge8x => "surge-8x",
            Self::SlowDeep => "slow-deep",
            Self::SurgeSlowDeep => "surge-slow-deep",
            Self::RetryStorm => "retry-storm",
            Self::ColdStart => "cold-start",
            Self::DomainGone => "domain-gone",
            Self::PlatformDown => "platform-down",
            Self::LyingHealth => "lying-health",
            Self::Partition => "partition",
        }
    }

    /// Load during the trigger as a multiple of the normal load.
    pub const fn surge(self) -> f64 {
        match self {
            Self::Surge2x => 2.0,
            Self::Surge4x | Self::SurgeSlowDeep | Self::PlatformDown => 4.0,
            Self::Surge8x => 8.0,
            _ => 1.0,
        }
    }

    /// Factor on the deepest service's service time during the trigger.
    pub const fn slowness(self) -> f64 {
        match self {
            Self::SlowDeep | Self::SurgeSlowDeep => 5.0,
            _ => 1.0,
        }
    }

    /// Capacity of the deepest service during the trigger as a share of its normal capacity.
    pub const fn capacity_share(self) -> f64 {
        match self {
            Self::SlowDeep | Self::SurgeSlowDeep => 1.0 / self.slowness(),
            Self::RetryStorm => 0.5,
            // Two of three instances run at full speed, the cold one at a fifth.
            Self::ColdStart => (2.0 + 0.2) / 3.0,
            Self::DomainGone | Self::LyingHealth => 2.0 / 3.0,
            _ => 1.0,
        }
    }

    /// Maximum attempts that clients make for one call.
    pub const fn tries(self) -> u32 {
        match self {
            Self::RetryStorm => 10,
            _ => 3,
        }
    }
}

impl FromStr for Scenario {
    type Err = RigError;

    fn from_str(s: &str) -> Result<Self, RigError> {
        let found = Self::ALL
            .into_iter()
            .find(|scenario| scenario.as_str() == s);
        found.ok_or_else(|| RigError::Settings(format!("unknown scenario {s:?}")))
    }
}

impl fmt::Display for Scenario {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(self.as_str())
    }
}
