//! What befalls a fleet during an experiment.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

use crate::error::RigError;

/// A scenario.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Scenario {
    /// Twice the usual load.
    Surge2x,
    /// Four times the usual load.
    Surge4x,
    /// Eight times the usual load.
    Surge8x,
    /// The deepest service takes five times as long.
    SlowDeep,
    /// Four times the load while the deepest service takes five times as long.
    SurgeSlowDeep,
    /// Half of the deepest calls fail, and clients send ten times.
    RetryStorm,
    /// A third of the targets is replaced by cold ones.
    ColdStart,
    /// One failure domain is gone.
    DomainGone,
    /// Four times the load while the platform is down, from before the surge to the end.
    PlatformDown,
    /// A target that fails every call says that it is healthy, and the others that they are not.
    LyingHealth,
    /// One failure domain is cut off from the others.
    Partition,
}

impl Scenario {
    /// Every scenario.
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

    /// The name on the command line and in results.
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

    /// Load during the trigger over the usual load.
    pub const fn surge(self) -> f64 {
        match self {
            Self::Surge2x => 2.0,
            Self::Surge4x | Self::SurgeSlowDeep | Self::PlatformDown => 4.0,
            Self::Surge8x => 8.0,
            _ => 1.0,
        }
    }

    /// Factor on the deepest service's time during the trigger.
    pub const fn slowness(self) -> f64 {
        match self {
            Self::SlowDeep | Self::SurgeSlowDeep => 5.0,
            _ => 1.0,
        }
    }

    /// Capacity of the deepest service during the trigger over the usual one.
    pub const fn capacity_share(self) -> f64 {
        match self {
            Self::SlowDeep | Self::SurgeSlowDeep => 1.0 / self.slowness(),
            Self::RetryStorm => 0.5,
            // Two of three instances at full speed and one at a fifth.
            Self::ColdStart => (2.0 + 0.2) / 3.0,
            Self::DomainGone | Self::LyingHealth => 2.0 / 3.0,
            _ => 1.0,
        }
    }

    /// Sendings of a call by the clients at most.
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
        found.ok_or_else(|| RigError::Settings(format!("{s:?} is no scenario")))
    }
}

impl fmt::Display for Scenario {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(self.as_str())
    }
}
